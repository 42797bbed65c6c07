package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/origin"
)

// fakeOrigins are Origins of which find answers for all routers.
type fakeOrigins struct {
	*origin.Tracker
	find func() origin.Search
}

func (o fakeOrigins) RecordOrigin(_ string, k origin.Key, version string) {
	o.Record(k, version, true, time.Now())
}

func (o fakeOrigins) FindOrigin(context.Context, string, origin.Key) origin.Search { return o.find() }

// Guards against a stream that goes on at any version at a router that has just started: it had no
// list of replicas yet when the stream was taken up, and asked nobody where it began.
func TestStreamTakenUpBeforeFirstListStaysAtItsVersion(t *testing.T) {
	for _, version := range []string{"v1", "v2"} {
		t.Run(version, func(t *testing.T) {
			var replicas []directory.Replica
			for _, v := range []string{"v1", "v2"} {
				address, _ := rawReplica(t, fmt.Sprintf(chunkedStreamHead, v)+chunk("id: 2\ndata: "+v+"\n\n")+"0\r\n\r\n")
				replicas = append(replicas, directory.Replica{ID: "r-" + v, Service: "s", Address: address, DataCentre: "here", Version: v})
			}
			r := newEmptyRig(t)
			for i := range r.source.snapshot.Config.Routes {
				// The time for which a request waits for the list depends on it.
				r.source.snapshot.Config.Routes[i].Target = time.Minute
			}
			r.watcher.ApplyKnowledge(watch.Knowledge{Config: r.source.snapshot.Config}, time.Now(), time.Now(), "peer")
			asked := make(chan struct{}, 1)
			r.useOrigins(fakeOrigins{origin.NewTracker(time.Minute), func() origin.Search {
				asked <- struct{}{}
				return origin.Search{Finding: origin.Finding{Source: origin.Recorded, Version: version, Several: true}}
			}})
			time.AfterFunc(20*time.Millisecond, func() { r.addReplicas(t, replicas...) })
			_, text, err := r.send(t, "POST", "/resumable/", "", "Goes-On", "first", "Last-Event-Id", "1")
			require.NoError(t, err)
			assert.Equal(t, "id: 2\ndata: "+version+"\n\n", text)
			assert.NotEmpty(t, asked, "other routers were not asked")
		})
	}
}

// Guards against refusals after the store was away: routes that were last observed by an old configuration
// count as not known, although versions are known again.
func TestRoutesAreCurrentAsAStreamIsTakenUp(t *testing.T) {
	address, _ := rawReplica(t, fmt.Sprintf(chunkedStreamHead, "v1")+chunk("id: 2\ndata: v1\n\n")+"0\r\n\r\n")
	r := newRig(t, address)
	r.setVersions(t, "v1")
	tracker := origin.NewTracker(time.Minute)
	r.useOrigins(fakeOrigins{tracker, func() origin.Search {
		return origin.Search{Finding: origin.Finding{Source: origin.Inferred, Version: "v1"}}
	}})
	r.front.ObserveVersions()
	tracker.Observe(origin.Routes, nil, false, time.Now())
	_, text, err := r.send(t, "POST", "/resumable/", "", "Goes-On", "first", "Last-Event-Id", "1")
	require.NoError(t, err)
	assert.Equal(t, "id: 2\ndata: v1\n\n", text)
	assert.False(t, tracker.Served(origin.Routes, time.Now()).Stale)
}
