package entry

import (
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/watch"
)

// serveOnly lets only the replicas of some versions be listed, and waits until all routers that
// run know it.
func (f *versionedFleet) serveOnly(versions ...string) {
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
		until(func() bool { return e.balancer.ReadyCount("s") == len(left) })
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
			f := newVersionedFleet(t, 3, 2, "v1", "v2", "v3")
			f.serveOnly("v1", "v2")
			streams := f.begin(t, 0)
			test(t, f)
			f.takeUp(t, 0, streams)
			for _, s := range streams {
				assert.False(t, s.mixed(), "%s: %s", s.id, strings.Join(s.versions, " "))
			}
		})
	}
}
