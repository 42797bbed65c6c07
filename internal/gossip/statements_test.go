package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
)

// restsAt returns until when a router lets a replica rest.
func restsAt(r *router, id string) time.Time { return r.watcher.Statements().Get(id).RestUntil }

func TestHelloIsAnsweredWithRests(t *testing.T) {
	source := &source{snapshot: watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}}
	first := newRouter(t, source)
	now := steady.Now()
	until := now.Add(time.Minute)
	first.watcher.Statements().MarkResting("a", now, until, now)
	first.watcher.Statements().MarkDraining("b", now, now)
	second := newRouter(t, source, first.gossip.Address())
	waitUntil(t, func() bool { return !restsAt(second, "a").IsZero() })
	assert.WithinRange(t, restsAt(second, "a"), until.Add(-time.Millisecond), until.Add(callTimeout))
	assert.Zero(t, second.watcher.Statements().Get("b"), "a shutdown holds until a restart, which the other may not have noticed")
}

func TestRestsOfOthersAreTakenAfterStartOnly(t *testing.T) {
	r := newIdleRouter(t, &source{})
	now := steady.Now()
	r.gossip.mergeStatements(&gossippb.Freshness{Resting: []string{"a", "b"}, RestLeftMs: []uint32{1000}}, now, now)
	assert.Equal(t, now.Add(time.Second), restsAt(r, "a"))
	assert.Zero(t, restsAt(r, "b"), "columns of unequal length")
	r.gossip.mu.Lock()
	r.gossip.round = learnRounds + 1
	r.gossip.mu.Unlock()
	r.gossip.mergeStatements(&gossippb.Freshness{Resting: []string{"c"}, RestLeftMs: []uint32{1000}}, now, now)
	assert.Zero(t, restsAt(r, "c"))
}

func TestRestsInAnswerAreBounded(t *testing.T) {
	r := newIdleRouter(t, &source{})
	now := steady.Now()
	for n := range 2 * maxHelloRests {
		r.watcher.Statements().MarkResting(fmt.Sprint("i-", n), now, now.Add(time.Duration(n+1)*time.Second), now)
	}
	reply := &gossippb.Freshness{}
	r.gossip.addStatements(reply, now)
	assert.Len(t, reply.Resting, maxHelloRests)
	assert.Equal(t, fmt.Sprint("i-", 2*maxHelloRests-1), reply.Resting[0], "the longest first")
	assert.EqualValues(t, 2*maxHelloRests*1000, reply.RestLeftMs[0])
}

func TestHelloIsAnsweredWithBrittleServices(t *testing.T) {
	source := &source{snapshot: watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}}
	first := newRouter(t, source)
	now := steady.Now()
	first.balancer.SetReplicas(replicas("a", "b"), now)
	first.balancer.BrittleReported("a", 3, now)
	stated := first.balancer.BrittleServices(now)
	assert.Len(t, stated, 1)
	second := newRouter(t, source, first.gossip.Address())
	waitUntil(t, func() bool { return len(second.balancer.BrittleServices(steady.Now())) > 0 })
	learned := second.balancer.BrittleServices(steady.Now())[0]
	assert.Equal(t, 3, learned.Rejections)
	assert.WithinRange(t, learned.Until, stated[0].Until.Add(-time.Millisecond), stated[0].Until.Add(callTimeout))
}
