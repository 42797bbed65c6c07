package upstream

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

func TestProbeReportsProcessState(t *testing.T) {
	tests := map[string]struct {
		// serve handles the n-th accepted connection.
		serve func(n int, l net.Listener, c net.Conn)
		state ProcessState
	}{
		"keeps serving":                             {serve: func(int, net.Listener, net.Conn) {}, state: Listening},
		"closes excess connections":                 {serve: func(_ int, _ net.Listener, c net.Conn) { c.Close() }, state: Rejecting},
		"accepts one more connection while it ends": {serve: func(_ int, l net.Listener, c net.Conn) { l.Close(); c.Close() }, state: Ended},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			listener, err := faulty.Listen()
			require.NoError(t, err)
			defer listener.Close()
			go func() {
				for n := 0; ; n++ {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					test.serve(n, listener, c)
				}
			}()
			pool := New(Options{DialTimeout: time.Second, SilenceTimeout: time.Second, IdleTime: time.Minute})
			assert.Equal(t, test.state, pool.Probe(t.Context(), listener.Addr().String()))
			assert.Equal(t, test.state == Listening, pool.Idle() == 1, "the probe's connection is kept only if the process listens")
			pool.DropIdleTo(listener.Addr().String())
			assert.Zero(t, pool.Idle())
		})
	}
}

func TestProbeReportsEndedWhenRefused(t *testing.T) {
	listener, err := faulty.Listen()
	require.NoError(t, err)
	address := listener.Addr().String()
	listener.Close()
	pool := New(Options{DialTimeout: time.Second, SilenceTimeout: time.Second, IdleTime: time.Minute})
	assert.Equal(t, Ended, pool.Probe(t.Context(), address))
}
