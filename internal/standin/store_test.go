package standin

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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
