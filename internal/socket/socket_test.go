package socket

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// connected returns the two ends of a connection.
func connected(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		dialled.Close()
		accepted.Close()
	})
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

func left(c net.Conn) bool {
	s, known := Look(c)
	return known && s.Left
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// until waits for a condition.
func until(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); {
		require.True(t, time.Now().Before(end), "condition not met in %v", waitLimit)
	}
}

func TestLeavingIsSeenBehindUnreadBytesAndBesideARead(t *testing.T) {
	tests := map[string]func(near, far *net.TCPConn){
		"closed":               func(_, far *net.TCPConn) { far.Close() },
		"closed behind a text": func(_, far *net.TCPConn) { _, _ = far.Write([]byte("text")); far.Close() },
		"reset":                func(_, far *net.TCPConn) { _ = far.SetLinger(0); far.Close() },
		"a read is under way":  func(near, far *net.TCPConn) { go func() { _, _ = near.Read(make([]byte, 1)) }(); far.Close() },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := connected(t)
			assert.False(t, left(near))
			leave(near, far)
			until(t, func() bool { return left(near) })
		})
	}
}

func TestBytesThatArrivedAreAcknowledged(t *testing.T) {
	near, _ := connected(t)
	_, err := near.Write([]byte("text"))
	require.NoError(t, err)
	until(t, func() bool {
		s, known := Look(near)
		require.True(t, known)
		return !s.Unacked
	})
}

func TestOnlySocketsAreKnown(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	_, known := Look(near)
	assert.False(t, known)
	closed, _ := connected(t)
	closed.Close()
	_, known = Look(closed)
	assert.False(t, known)
}

// Guards against a dead connection that looks like one whose other side has nothing to say.
func TestProbedConnection(t *testing.T) {
	tests := map[string]struct{ silenced, probed bool }{
		"quiet":    {false, false},
		"silenced": {true, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const idle = time.Second
			near, far := connected(t)
			require.NoError(t, near.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: idle, Interval: idle, Count: 9}))
			if test.silenced {
				require.NoError(t, faulty.Silence(far))
				until(t, func() bool {
					s, known := Look(near)
					return known && s.Probed
				})
				return
			}
			for end := time.Now().Add(2 * idle); time.Now().Before(end); time.Sleep(idle / 20) {
				s, known := Look(near)
				require.True(t, known)
				// A probe is answered within microseconds, but not at once.
				if s.Probed {
					time.Sleep(idle / 20)
					s, _ = Look(near)
				}
				require.False(t, s.Probed)
			}
		})
	}
}
