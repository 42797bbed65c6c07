package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
)

func manyIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("r-%03d", i)
	}
	return ids
}

// teacherAndLearner returns two watchers, of which the teacher knows one replica less.
func teacherAndLearner(now time.Time) (teacher, learner *Watcher) {
	ids := manyIDs(100)
	teacher, learner = newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(ids...)}, now)
	teacher.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(ids[1:]...)}, now.Add(time.Second))
	return teacher, learner
}

func TestKnowledgeHasOnlyDifferences(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(false), now)
	require.NotNil(t, k.Excerpt)
	assert.Nil(t, k.Listing)
	assert.Nil(t, k.Config)
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.Equal(t, teacher.Replicas(), learner.Replicas())
	k, _ = teacher.Knowledge(learner.KnowledgeRequest(false), now)
	assert.Nil(t, k.Excerpt, "both have the same list")
}

func TestKnowledgeHasTheWholeListWhenMostPartsDiffer(t *testing.T) {
	now := time.Now()
	teacher, learner := newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(10)...)}, now)
	teacher.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(100)...)}, now.Add(time.Second))
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(false), now)
	assert.Nil(t, k.Excerpt)
	require.NotNil(t, k.Listing)
	k, _ = teacher.Knowledge(newWatcher(&fakeSource{}, 1).KnowledgeRequest(false), now)
	assert.NotNil(t, k.Listing, "a router without a list receives all of it")
	assert.NotNil(t, k.Config)
}

// An excerpt applies only to the list that it was requested for.
func TestExcerptOfAChangedListIsIgnored(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(false), now)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(99)...)}, now.Add(500*time.Millisecond))
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.Len(t, learner.Replicas(), 99)
	assert.Equal(t, now.Add(500*time.Millisecond), learner.holder.Current().ProvenAt, "the excerpt proves nothing")
}

// Hashes of 32 bits may collide. The hash of the whole list then shows the mismatch.
func TestWholeListIsRequestedAfterAHashMismatch(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(false), now)
	k.Excerpt.DifferingParts, k.Excerpt.Replicas = nil, nil
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	k, _ = teacher.Knowledge(learner.KnowledgeRequest(false), now)
	require.NotNil(t, k.Listing)
	learner.ApplyKnowledge(k, now.Add(2*time.Second), now.Add(2*time.Second), "peer")
	assert.Equal(t, teacher.Replicas(), learner.Replicas())
	assert.NotEmpty(t, learner.KnowledgeRequest(false).PartHashes)
}

// While a list grows, a read that took long held more than a later one that was quick. Lists
// were taken by when their reads were sent, so that a thousand replicas went and came again.
func TestListOfALowerRevisionIsNotTaken(t *testing.T) {
	w, now := newWatcher(&fakeSource{}, 0), time.Now()
	require.NoError(t, w.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a", "b", "c"), Revision: 30}, now.Add(-3*time.Second)))
	later := now.Add(-time.Second)
	newer := w.ApplyPeerProof(Digest{Version: 4, ListHash: 1, Revision: 20}, later)
	assert.False(t, newer, "this list reflects all that the other one does")
	assert.Equal(t, later, w.directory.ReadTime(), "so that it is as new")
	other := directory.Listing{Replicas: replicas("a", "b")}
	w.ApplyKnowledge(Knowledge{Version: 4, ListHash: 1, Listing: &other, Revision: 20}, now, now.Add(-time.Second/2), "peer")
	assert.Len(t, w.Replicas(), 3)
	assert.True(t, w.ApplyPeerProof(Digest{Version: 4, ListHash: 1, Revision: 40}, now))
	assert.True(t, w.ApplyPeerProof(Digest{Version: 4, ListHash: 1, Revision: 20, Generation: 1}, now), "revisions of another generation")
}
