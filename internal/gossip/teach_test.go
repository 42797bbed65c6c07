package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
