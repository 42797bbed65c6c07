package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

func twoEngines(now time.Time) *Balancer {
	b := New(1)
	b.SetReplicas([]directory.Replica{{ID: "a", Service: "s", Address: "a:1"}, {ID: "b", Service: "s", Address: "b:1"}}, now)
	return b
}

// sharedPrompt returns a prompt with a shared part.
func sharedPrompt() []Part { return []Part{{ID: 5, Tokens: 100}, {ID: 6, Tokens: 1}} }

func TestRestartClearsReplicaState(t *testing.T) {
	now := time.Now()
	b := twoEngines(now)
	b.RequestSucceeded("a", sharedPrompt(), now)
	b.RequestFailed("a", Refused, "", now)
	b.LoadReported("a", 50, now)
	assert.True(t, b.Suspected("a", now))
	var told []string
	b.SetReplicaHooks(ReplicaHooks{Restarted: func(id, address string) { told = append(told, id+" "+address) }})
	b.ReplicaRestarted("a", false, now)
	assert.Equal(t, []string{"a a:1"}, told)
	assert.False(t, b.Suspected("a", now))
	assert.Empty(t, b.Holders(now))
	b.mu.Lock()
	load := b.load(b.replicas["a"], now)
	b.mu.Unlock()
	assert.Zero(t, load)
	assert.Len(t, b.TakeRumors(start).Failures, 1, "only the failure is a rumor; the list shows the restart")
}

func TestRestartIsGossiped(t *testing.T) {
	now := time.Now()
	reader, other := twoEngines(now), twoEngines(now)
	other.RequestSucceeded("a", sharedPrompt(), now)
	other.TakeRumors(start)
	var told []string
	other.SetReplicaHooks(ReplicaHooks{Restarted: func(id, _ string) { told = append(told, id) }})
	reader.ReplicaRestarted("a", true, now)
	rumors := reader.TakeRumors(start)
	other.MergeRumors(rumors, now)
	assert.Empty(t, other.Holders(now))
	other.MergeRumors(rumors, now)
	assert.Equal(t, []string{"a"}, told, "notified only once")
	// Late rumors about the earlier life are ignored.
	other.MergeRumors(Rumors{
		Failures: []ObservedFailure{{ReplicaHash("a"), Refused, now.Add(-time.Second)}},
		Holders:  []PartHolder{{5, ReplicaHash("a")}},
	}, now.Add(100*time.Millisecond))
	assert.Empty(t, other.Holders(now.Add(100*time.Millisecond)))
	assert.False(t, other.Suspected("a", now.Add(100*time.Millisecond)))
	other.RequestSucceeded("a", sharedPrompt(), now.Add(time.Second))
	assert.NotEmpty(t, other.Holders(now.Add(time.Second)), "its own answer tells what it holds now")
}

// A router that does not know a failure kind, such as restarts, ignores it.
func TestUnknownFailureKindIsIgnored(t *testing.T) {
	now := time.Now()
	b := twoEngines(now)
	b.MergeRumors(Rumors{Failures: []ObservedFailure{{ReplicaHash("a"), Restart + 1, now}}}, now)
	assert.False(t, b.Suspected("a", now))
}

func TestUnusableReplicaIsNeitherChosenNorCopiedFrom(t *testing.T) {
	now := time.Now()
	b := twoEngines(now)
	b.RequestSucceeded("a", sharedPrompt(), now)
	b.SetReplicas([]directory.Replica{{ID: "a", State: directory.Unusable}, {ID: "b", Service: "s", Address: "b:1"}}, now)
	for range 20 {
		choice, found := b.Pick(Request{Service: "s", Parts: sharedPrompt()}, now)
		assert.True(t, found)
		assert.Equal(t, "b", choice.Replica.ID)
		assert.Empty(t, choice.CopySource)
	}
}
