package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/rollout"
	"github.com/croftyard/croftyard/platform"
)

// The router's own client reads the stand-in, page by page, and meets its faults.
func TestTheStoreAsARouterReadsIt(t *testing.T) {
	const replicas = 3 * storePage
	store := NewStore()
	store.Put(platform.ConfigKey, platform.Configuration{Version: 7, Routes: []platform.RouteEntry{
		{Name: "r", Host: "h.example", PathPrefix: "/a/", Type: platform.RouteIdempotent, Service: "s", MaxAttempts: 2},
	}, Services: []platform.ServiceEntry{{Name: "s"}}})
	for n := range replicas {
		id := fmt.Sprint("i-", n)
		store.Put(platform.ReplicaKey(id), platform.ReplicaEntry{Service: "s", Address: "127.0.0.1:1", State: platform.ReplicaReady})
	}
	store.Remove(platform.ReplicaKey("i-0"))
	server, err := Serve("127.0.0.1:0", store.Handler("r0"))
	require.NoError(t, err)
	defer server.Close()
	read := func() (int, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		snapshot, err := platform.NewStore("http://"+server.Address, time.Second, time.Minute).Read(ctx)
		if err == nil {
			assert.EqualValues(t, 7, snapshot.Config.Version)
		}
		return len(snapshot.Replicas), err
	}
	n, err := read()
	require.NoError(t, err)
	assert.Equal(t, replicas-1, n)
	for name, fault := range map[string]StoreFaults{
		"down": {Status: http.StatusServiceUnavailable}, "slow": {Slow: time.Second}, "silent": {Silent: true}, "loses answers": {LoseAnswers: true},
	} {
		store.Set(fault)
		_, err := read()
		assert.Error(t, err, name)
	}
	store.Set(StoreFaults{})
	store.Refuse("r0", http.StatusTooManyRequests)
	_, err = read()
	assert.ErrorIs(t, err, platform.ErrStore)
	store.Refuse("r0", 0)
	store.Refuse("r1", http.StatusTooManyRequests)
	_, err = read()
	assert.NoError(t, err, "another router is refused")
}

// Routers write on a condition; what they wrote is lost with a return to an older copy.
func TestRoutersWriteToTheStore(t *testing.T) {
	store := NewStore()
	server, err := Serve("127.0.0.1:0", store.Handler("r0"))
	require.NoError(t, err)
	defer server.Close()
	write := rollout.Write{Service: "s", Version: "v2", State: rollout.InProgress}
	client := platform.NewStore("http://"+server.Address, time.Second, time.Minute)
	before := store.Copy()
	revision, err := client.WriteStatus(t.Context(), write)
	require.NoError(t, err)
	assert.EqualValues(t, 1, revision)
	_, err = client.WriteStatus(t.Context(), write)
	assert.ErrorIs(t, err, rollout.ErrConflict)
	write.Status = revision
	_, err = client.WriteStatus(t.Context(), write)
	assert.NoError(t, err)
	assert.Len(t, Differing(before, store.Copy()), 1)
	store.Return(before)
	assert.Empty(t, Differing(before, store.Copy()))

	store.Put(platform.ReplicaKey("i-1"), "")
	body, err := json.Marshal(platform.Transaction{Remove: []string{platform.ReplicaKey("i-1")}})
	require.NoError(t, err)
	response, err := http.Post("http://"+server.Address+platform.WritePath, "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusForbidden, response.StatusCode)
	assert.True(t, store.Copy().Has(platform.ReplicaKey("i-1")))
}
