package gossip

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/route"
)

// streamsTo returns the routes of a configuration whose streams go to a service.
func streamsTo(service string) []string {
	return origin.DescribeRoutes([]route.Route{{Host: "h", Prefix: "/", Kind: route.Stream, Resumable: true, Shares: []route.Share{{Service: service, Weight: 1}}}})
}

// routesFleet returns routers that know each other.
func routesFleet(t *testing.T, routers int) []*router {
	t.Helper()
	fleet := largeFleet(t, routers)
	for _, r := range fleet {
		r.gossip.originWait = originWait{3 * time.Second, 3 * time.Second}
		waitUntil(t, func() bool { return r.gossip.MemberCount() == len(fleet) })
	}
	return fleet
}

// Guards against streams that go on where another service began them: the router where they are taken up
// does not know that their route was led elsewhere, or knows less than others.
func TestRoutersAnswerWhereRoutesLed(t *testing.T) {
	goesOn, refused, notKnown := origin.Finding{Source: origin.Inferred, Version: "s"}, origin.Finding{Several: true}, origin.Finding{}
	stays := func(o *Origins, now time.Time) {
		o.Observe(origin.Routes, streamsTo("s"), true, now)
		o.Recall(origin.Routes, nil, now)
	}
	led := func(o *Origins, now time.Time) {
		o.Observe(origin.Routes, streamsTo("other"), true, now)
		o.Observe(origin.Routes, streamsTo("s"), true, now)
	}
	starts := func(o *Origins, now time.Time) { o.Observe(origin.Routes, streamsTo("s"), true, now) }
	isAhead := func(o *Origins, now time.Time) {
		stays(o, now)
		o.Observe(origin.Routes, streamsTo("other"), true, now)
	}
	earlierBuild := func(o *Origins, now time.Time) { o.Tracker.Observe("s", []string{"v1"}, true, now) }
	for name, test := range map[string]struct {
		own, other func(o *Origins, now time.Time)
		want       origin.Finding
	}{
		"both know":                            {stays, stays, goesOn},
		"one starts, the other knows":          {starts, stays, goesOn},
		"one starts, the other saw it led":     {starts, led, refused},
		"one knows, the other saw it led":      {stays, led, refused},
		"one knows, the other is ahead":        {stays, isAhead, refused},
		"one knows, the other starts":          {stays, starts, goesOn},
		"both start":                           {starts, starts, notKnown},
		"one knows, the other observes none":   {stays, earlierBuild, goesOn},
		"one saw it led, the other knows less": {led, stays, refused},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := routesFleet(t, 2)
			test.own(fleet[0].gossip.Origins(), steady.Now())
			test.other(fleet[1].gossip.Origins(), steady.Now())
			// What is inferred needs a current list, which this one stays however busy the machine is.
			assert.NoError(t, fleet[0].watcher.ApplySnapshot(watch.Snapshot{Config: config(1)}, steady.Now().Add(waitLimit)))
			q := origin.RouteQuery{Host: "h", Path: "/x", Service: "s"}
			search := fleet[0].gossip.Origins().FindOrigin(context.Background(), q.String(), origin.KeyOf("s", "a"))
			assert.Equal(t, test.want, search.Finding)
			assert.Equal(t, 1, search.Answered)
		})
	}
}

// Guards against streams of a service that gets others' streams which do not go on at other routers: only
// the router that began them has their records.
func TestRecordsAreSharedWhenARouteIsLedElsewhere(t *testing.T) {
	fleet := routesFleet(t, 3)
	first := fleet[0].gossip.Origins()
	first.Observe("s", []string{"v1"}, true, steady.Now())
	first.Recall("s", nil, steady.Now())
	first.Observe(origin.Routes, streamsTo("s"), true, steady.Now())
	first.Recall(origin.Routes, nil, steady.Now())
	recorded := func(key origin.Key) (count int) {
		for _, r := range fleet {
			if r.gossip.Origins().Find("s", key, steady.Now()).Source == origin.Recorded {
				count++
			}
		}
		return count
	}
	// A datagram may be lost, so several streams are tried.
	var keys []origin.Key
	for n := range 20 {
		keys = append(keys, origin.KeyOf("s", fmt.Sprint(n)))
		first.RecordOrigin("s", keys[n], "v1")
		assert.Equal(t, 1, recorded(keys[n]), "routes stay")
	}
	first.Observe(origin.Routes, streamsTo("other"), true, steady.Now())
	shared := func() (all int) {
		for _, key := range keys {
			if recorded(key) == len(fleet) {
				all++
			}
		}
		return all
	}
	waitUntil(t, func() bool { return shared() > 0 })
	keys = nil
	waitUntil(t, func() bool {
		keys = append(keys, origin.KeyOf("s", fmt.Sprint("later", len(keys))))
		first.RecordOrigin("s", keys[len(keys)-1], "v1")
		return shared() > 0
	})
}
