package poison

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// keptStore is a store and the routers that look after its record, in the order of their ranks.
type keptStore struct {
	record        Record
	revision      uint64
	away          bool
	reads, writes int
	keepers       []*Keeper
	// held is what each router holds.
	held []Record
	// ended are routers that do nothing any more.
	ended []bool
	now   float64
}

func newKeptStore(routers int) *keptStore {
	s := &keptStore{}
	for range routers {
		s.keepers, s.held, s.ended = append(s.keepers, &Keeper{}), append(s.held, Record{}), append(s.ended, false)
	}
	return s
}

// hold has all routers hold requests with the numbers from first to last, and no others.
func (s *keptStore) hold(first, last int) {
	var r Record
	for n := last; n >= max(first, last-MaxHeldRequests+1); n-- {
		h := HeldMarks{Digest: NewPartDigest("s", uint64(n)), Crashes: []HeldCrash{{Replica: 1}, {Replica: 2}, {Replica: 3}}}
		r.Requests = append(r.Requests, h)
	}
	for i := range s.held {
		s.held[i] = r
	}
}

// run lets half seconds pass.
func (s *keptStore) run(seconds float64) {
	const period = 0.5
	for end := s.now + seconds; s.now < end; s.now += period {
		rank := 0
		for i, k := range s.keepers {
			if s.ended[i] {
				continue
			}
			s.look(k, s.held[i], rank)
			rank++
		}
	}
}

// look does what a router does in one look.
func (s *keptStore) look(k *Keeper, held Record, rank int) {
	for range 2 {
		switch k.Next(held, rank, at(s.now)) {
		case ReadRecordStep:
			s.reads++
			if s.away {
				k.Failed(at(s.now))
				return
			}
			k.Loaded(s.record, at(s.now))
		case WriteRecordStep:
			s.writes++
			if s.away || k.Revision() != s.revision {
				k.Failed(at(s.now))
				return
			}
			s.revision++
			s.record = Record{held.Requests, held.Parts, held.Brittle, s.revision}
			k.Written(s.record, at(s.now))
			return
		default:
			return
		}
	}
}

func (s *keptStore) assertRecord(t *testing.T, requests int) {
	t.Helper()
	assert.Len(t, s.record.Requests, requests)
}

func (s *keptStore) assertCalls(t *testing.T, reads, writes int) {
	t.Helper()
	assert.Equal(t, []int{reads, writes}, []int{s.reads, s.writes}, "reads and writes")
}

func TestRecordIsKept(t *testing.T) {
	for _, routers := range []int{1, 2, 6, 143, 985} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			checks := min(routers, Keepers) - 1
			s := newKeptStore(routers)
			s.run(20)
			s.assertCalls(t, 0, 0)
			s.hold(1, 2)
			s.run(20)
			s.assertRecord(t, 2)
			s.assertCalls(t, 1+checks, 1)
			s.run(600)
			s.assertCalls(t, 1+checks, 1)
			// One more is held, then all were answered.
			s.hold(1, 3)
			s.run(20)
			s.assertRecord(t, 3)
			s.hold(1, 0)
			s.run(20)
			s.assertRecord(t, 0)
			s.assertCalls(t, 1+2*checks, 3)
		})
	}
}

// Guards against calls without bound for an organisation that has ever new requests crash replicas.
func TestCallsAreBounded(t *testing.T) {
	s := newKeptStore(985)
	const seconds, each = 300, 20
	for second := range seconds {
		s.hold(1, (second+1)*each)
		s.run(1)
	}
	t.Logf("%d reads, %d writes in %d s", s.reads, s.writes, seconds)
	// A second and a twentieth for each that is held; the first ones come earlier.
	const most = seconds/(1+MaxHeldRequests/20) + 5
	assert.LessOrEqual(t, s.writes, most)
	assert.LessOrEqual(t, s.reads, 2*most)
	s.run(10)
	s.assertRecord(t, MaxHeldRequests)
	assert.Equal(t, s.held[0].Requests, s.record.Requests)
}

// Guards against a record that nobody writes, as its first writer ended or cannot.
func TestOthersMakeUpForTheFirst(t *testing.T) {
	for ended := range Keepers {
		s := newKeptStore(6)
		s.hold(1, 1)
		// They have ended, but the others do not know yet.
		mute := func(seconds float64) {
			for end := s.now + seconds; s.now < end; s.now += 0.5 {
				for rank := ended; rank < 6; rank++ {
					s.look(s.keepers[rank], s.held[rank], rank)
				}
			}
		}
		mute(2*float64(ended) + 1)
		s.assertRecord(t, 1)
		mute(60)
		assert.Equal(t, 1, s.writes)
	}
}

func TestRecordFollowsStore(t *testing.T) {
	s := newKeptStore(6)
	s.away = true
	s.hold(1, 1)
	s.run(60)
	assert.LessOrEqual(t, s.reads, 3*60+3, "one a second and keeper")
	s.away, s.reads = false, 0
	s.run(10)
	s.assertRecord(t, 1)
	// Another router wrote.
	s.revision, s.record = 40, Record{Revision: 40}
	s.hold(1, 2)
	s.run(10)
	s.assertRecord(t, 2)
	// The store came back from a copy without the record.
	s.revision, s.record = 0, Record{}
	s.keepers[0].Distrust()
	s.run(10)
	s.assertRecord(t, 2)
}

// A changed number of crashes, which makes a hold longer, is written too.
func TestRecordFollowsCrashes(t *testing.T) {
	s := newKeptStore(3)
	s.hold(1, 1)
	s.run(10)
	writes := s.writes
	for i := range s.held {
		h := s.held[i].Requests[0]
		h.Crashes = append(h.Crashes[:3:3], HeldCrash{Replica: 4})
		s.held[i].Requests = []HeldMarks{h}
	}
	s.run(10)
	assert.Equal(t, writes+1, s.writes)
	assert.Len(t, s.record.Requests[0].Crashes, 4)
}

// The pause between writes holds for a router that becomes the first one, too.
func TestKeeperPausesAfterFailure(t *testing.T) {
	var k Keeper
	held := Record{Requests: []HeldMarks{{Digest: body, Crashes: []HeldCrash{{Replica: 1}}}}}
	k.Failed(at(0))
	assert.Equal(t, NoStep, k.Next(held, 0, at(0.9)))
	assert.Equal(t, ReadRecordStep, k.Next(held, 0, at(1.1)))
	assert.Equal(t, NoStep, k.Next(held, Keepers, at(100)))
}
