package peer

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
)

// Guards against a request that is written to a router of a build that can't read it.
func TestRelayConnectionOpensOnlyAtRoutersThatServeIt(t *testing.T) {
	dial := DialRelay((&net.Dialer{}).DialContext)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()

	older, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer older.Close()
	go func() { _ = drpcserver.New(drpcmux.New()).Serve(t.Context(), older) }()
	_, err = dial(ctx, "tcp", older.Addr().String())
	assert.Error(t, err)

	server, err := Listen("127.0.0.1:0", Handler{Exchange: func(*peerpb.Digest) *peerpb.DigestReply { return &peerpb.DigestReply{} }}, &Meter{})
	require.NoError(t, err)
	defer server.Close()
	go func() {
		_ = http.Serve(server.Relayed(), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	}()
	client := &http.Client{Transport: &http.Transport{DialContext: dial}}
	response, err := client.Get("http://" + server.Address())
	require.NoError(t, err)
	response.Body.Close()
	assert.Equal(t, http.StatusTeapot, response.StatusCode)

	calls := NewClient(&Meter{})
	defer calls.Close()
	_, err = calls.Exchange(t.Context(), server.Address(), &peerpb.Digest{})
	assert.NoError(t, err, "calls and relayed requests share the address")
}

// Guards against a relayed answer whose break looks like its end: a connection behind the
// multiplexer that cannot be closed with a reset.
func TestRelayedConnectionCanBeReset(t *testing.T) {
	server, err := Listen("127.0.0.1:0", Handler{}, &Meter{})
	require.NoError(t, err)
	defer server.Close()
	go func() {
		c, err := server.Relayed().Accept()
		if assert.NoError(t, err) {
			assert.NoError(t, c.(interface{ SetLinger(int) error }).SetLinger(0))
			c.Close()
			assert.ErrorIs(t, c.(interface{ SetLinger(int) error }).SetLinger(0), net.ErrClosed)
		}
	}()
	c, err := DialRelay((&net.Dialer{}).DialContext)(t.Context(), "tcp", server.Address())
	require.NoError(t, err)
	defer c.Close()
	_, err = c.Read(make([]byte, 1))
	assert.ErrorIs(t, err, syscall.ECONNRESET)
}
