package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func manyIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("r-%03d", i)
	}
	return ids
}

// teacherAndLearner returns two watchers of which one knows of a replica less.
func teacherAndLearner(now time.Time) (teacher, learner *Watcher) {
	ids := manyIDs(100)
	teacher, learner = newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(ids...)}, now)
	teacher.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(ids[1:]...)}, now.Add(time.Second))
	return teacher, learner
}

func TestOnlyWhatDiffersIsPassedOn(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(), now)
	require.NotNil(t, k.Excerpt)
	assert.Nil(t, k.Listing)
	assert.Nil(t, k.Config)
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.Equal(t, teacher.Replicas(), learner.Replicas())
	k, _ = teacher.Knowledge(learner.KnowledgeRequest(), now)
	assert.Nil(t, k.Excerpt, "both know the same")
}

func TestAListThatDiffersInMostIsPassedOnWhole(t *testing.T) {
	now := time.Now()
	teacher, learner := newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(10)...)}, now)
	teacher.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(100)...)}, now.Add(time.Second))
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(), now)
	assert.Nil(t, k.Excerpt)
	require.NotNil(t, k.Listing)
	k, _ = teacher.Knowledge(newWatcher(&fakeSource{}, 1).KnowledgeRequest(), now)
	assert.NotNil(t, k.Listing, "who has nothing takes all")
	assert.NotNil(t, k.Config)
}

// An excerpt fits only the list that it was asked for.
func TestAnExcerptOfAListThatHasChangedIsLeftOut(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(), now)
	learner.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas(manyIDs(99)...)}, now.Add(500*time.Millisecond))
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.Len(t, learner.Replicas(), 99)
	assert.Equal(t, now.Add(500*time.Millisecond), learner.holder.Current().ProvenAt, "it proves nothing")
}

// Sums of 32 bits may be alike by chance. The mark then tells that something is wrong.
func TestAfterAnExcerptThatDoesNotFitTheWholeListIsTaken(t *testing.T) {
	now := time.Now()
	teacher, learner := teacherAndLearner(now)
	k, _ := teacher.Knowledge(learner.KnowledgeRequest(), now)
	k.Excerpt.DifferingParts, k.Excerpt.Replicas = nil, nil
	learner.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	k, _ = teacher.Knowledge(learner.KnowledgeRequest(), now)
	require.NotNil(t, k.Listing)
	learner.ApplyKnowledge(k, now.Add(2*time.Second), now.Add(2*time.Second), "peer")
	assert.Equal(t, teacher.Replicas(), learner.Replicas())
	assert.NotEmpty(t, learner.KnowledgeRequest().PartHashes)
}
