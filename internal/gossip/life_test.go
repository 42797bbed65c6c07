package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
)

// exchangeWith performs an exchange with another router as a round does.
func (r *router) exchangeWith(t *testing.T, other *router) {
	t.Helper()
	d := &gossippb.Digest{Sender: r.gossip.Address()}
	r.gossip.addOwnDigest(d, steady.Now())
	r.gossip.exchange(t.Context(), other.gossip.Address(), d)
}

// A drain and an evacuation that one router knew before the store was restored from a
// copy reach a router that has read only the copy.
func TestFactsHeldAgainstCopyAreShared(t *testing.T) {
	knew, fresh := newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	for _, r := range []*router{knew, fresh} {
		r.gossip.SetHoldersKnown()
	}
	copied := replicas("a", "b", "c")
	copied[2].DataCentre = "north"
	drained := append(replicas("a", "b"), copied[2])
	drained[0].State = directory.Draining
	snapshot := func(generation uint64, list []directory.Replica) watch.Snapshot {
		return watch.Snapshot{Config: config(4), Generation: generation, Replicas: list}
	}
	before := snapshot(1, drained)
	before.Evacuated = []string{"north"}
	require.NoError(t, knew.watcher.ApplySnapshot(before, steady.Now()))
	require.NoError(t, knew.watcher.ApplySnapshot(snapshot(2, copied), steady.Now()))
	require.NoError(t, fresh.watcher.ApplySnapshot(snapshot(2, copied), steady.Now()))
	assert.True(t, fresh.watcher.Ready("a"))
	fresh.exchangeWith(t, knew)
	for id, ready := range map[string]bool{"a": false, "b": true, "c": false} {
		assert.Equal(t, ready, fresh.watcher.Ready(id), id)
	}
	assert.Equal(t, knew.watcher.Digest(), fresh.watcher.Digest())

	late := newIdleRouter(t, &source{})
	late.gossip.SetHoldersKnown()
	require.NoError(t, late.watcher.ApplySnapshot(snapshot(1, copied), steady.Now()))
	late.exchangeWith(t, fresh)
	assert.Equal(t, knew.watcher.Digest(), late.watcher.Digest(), "learned from a router that learned it from another one")
}

func TestFailedReadIsShared(t *testing.T) {
	lost, other := newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	lost.watcher.ObservePeerFailure(steady.Now().Add(-time.Minute))
	lost.exchangeWith(t, other)
	age, failed := other.watcher.LastFailure(steady.Now())
	assert.True(t, failed)
	assert.GreaterOrEqual(t, age, time.Minute)
	assert.Less(t, age, 2*time.Minute)
	require.NoError(t, other.watcher.ApplySnapshot(watch.Snapshot{Config: config(4)}, steady.Now()))
	other.exchangeWith(t, lost)
	_, failed = other.watcher.LastFailure(steady.Now())
	assert.False(t, failed)
}

// A router is answered with the list hash in the form that it uses itself.
func TestOlderBuildIsAnsweredInItsForm(t *testing.T) {
	r := newIdleRouter(t, &source{})
	list := replicas("a", "b")
	for i := range list {
		list[i].Born = int64(i + 1)
	}
	require.NoError(t, r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list}, steady.Now()))
	digest, plain := r.watcher.Digest(), r.watcher.PlainHash()
	require.NotEqual(t, digest.ListHash, plain)
	age := uint32(1)
	for _, step := range []struct {
		mark, want uint64
		plain      int
	}{{digest.ListHash, digest.ListHash, 0}, {plain, plain, 1}, {7, plain, 1}, {digest.ListHash, digest.ListHash, 0}} {
		d := &gossippb.Digest{Sender: "127.0.0.9:9", Version: 4, Mark: step.mark, ProofMs: &age}
		answer, err := r.gossip.Exchange(t.Context(), d)
		require.NoError(t, err)
		assert.Equal(t, step.want, answer.Mark, "after %d", step.mark)
		assert.Equal(t, step.plain, r.gossip.OlderFormatPeers())
		assert.False(t, r.watcher.ApplyPeerProof(watch.Digest{Version: 4, ListHash: plain}, steady.Now()), "both name the same list")
	}
	reply, err := r.gossip.Knowledge(t.Context(), &gossippb.KnowledgeRequest{Version: 4, Mark: plain})
	require.NoError(t, err)
	assert.Equal(t, plain, reply.Mark)
	assert.Empty(t, reply.Replicas)
}
