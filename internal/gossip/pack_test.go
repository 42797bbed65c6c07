package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/route"
)

func TestPackRoundTrip(t *testing.T) {
	packed, err := pack(config(7))
	require.NoError(t, err)
	var back route.Config
	require.NoError(t, unpack(packed, &back))
	assert.Equal(t, *config(7), back)
	for _, damaged := range [][]byte{nil, []byte("{}"), packed[:len(packed)/2], append([]byte("x"), packed...)} {
		assert.ErrorIs(t, unpack(damaged, &back), ErrMalformed)
	}
}

// A configuration of 1,400 routes that were added at once did not cross a link of 10
// Mbit/s within a call's timeout when several routers requested it.
func TestLargeConfigurationPacksSmall(t *testing.T) {
	var c route.Config
	for i := range 1400 {
		c.Routes = append(c.Routes, route.Route{Name: fmt.Sprintf("r-%x", i*7919), Host: "ficu95.example", Prefix: fmt.Sprintf("/p%x/", i*104729),
			Timeout: 4 * time.Second, Target: 300 * time.Millisecond, Attempts: 2, Shares: []route.Share{{Service: "huvo11a", Weight: 1}}})
	}
	packed, err := pack(c)
	require.NoError(t, err)
	assert.Less(t, len(packed), 40_000)
}

// When something is new, all routers that hear of it query those that sent it.
func TestEachStateIsPackedOnce(t *testing.T) {
	r := newIdleRouter(t, &source{})
	read := time.Now()
	ask := func() *gossippb.KnowledgeReply {
		reply, err := r.gossip.Knowledge(t.Context(), &gossippb.KnowledgeRequest{})
		require.NoError(t, err)
		return reply
	}
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("a", "b")}, read)
	first, again := ask(), ask()
	assert.Same(t, &first.Configuration[0], &again.Configuration[0])
	assert.Same(t, &first.Replicas[0], &again.Replicas[0])

	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("b")}, read.Add(time.Second))
	changed := ask()
	assert.Same(t, &first.Configuration[0], &changed.Configuration[0])
	assert.NotEqual(t, first.Replicas, changed.Replicas)
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(5), Replicas: replicas("b")}, read.Add(2*time.Second))
	assert.NotEqual(t, first.Configuration, ask().Configuration)
}
