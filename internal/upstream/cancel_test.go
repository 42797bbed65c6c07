package upstream

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// A request cancelled during a network partition was answered elsewhere. Three seconds after
// the partition healed, its bytes still reached the first replica, which had left by then.
func TestCancelledRequestIsNotDeliveredLater(t *testing.T) {
	replica, err := faulty.NewNarrow()
	require.NoError(t, err)
	defer replica.Close()
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		replica.Begun()
		cancel()
	}()
	request := &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Try": {"a"}}, Body: make([]byte, 1<<17), ID: "a"}
	_, err = pool.Do(ctx, replica.Address(), request)
	require.ErrorIs(t, err, ErrBroken)
	assert.ErrorIs(t, replica.Rest(), syscall.ECONNRESET, "the kernel kept the request and delivered it")
}
