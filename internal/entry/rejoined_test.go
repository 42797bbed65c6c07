package entry

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/origin"
)

// serveOnly lets only the replicas of some versions be listed, and waits until all routers that
// run know it.
func (f *versionedFleet) serveOnly(versions ...string) {
	f.t.Helper()
	f.source.mu.Lock()
	var left []string
	snapshot := watch.Snapshot{Config: f.source.snapshot.Config}
	for _, r := range f.all {
		if slices.Contains(versions, r.Version) {
			snapshot.Replicas = append(snapshot.Replicas, r)
			left = append(left, r.ID)
		}
	}
	f.source.snapshot = snapshot
	f.source.mu.Unlock()
	for _, e := range f.routers {
		until(f.t, func() bool { return e.balancer.ReadyCount("s") == len(left) })
	}
}

// restart ends all routers and starts as many others, while meanwhile is done.
func (f *versionedFleet) restart(t *testing.T, meanwhile func()) {
	t.Helper()
	routers := len(f.routers)
	for n := range f.routers {
		f.end(n)
	}
	f.routers = nil
	meanwhile()
	f.start(t, routers)
}

// restartInTurn replaces the routers one after another.
func (f *versionedFleet) restartInTurn(t *testing.T) {
	t.Helper()
	for range f.routers {
		f.end(0)
		f.routers = f.routers[1:]
		f.add(t)
		f.awaitReady()
	}
}

// memoryStore is the store's part that outlives routers.
type memoryStore struct {
	mu         sync.Mutex
	records    map[string]origin.Stored
	revision   uint64
	generation uint64
	away       bool
	reads      int
	writes     int
}

func newMemoryStore() *memoryStore { return &memoryStore{records: make(map[string]origin.Stored)} }

var errAway = errors.New("store is away")

// ReadServed implements origin.Store.
func (m *memoryStore) ReadServed(context.Context) (records []origin.Stored, generation uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if m.away {
		return nil, 0, errAway
	}
	return slices.Collect(maps.Values(m.records)), m.generation, nil
}

// WriteServed implements origin.Store.
func (m *memoryStore) WriteServed(_ context.Context, records []origin.Stored) (revision uint64, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	if m.away {
		return 0, errAway
	}
	for _, r := range records {
		if m.records[r.Service].Revision != r.Revision {
			return 0, origin.ErrConflict
		}
	}
	m.revision++
	for _, r := range records {
		r.Revision = m.revision
		m.records[r.Service] = r
	}
	return m.revision, nil
}

// has reports whether the store has a record of just these versions.
func (m *memoryStore) has(versions ...string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Equal(m.records["s"].Versions, versions)
}

// put writes a record as earlier routers did.
func (m *memoryStore) put(versions ...string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.records["s"] = origin.Stored{Service: "s", Versions: versions, Generation: m.generation, Revision: m.revision}
}

// setAway makes all calls fail, or serves them again.
func (m *memoryStore) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

// restore brings the store back from a copy.
func (m *memoryStore) restore(copied map[string]origin.Stored) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records, m.generation = maps.Clone(copied), m.generation+1
}

// copied returns a copy of all records.
func (m *memoryStore) copied() map[string]origin.Stored {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.records)
}

// awaitRecord waits until the store has a record of just these versions.
func (f *versionedFleet) awaitRecord(versions ...string) {
	f.t.Helper()
	until(f.t, func() bool { return f.store.has(versions...) })
}

// Guards against streams that go on at another software version after all routers ended, at once or one after another.
func TestStreamIsNotJoinedAfterRoutersEnded(t *testing.T) {
	for name, test := range map[string]func(t *testing.T, f *versionedFleet){
		"both serve":           func(t *testing.T, f *versionedFleet) { f.restart(t, func() {}) },
		"old one left before":  func(t *testing.T, f *versionedFleet) { f.serveOnly("v2"); f.restart(t, func() {}) },
		"old one left in time": func(t *testing.T, f *versionedFleet) { f.restart(t, func() { f.serveOnly("v2") }) },
		"replaced meanwhile":   func(t *testing.T, f *versionedFleet) { f.restart(t, func() { f.serveOnly("v3") }) },
		"one after another":    func(t *testing.T, f *versionedFleet) { f.serveOnly("v2"); f.restartInTurn(t) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedReplicas(t, 2, "v1", "v2", "v3")
			f.serveOnly("v1", "v2")
			f.store.put("v1", "v2")
			f.start(t, 3)
			streams := f.begin(t, 0)
			test(t, f)
			f.takeUp(t, 0, streams)
			for _, s := range streams {
				assert.False(t, s.mixed(), "%s: %s", s.id, strings.Join(s.versions, " "))
			}
		})
	}
}

// Guards against streams of a service with a single version that do not go on once all routers
// ended, and against refusals that last.
func TestStreamsOfASingleVersionGoOnAfterRoutersEnded(t *testing.T) {
	for name, restart := range map[string]func(t *testing.T, f *versionedFleet){
		"at once":           func(t *testing.T, f *versionedFleet) { f.restart(t, func() {}) },
		"one after another": func(t *testing.T, f *versionedFleet) { f.restartInTurn(t) },
		"twice": func(t *testing.T, f *versionedFleet) {
			f.restart(t, func() {})
			f.restart(t, func() {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedReplicas(t, 2, "v1")
			f.firstStart = true
			f.start(t, 3)
			f.awaitRecord("v1")
			streams := f.begin(t, 0)
			restart(t, f)
			f.takeUp(t, 1, streams)
			assertOneVersion(t, streams)
		})
	}
}

// Guards against a record of versions that is relied on though the store lost what was written
// after it, and against a caller that waits for a store that is away.
func TestStreamIsNotJoinedByARecordOfACopy(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.serveOnly("v1")
	f.store.put("v1")
	before := f.store.copied()
	f.start(t, 3)
	f.serveOnly("v1", "v2")
	f.awaitRecord("v1", "v2")
	streams := f.begin(t, 0)
	f.restart(t, func() {
		f.serveOnly("v1")
		f.store.restore(before)
		f.store.setAway(true)
	})
	for range 2 {
		f.takeUp(t, 0, streams)
		for _, s := range streams {
			assert.False(t, s.mixed(), "%s: %s", s.id, strings.Join(s.versions, " "))
			assert.Equal(t, http.StatusServiceUnavailable, s.status)
		}
		f.store.setAway(false)
	}
}
