package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Seen: a request was given up behind a cut and answered elsewhere. Three seconds after the cut
// had healed its bytes reached the replica all the same, which had left by then.
//
// What the way holds back here is what does not fit into the replica's small buffer.
func TestARequestThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	accepted := make(chan *net.TCPConn, 1)
	ctx, giveUp := context.WithCancel(t.Context())
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		replica := c.(*net.TCPConn)
		_ = replica.SetReadBuffer(4 << 10)
		// The first byte is there, the rest is under way.
		_, _ = replica.Read(make([]byte, 1))
		accepted <- replica
		giveUp()
	}()
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Minute, IdleTime: time.Minute})
	body := make([]byte, 1<<17)
	_, err = pool.Do(ctx, listener.Addr().String(), &Request{Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Try": {"a"}}, Body: body, ID: "a"})
	require.ErrorIs(t, err, ErrBroken)
	replica := <-accepted
	defer replica.Close()
	_, err = io.Copy(io.Discard, replica)
	assert.ErrorIs(t, err, syscall.ECONNRESET, "the system still had it, and delivered it")
}
