package entry

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// plainAttempts selects a route whose streams may not be taken up.
const plainAttempts = 9

// newRecordedFleet starts three routers before replicas of two versions, of which only the first is
// listed and recorded. The store then takes no writes.
func newRecordedFleet(t *testing.T) *versionedFleet {
	t.Helper()
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.source.snapshot.Config.Routes = append(f.source.snapshot.Config.Routes, route.Route{Name: "plain", Host: "h", Prefix: "/9/",
		Kind: route.Stream, Attempts: 1, Timeout: 2 * time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitConfirmed("v1")
	f.store.setAway(true)
	return f
}

// awaitConfirmed waits until all routers know that the record names these versions.
func (f *versionedFleet) awaitConfirmed(versions ...string) {
	f.t.Helper()
	for _, e := range f.routers {
		until(f.t, func() bool { return slices.Equal(e.served.tracker.Confirmed("s"), versions) })
	}
}

// begun returns the versions at which streams begin at a router.
func (f *versionedFleet) begun(t *testing.T, router, attempts int) []string {
	t.Helper()
	versions := make(map[string]bool)
	for range streamsPerCase {
		s := &stream{}
		f.try(t, router, attempts, s)
		for _, version := range s.versions {
			versions[version] = true
		}
	}
	return slices.Sorted(maps.Keys(versions))
}

// Guards against streams that begin at a version that no record names: they would be joined if all
// routers ended and the version was gone when they return. What is not taken up may begin anywhere.
func TestStreamsBeginAtRecordedVersions(t *testing.T) {
	f := newRecordedFleet(t)
	f.serveOnly("v1", "v2")
	for n := range f.routers {
		assert.Contains(t, f.begun(t, n, plainAttempts), "v2", "router %d, not to be taken up", n)
	}
	for n := range f.routers {
		assert.Equal(t, []string{"v1"}, f.begun(t, n, 1), "router %d", n)
	}
	f.store.setAway(false)
	f.awaitRecord("v1", "v2")
	f.awaitConfirmed("v1", "v2")
	for n := range f.routers {
		assert.Contains(t, f.begun(t, n, 1), "v2", "router %d", n)
	}
}

// Guards against refusals and waits: a version that is not recorded serves if no other is ready.
func TestStreamsBeginAtAnyVersionWithoutARecordedOne(t *testing.T) {
	for name, leave := range map[string]func(f *versionedFleet){
		"it left":   func(f *versionedFleet) { f.serveOnly("v2") },
		"it drains": func(f *versionedFleet) { f.setState("v1", directory.Draining) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newRecordedFleet(t)
			f.serveOnly("v1", "v2")
			leave(f)
			for n := range f.routers {
				assert.Equal(t, []string{"v2"}, f.begun(t, n, 1), "router %d", n)
			}
		})
	}
}

// setState sets the state in which the replicas of a version are listed, and waits until all routers
// know it.
func (f *versionedFleet) setState(version string, state directory.State) {
	f.t.Helper()
	f.source.mu.Lock()
	ready := 0
	f.source.snapshot.Replicas = slices.Clone(f.source.snapshot.Replicas)
	for i := range f.source.snapshot.Replicas {
		if r := &f.source.snapshot.Replicas[i]; r.Version == version {
			r.State = state
		} else {
			ready++
		}
	}
	f.source.mu.Unlock()
	for _, e := range f.routers {
		until(f.t, func() bool { return e.balancer.ReadyCount("s") == ready })
	}
}

// A version that joins gets streams once a write is done and another router has answered.
func TestVersionThatJoinsGetsStreamsSoon(t *testing.T) {
	f := newRecordedFleet(t)
	f.store.setAway(false)
	joined := steady.Now()
	f.serveOnly("v1", "v2")
	f.awaitConfirmed("v1", "v2")
	t.Logf("after %v", steady.Since(joined))
}

// Routers of a build that does not record versions begin streams anywhere, and so do those of this one
// while nothing is recorded.
func TestStreamsBeginAnywhereWithoutARecord(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.store.setAway(true)
	f.start(t, 2)
	time.Sleep(2 * time.Second)
	assert.Equal(t, []string{"v1", "v2"}, f.begun(t, 0, 1))
}
