package entry

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/route"
)

// Guards against streams that go on at another service: the shares of a route were changed, or its
// service was replaced, after they began. Each service has a single version.
func TestJoinedOverAChangeOfShares(t *testing.T) {
	for name, routers := range map[string]func(t *testing.T, f *versionedFleet){
		"routers stay":      func(*testing.T, *versionedFleet) {},
		"all routers ended": func(t *testing.T, f *versionedFleet) { f.restart(t, func() {}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedReplicas(t, 2, "v1", "v2")
			f.source.snapshot.Config.Services = []route.Service{{Name: "s"}, {Name: "other"}}
			for i := range f.source.snapshot.Replicas {
				if r := &f.source.snapshot.Replicas[i]; r.Version == "v2" {
					r.Service = "other"
				}
			}
			f.firstStart = true
			f.start(t, 2)
			streams := f.begin(t, 0)
			f.source.mu.Lock()
			changed := *f.source.snapshot.Config
			changed.Version++
			changed.Routes = nil
			for _, r := range f.source.snapshot.Config.Routes {
				r.Shares = []route.Share{{Service: "other", Weight: 1}}
				changed.Routes = append(changed.Routes, r)
			}
			f.source.snapshot.Config = &changed
			f.source.mu.Unlock()
			for _, e := range f.routers {
				until(t, func() bool { return e.front.ResumableServices()[0] == "other" })
			}
			routers(t, f)
			f.takeUp(t, 1, streams)
			assertNotJoined(t, streams)
		})
	}
}

// newMovableFleet returns replicas of two services, each with a single version: v1 of s and v2 of other.
// Route /1/ leads to s, /5/ to other.
func newMovableFleet(t *testing.T) *versionedFleet {
	t.Helper()
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.source.snapshot.Config.Services = []route.Service{{Name: "s"}, {Name: "other"}}
	for i := range f.source.snapshot.Replicas {
		if r := &f.source.snapshot.Replicas[i]; r.Version == "v2" {
			r.Service = "other"
		}
	}
	kept := f.source.snapshot.Config.Routes[0]
	kept.Name, kept.Prefix, kept.Shares = "kept", "/5/", []route.Share{{Service: "other", Weight: 1}}
	f.source.snapshot.Config.Routes = []route.Route{f.source.snapshot.Config.Routes[0], kept}
	f.firstStart = true
	return f
}

// change gives the operator's configuration other routes. It does not wait for routers to read it.
func (f *versionedFleet) change(edit func(routes []route.Route) []route.Route) {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	changed := *f.source.snapshot.Config
	changed.Version++
	changed.Routes = edit(slices.Clone(changed.Routes))
	f.source.snapshot.Config = &changed
}

// awaitConfig waits until all routers have the operator's configuration.
func (f *versionedFleet) awaitConfig() {
	f.t.Helper()
	f.source.mu.Lock()
	version := f.source.snapshot.Config.Version
	f.source.mu.Unlock()
	for _, e := range f.routers {
		until(f.t, func() bool { return e.holder.Current().Table.Version() == version })
	}
}

// awaitRecords waits until the store has records of these services or routes.
func (f *versionedFleet) awaitRecords(names ...string) {
	f.t.Helper()
	until(f.t, func() bool {
		records := f.store.copied()
		return !slices.ContainsFunc(names, func(name string) bool { return len(records[name].Versions) == 0 })
	})
}

// beginAt begins streams of a route at a router, which break off.
func (f *versionedFleet) beginAt(t *testing.T, router, prefix int) []*stream {
	t.Helper()
	streams := make([]*stream, streamsPerCase)
	for i := range streams {
		streams[i] = &stream{}
		f.try(t, router, prefix, streams[i])
		require.Len(t, streams[i].versions, brokenAfter)
	}
	return streams
}

// takeUpAt takes streams of a route up at a router.
func (f *versionedFleet) takeUpAt(t *testing.T, router, prefix int, streams []*stream) {
	t.Helper()
	for _, s := range streams {
		f.try(t, router, prefix, s)
	}
}

func leadTo(shares ...route.Share) func([]route.Route) []route.Route {
	return func(routes []route.Route) []route.Route {
		routes[0].Shares = shares
		return routes
	}
}

// Guards against streams that go on at another service to which the operator led their route, at once, at
// routers that started since, and after all ended, and against refusals of streams of other routes.
func TestStreamsOfALedRouteAreRefused(t *testing.T) {
	toOther := leadTo(route.Share{Service: "other", Weight: 1})
	outer := func(routes []route.Route) []route.Route {
		routes[0].Name, routes[0].Prefix = "outer", "/"
		return routes
	}
	addInner := func(routes []route.Route) []route.Route {
		inner := routes[1]
		inner.Name, inner.Prefix = "inner", "/1/"
		return append(routes, inner)
	}
	same := func(routes []route.Route) []route.Route { return routes }
	for name, test := range map[string]struct {
		before, change func(routes []route.Route) []route.Route
		// meanwhile changes the routers, and the configuration at some point.
		meanwhile func(t *testing.T, f *versionedFleet, change func())
	}{
		"routers stay": {same, toOther, func(_ *testing.T, _ *versionedFleet, change func()) { change() }},
		"all routers ended at once": {same, toOther, func(t *testing.T, f *versionedFleet, change func()) {
			change()
			f.restart(t, func() {})
		}},
		"all routers ended later": {same, toOther, func(t *testing.T, f *versionedFleet, change func()) {
			change()
			until(t, func() bool { return len(f.store.copied()[origin.Routes].Versions) > 2 })
			f.restart(t, func() {})
		}},
		"led while no router ran": {same, toOther, func(t *testing.T, f *versionedFleet, change func()) { f.restart(t, change) }},
		"one after another":       {same, toOther, func(t *testing.T, f *versionedFleet, change func()) { change(); f.restartInTurn(t) }},
		"one more router started": {same, toOther, func(t *testing.T, f *versionedFleet, change func()) {
			change()
			f.add(t)
			f.awaitReady()
			f.routers[1], f.routers[2] = f.routers[2], f.routers[1]
		}},
		"their route was removed from within another": {same, func(routes []route.Route) []route.Route { return outer(toOther(routes)) },
			func(_ *testing.T, _ *versionedFleet, change func()) { change() }},
		"a route was added within theirs": {outer, addInner, func(_ *testing.T, _ *versionedFleet, change func()) { change() }},
		"the same while no router ran":    {outer, addInner, func(t *testing.T, f *versionedFleet, change func()) { f.restart(t, change) }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newMovableFleet(t)
			f.change(test.before)
			f.start(t, 2)
			f.awaitRecords("s", "other", origin.Routes)
			led, kept := f.beginAt(t, 0, 1), f.beginAt(t, 0, 5)
			test.meanwhile(t, f, func() {
				f.change(test.change)
				f.awaitConfig()
			})
			f.takeUpAt(t, 1, 1, led)
			f.takeUpAt(t, 1, 5, kept)
			for _, s := range led {
				assert.Equal(t, http.StatusServiceUnavailable, s.status, "%s: %v", s.id, s.versions)
				assert.Len(t, s.versions, brokenAfter)
			}
			assertOneVersion(t, kept)
		})
	}
}

// Guards against streams that go on at another service since a route's shares were changed, and against
// refusals of those whose service is the same by both.
func TestStreamsGoOnAtTheirServiceOverChangesOfShares(t *testing.T) {
	for name, routers := range map[string]func(t *testing.T, f *versionedFleet){
		"routers stay":      func(*testing.T, *versionedFleet) {},
		"all routers ended": func(t *testing.T, f *versionedFleet) { f.restart(t, func() {}) },
	} {
		t.Run(name, func(t *testing.T) {
			f := newMovableFleet(t)
			f.source.snapshot.Config.Routes = leadTo(route.Share{Service: "s", Weight: 1}, route.Share{Service: "other", Weight: 1})(f.source.snapshot.Config.Routes)
			f.start(t, 2)
			f.awaitRecords("s", "other", origin.Routes)
			streams := f.beginAt(t, 0, 1)
			f.change(leadTo(route.Share{Service: "s", Weight: 6}, route.Share{Service: "other", Weight: 2}))
			f.awaitConfig()
			routers(t, f)
			f.takeUpAt(t, 1, 1, streams)
			assertNotJoined(t, streams)
			lengths := make(map[int]int)
			for _, s := range streams {
				lengths[len(s.versions)]++
				if s.versions[0] == "v1" {
					assert.Len(t, s.versions, versionedEvents, "%s: status %d", s.id, s.status)
				}
			}
			assert.NotZero(t, lengths[brokenAfter], "streams by their events: %v", lengths)
		})
	}
}

// Guards against refusals that last, and against a record that grows: what a route led to before counts
// for a stream's lifetime.
func TestFormerSharesAreForgotten(t *testing.T) {
	f := newMovableFleet(t)
	f.start(t, 2)
	f.awaitRecords("s", "other", origin.Routes)
	before := f.store.copied()[origin.Routes].Versions
	f.change(leadTo(route.Share{Service: "other", Weight: 1}))
	f.awaitConfig()
	until(t, func() bool { return len(f.store.copied()[origin.Routes].Versions) == len(before)+1 })
	until(t, func() bool { return len(f.store.copied()[origin.Routes].Versions) == len(before) })
	streams := f.beginAt(t, 0, 1)
	f.takeUpAt(t, 1, 1, streams)
	assertOneVersion(t, streams)
}

// Guards against calls to the store for routes that stay.
func TestRoutesThatStayAreWrittenOnce(t *testing.T) {
	f := newMovableFleet(t)
	f.start(t, 2)
	f.awaitRecords("s", "other", origin.Routes)
	revisions := func() map[string]uint64 {
		list := make(map[string]uint64)
		for name, r := range f.store.copied() {
			list[name] = r.Revision
		}
		return list
	}
	written := revisions()
	assert.Len(t, slices.Compact(slices.Sorted(maps.Values(written))), 1, "writes: %v", written)
	streams := f.beginAt(t, 0, 1)
	f.change(func(routes []route.Route) []route.Route {
		routes[0].Target = time.Minute
		return routes
	})
	f.awaitConfig()
	f.takeUpAt(t, 1, 1, streams)
	assertOneVersion(t, streams)
	time.Sleep(2 * time.Second)
	assert.Equal(t, written, revisions())
}

// Guards against streams of services that state no versions and go on at the other one.
func TestStreamsWithoutVersionsOfALedRouteAreRefused(t *testing.T) {
	f := newMovableFleet(t)
	for i := range f.source.snapshot.Replicas {
		f.source.snapshot.Replicas[i].Version = ""
	}
	f.start(t, 2)
	for _, e := range f.routers {
		until(t, func() bool { return e.served.tracker.Settled(origin.Routes, steady.Now()) })
	}
	streams := f.beginAt(t, 0, 1)
	f.takeUpAt(t, 1, 1, streams[:1])
	assertOneVersion(t, streams[:1])
	f.change(leadTo(route.Share{Service: "other", Weight: 1}))
	f.awaitConfig()
	f.takeUpAt(t, 1, 1, streams[1:])
	for _, s := range streams[1:] {
		assert.Equal(t, http.StatusServiceUnavailable, s.status, "%s: %v", s.id, s.versions)
	}
}
