package gossip

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/watch"
)

func TestKnowledgeRepliesFitLinkRate(t *testing.T) {
	var budget sendBudget
	now := time.Now()
	const list = 57 << 10
	answered := 0
	for range 99 {
		if budget.allow(list, now) {
			answered++
		}
	}
	assert.Equal(t, 6, answered, "at once")
	assert.Less(t, float64(answered*list)/knowledgeRate, knowledgeTimeout.Seconds()/2)
	for ms := range 1000 {
		if budget.allow(list, now.Add(time.Duration(ms)*time.Millisecond)) {
			answered++
		}
	}
	assert.InDelta(t, knowledgeRate/list+6, answered, 1, "then as many as the link can carry")
	assert.True(t, budget.allow(64<<20, now.Add(time.Minute)), "a reply above the whole budget is sent alone")
}

// A router whose request is refused keeps what it has, and learns later.
func TestRefusedRouterLearnsLater(t *testing.T) {
	teacher, learner := newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	teacher.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
	require.True(t, teacher.gossip.budget.allow(1<<30, time.Now()))
	learner.gossip.fetchKnowledge(t.Context(), teacher.gossip.Address(), false)
	assert.False(t, learner.watcher.Initialized(), "a refusal contains no knowledge")
	assert.EqualValues(t, 1, teacher.gossip.RefusedRequests())
	teacher.gossip.budget.drained = time.Time{}
	learner.gossip.fetchKnowledge(t.Context(), teacher.gossip.Address(), false)
	assert.True(t, learner.watcher.Initialized())
}

// Guards against a router that is kept from passing its list on by refusing it to others: after
// a restart hundreds ask the few that have it.
func TestRefusalMakesNoReply(t *testing.T) {
	const count, refusals = 5000, 10
	teacher := newIdleRouter(t, &source{})
	var ids []string
	for n := range count {
		ids = append(ids, fmt.Sprint("i-", n))
	}
	require.NoError(t, teacher.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas(ids...)}, time.Now()))
	require.True(t, teacher.gossip.budget.allow(1<<40, time.Now()))
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range refusals {
		reply, err := teacher.gossip.Knowledge(t.Context(), &gossippb.KnowledgeRequest{})
		require.NoError(t, err)
		require.Nil(t, reply.ProofMs)
	}
	runtime.ReadMemStats(&after)
	assert.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(refusals*count), "bytes")
}
