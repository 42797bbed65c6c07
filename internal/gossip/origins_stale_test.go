package gossip

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// cutOff lets a router have known a single version since its start by a list that is old now.
func (r *router) cutOff(version string) *Origins {
	o := r.gossip.Origins()
	o.Recall("s", nil, steady.Now().Add(-time.Minute))
	o.Observe("s", []string{version}, true, steady.Now().Add(-time.Minute))
	o.Observe("s", []string{version}, false, steady.Now())
	return o
}

// Guards against streams that began at another version outside of a data centre that is cut off, and
// go on in it: its routers have equally old lists, so that their answers add nothing.
func TestRoutersWithOldListsInferNoVersion(t *testing.T) {
	fleet := largeFleet(t, 2)
	for _, r := range fleet {
		r.awaitMembers(t, 2)
		r.cutOff("v1")
	}
	f := fleet[0].gossip.Origins().FindOrigin(context.Background(), "s", origin.KeyOf("s", "began outside"))
	assert.Equal(t, origin.Unknown, f.Source)
}

// Guards against the same at a router that knows no other: members that fell silent are not asked.
func TestRouterThatIsAloneWithAnOldListInfersNoVersion(t *testing.T) {
	fleet := largeFleet(t, 1)
	f := fleet[0].cutOff("v1").FindOrigin(context.Background(), "s", origin.KeyOf("s", "began outside"))
	assert.Equal(t, origin.Unknown, f.Source)
}

// Guards against streams that begin at a router with an old list and are known to no other once that
// router is lost: the others see another version alone.
func TestRecordsOfARouterWithAnOldListAreShared(t *testing.T) {
	fleet := largeFleet(t, 3)
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
	}
	key := origin.KeyOf("s", "a")
	time.Sleep(300 * time.Millisecond) // Starting routers have fetched records by then.
	fleet[0].cutOff("v1").RecordOrigin("s", key, "v1")
	time.Sleep(100 * time.Millisecond)
	fleet[0].gossip.stop()
	other := fleet[1].gossip.Origins()
	other.Observe("s", []string{"v2"}, true, steady.Now())
	other.Recall("s", []string{"v2"}, steady.Now())
	f := other.FindOrigin(context.Background(), "s", key)
	t.Logf("%+v", f)
	assert.NotEqual(t, "v2", f.Version)
}

// Guards against datagrams of a few bytes that are each answered with all records at the same time.
func TestFetchesOfRecordsAreBounded(t *testing.T) {
	fleet := largeFleet(t, 2)
	for _, r := range fleet {
		r.awaitMembers(t, 2)
	}
	for n := range 1 << 15 {
		fleet[0].gossip.options.Origins.Record(origin.Key(n), "v1", true, steady.Now())
	}
	before := runtime.NumGoroutine()
	for range 200 {
		fleet[0].gossip.answerFetch(fleet[1].gossip.Address(), steady.Now())
	}
	assert.Less(t, runtime.NumGoroutine()-before, 20)
}

// Guards against a starting router that asks for records once, before those that it asks know it.
func TestStartingRouterGetsRecordsByItself(t *testing.T) {
	for range 5 {
		fleet := largeFleet(t, 6)
		for _, r := range fleet {
			r.awaitMembers(t, len(fleet))
		}
		const streams = 50
		for n := range streams {
			for _, r := range fleet {
				r.gossip.options.Origins.Record(origin.Key(n), "v1", true, steady.Now())
			}
		}
		started := newRouter(t, fleet[0].source, fleet[0].gossip.Address())
		started.awaitMembers(t, len(fleet)+1)
		waitUntil(t, func() bool { return started.gossip.Origins().Len() == streams })
	}
}
