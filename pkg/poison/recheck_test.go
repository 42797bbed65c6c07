package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// restartedStore is a store whose stale reads lag, and routers that have all just started.
type restartedStore struct {
	keptStore
	// stale is what stale reads return until lagEnd.
	stale  Record
	lagEnd float64
	// queries and staleReads count those of all routers.
	queries, staleReads int
	// unanswered: no router answers queries.
	unanswered bool
}

func newRestartedStore(routers int, lagEnd float64) *restartedStore {
	s := &restartedStore{keptStore: *newKeptStore(routers), lagEnd: lagEnd}
	s.revision, s.record = 7, Record{Revision: 7}
	for _, k := range s.keepers {
		k.Started()
		s.readStale(k)
	}
	return s
}

func (s *restartedStore) readStale(k *Keeper) {
	s.staleReads++
	r := s.stale
	if s.now >= s.lagEnd {
		r = s.record
	}
	k.LoadedStale(r, at(s.now))
}

// recheck lets half seconds pass.
func (s *restartedStore) recheck(seconds float64) {
	const period = 0.5
	for end := s.now + seconds; s.now < end; s.now += period {
		rank := 0
		for i, k := range s.keepers {
			if s.ended[i] {
				continue
			}
			s.recheckAt(k, rank)
			rank++
		}
	}
}

func (s *restartedStore) recheckAt(k *Keeper, rank int) {
	switch k.NextRecheck(rank, at(s.now)) {
	case ReadRecordStep:
		s.reads++
		if s.away {
			k.Failed(at(s.now))
			return
		}
		k.Loaded(s.record, at(s.now))
	case ReadStaleStep:
		s.readStale(k)
	case AskStep:
		s.queries++
		for i, other := range s.keepers[:min(Keepers, len(s.keepers))] {
			if revision, verified := other.Verified(); verified && other != k && !s.ended[i] && !s.unanswered {
				k.NoteRevision(revision)
			}
		}
	}
}

// verified returns how many routers have read the record as it is, or one as new.
func (s *restartedStore) verified() int {
	count := 0
	for _, k := range s.keepers {
		if revision, verified := k.Verified(); verified && revision == s.revision {
			count++
		}
	}
	return count
}

// Guards against a record that routers which start do not know of, and against reads of all routers that
// are counted in the store's rate.
func TestRecordIsReadAfterARestartOfAll(t *testing.T) {
	for _, routers := range []int{1, 6, 143, 985} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			s := newRestartedStore(routers, 0)
			s.recheck(60)
			assert.Equal(t, routers, s.verified())
			assert.Equal(t, []int{1, routers, routers - 1}, []int{s.reads, s.staleReads, s.queries}, "reads, stale reads, queries")

			s = newRestartedStore(routers, 1.5)
			s.recheck(60)
			assert.Equal(t, routers, s.verified())
			assert.Equal(t, 1, s.reads)
			t.Logf("%d stale reads and %d queries if stale reads lag by 1.5 s", s.staleReads, s.queries)
			assert.LessOrEqual(t, s.staleReads, 4*routers)
		})
	}
}

// Guards against a record that nobody reads as it is, as the first router cannot.
func TestOthersReadTheRecordForTheFirst(t *testing.T) {
	for ended := range Keepers {
		s := newRestartedStore(6, 1.5)
		mute := s.keepers[:ended]
		for end := s.now + 60; s.now < end; s.now += 0.5 {
			for rank := ended; rank < 6; rank++ {
				s.recheckAt(s.keepers[rank], rank)
			}
		}
		assert.Equal(t, 6-len(mute), s.verified())
		assert.Equal(t, 1, s.reads)
	}
}

// Guards against queries and reads without end: routers of an earlier build do not answer, the store is away
// or came back from a copy with an earlier record.
func TestRechecksAreBounded(t *testing.T) {
	const routers = 143
	s := newRestartedStore(routers, 0)
	s.unanswered = true
	s.recheck(600)
	assert.Equal(t, []int{Keepers, routers}, []int{s.reads, s.staleReads})
	assert.LessOrEqual(t, s.queries, maxRechecks*routers)

	s = newRestartedStore(routers, 600)
	s.recheck(600)
	assert.Equal(t, 1, s.reads)
	assert.LessOrEqual(t, s.staleReads, (1+maxRechecks)*routers)

	s = newRestartedStore(routers, 600)
	s.away = true
	s.recheck(60)
	assert.LessOrEqual(t, s.reads, Keepers*60)
	s.away, s.lagEnd, s.reads = false, 0, 0
	s.recheck(60)
	assert.LessOrEqual(t, s.reads, Keepers)
}

// A router that keeps what it has read states the revision to others only once it has verified it.
func TestRevisionIsStatedOnceVerified(t *testing.T) {
	var k Keeper
	assertVerified := func(revision uint64, verified bool) {
		t.Helper()
		gotRevision, got := k.Verified()
		assert.Equal(t, verified, got)
		if verified {
			assert.Equal(t, revision, gotRevision)
		}
	}
	assertVerified(0, false)
	k.Started()
	k.LoadedStale(Record{Revision: 3}, at(0))
	assertVerified(0, false)
	k.NoteRevision(4)
	assertVerified(0, false)
	k.NoteRevision(3)
	assertVerified(0, false)
	k.LoadedStale(Record{Revision: 5}, at(1))
	assertVerified(5, true)
	k.NoteRevision(9)
	assertVerified(5, true)
	k.Distrust()
	assertVerified(0, false)
	k.Written(Record{Revision: 6}, at(2))
	assertVerified(6, true)
	assert.Equal(t, NoStep, k.NextRecheck(0, at(3)))
}
