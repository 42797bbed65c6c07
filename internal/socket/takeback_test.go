package socket

import (
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What is still under way when a connection is closed arrives if it was answered, and is taken
// back if it was not. The far side reads nothing until then and has little room.
func TestWhatWasNotAnsweredIsTakenBack(t *testing.T) {
	const size = 1 << 17
	tests := map[string]struct {
		answered bool
		want     error
	}{
		"answered":   {true, nil},
		"unanswered": {false, syscall.ECONNRESET},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			near, far := takesBackPair(t)
			require.NoError(t, far.SetReadBuffer(4<<10))
			_, err := near.Write(make([]byte, size))
			require.NoError(t, err)
			if test.answered {
				_, err = far.Write([]byte("a"))
				require.NoError(t, err)
				_, err = near.Read(make([]byte, 1))
				require.NoError(t, err)
			}
			require.NoError(t, near.Close())
			arrived, err := io.Copy(io.Discard, far)
			assert.ErrorIs(t, err, test.want)
			assert.Equal(t, test.answered, arrived == size)
		})
	}
}

// takesBackPair returns the two ends of a connection, the near one of which takes back.
func takesBackPair(t *testing.T) (near net.Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err = TakesBack(new(net.Dialer).DialContext)(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	accepted, err := listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		near.Close()
		accepted.Close()
	})
	_, known := Look(near)
	require.True(t, known)
	return near, accepted.(*net.TCPConn)
}
