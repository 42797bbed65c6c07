package faulty

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a Close that waits forever for a connection that is accepted meanwhile.
func TestRelayClosesWhatItAcceptsMeanwhile(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer server.Close()
	const relays, dials = 200, 4
	for range relays {
		r, err := NewRelay(server.Addr().String())
		require.NoError(t, err)
		var callers sync.WaitGroup
		for range dials {
			callers.Go(func() {
				if c, err := net.Dial("tcp", r.Address()); err == nil {
					t.Cleanup(func() { c.Close() })
				}
			})
		}
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			r.Close()
		}()
		select {
		case <-closed:
		case <-time.After(10 * time.Second):
			require.FailNow(t, "not closed")
		}
		callers.Wait()
	}
}
