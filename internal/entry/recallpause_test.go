package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// Guards against streams of a single version that are refused with a current list and a record that can be
// read: the record was read for a caller while the list was old, and the pause after that read goes on.
func TestRecordIsReadAgainOnceTheListIsCurrent(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	e := f.routers[0]
	e.served.tracker.Observe("s", []string{"v1"}, false, steady.Now())
	e.recallServed("s")
	e.front.ObserveVersions()
	// No caller waits for a second.
	time.Sleep(time.Second)
	e.recallServed("s")
	assert.True(t, e.served.tracker.Served("s", steady.Now()).IsSingle())
}

// Guards against the same for routes: the version is known by other routers, which know nothing of routes.
func TestRoutesAreReadAgainOnceTheListIsCurrent(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	e := f.routers[0]
	query := origin.RouteQuery{Host: "h", Path: "/1/", Service: "s"}.String()
	e.served.tracker.Observe(origin.Routes, origin.DescribeRoutes(f.source.snapshot.Config.Routes), false, steady.Now())
	e.recallServed(query)
	e.front.ObserveVersions()
	// No caller waits for a second.
	time.Sleep(time.Second)
	e.recallServed(query)
	assert.Equal(t, origin.Inferred, e.served.tracker.Find(query, 0, steady.Now()).Source)
}
