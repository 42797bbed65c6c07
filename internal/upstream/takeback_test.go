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

// Seen: a request was given up behind a cut and answered elsewhere. Three seconds after the cut
// had healed its bytes reached the replica all the same, which had left by then.
func TestARequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	replica, err := faulty.NewNarrow()
	require.NoError(t, err)
	defer replica.Close()
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
	ctx, giveUp := context.WithCancel(t.Context())
	go func() {
		replica.Begun()
		giveUp()
	}()
	request := &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Try": {"a"}}, Body: make([]byte, 1<<17), ID: "a"}
	_, err = pool.Do(ctx, replica.Address(), request)
	require.ErrorIs(t, err, ErrBroken)
	assert.ErrorIs(t, replica.Rest(), syscall.ECONNRESET, "the system still had it, and delivered it")
}
