package entry

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/poison"
)

// names reports whether the record names a service as brittle.
func (m *heldMemory) names(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Contains(string(m.value), `"service":"`+service+`"`)
}

// Guards against routers that take replicas for sturdy, since all ended that knew that they are brittle.
func TestBrittleServicesAreKnownAfterAllRoutersEnded(t *testing.T) {
	f := newCrashFleet(t, false)
	stated := f.routers[0].watcher.Replicas()[0]
	// The fleet is known to the router that writes, and thus in the record.
	for _, e := range f.routers {
		until(t, func() bool { return e.balancer.RecentlyBrittle(steady.Now()).Routers == crashRouters })
	}
	f.routers[0].balancer.BrittleReported(stated.ID, 4, steady.Now())
	until(t, func() bool { return f.store.names("s") })
	f.end(f.routers...)
	f.start(t, false)
	f.awaitRead(f.routers...)
	want := []balance.BrittleService{{Service: "s", Rejections: 4}}
	for _, e := range f.routers {
		assert.Equal(t, want, e.balancer.RecentlyBrittle(steady.Now()).Services)
		e.balancer.SturdyReported(stated.ID, steady.Now())
		assert.Empty(t, e.balancer.RecentlyBrittle(steady.Now()).Services)
	}
	until(t, func() bool { return !f.store.names("s") })
}

// Guards against calls to the store where crashes are not counted: no router reads the record.
func TestBrittleServicesAreNotRecordedWithoutMarks(t *testing.T) {
	e := &Entry{settings: settings.Settings{Routes: settings.Routes{}}, balancer: balance.New(1)}
	e.poison, e.parts = newPoison(e.settings.Routes, nil), newPartPoison(e.settings.Routes, nil)
	recent := balance.RecentBrittle{Services: []balance.BrittleService{{Service: "s"}}, Routers: 3}
	e.balancer.RecallBrittle(recent, steady.Now())
	assert.Equal(t, poison.Record{}, e.heldNow(steady.Now()))
	e.settings.Routes.Crashes = 3
	assert.Len(t, e.heldNow(steady.Now()).Brittle.Services, 1)
}
