package socket

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const half = "half"

// writeBeyondBuffers writes more than the far side, which reads nothing, has room for, and reads
// what comes meanwhile. wrote delivers the result of the write.
func writeBeyondBuffers(t *testing.T, near net.Conn, far *net.TCPConn) (wrote chan error) {
	t.Helper()
	const size = 16 << 20
	wrote = make(chan error, 1)
	go func() {
		_, err := near.Write(make([]byte, size))
		wrote <- err
	}()
	_, err := io.ReadFull(far, make([]byte, 1))
	require.NoError(t, err)
	_, err = io.WriteString(far, half)
	require.NoError(t, err)
	_, err = io.ReadFull(near, make([]byte, len(half)))
	require.NoError(t, err)
	return wrote
}

// Guards against a reset that the system reports to the write only, after which the read finds an
// end in order.
func TestResetDuringWriteIsNoEnd(t *testing.T) {
	for name, readsFirst := range map[string]bool{"read after the write failed": false, "read beside the write": true} {
		t.Run(name, func(t *testing.T) {
			const plays = 20
			for range plays {
				near, far := takesBackPair(t)
				wrote := writeBeyondBuffers(t, near, far)
				read := make(chan error, 1)
				if readsFirst {
					go func() { _, err := near.Read(make([]byte, 1)); read <- err }()
				}
				require.NoError(t, far.SetLinger(0))
				require.NoError(t, far.Close())
				assert.Error(t, <-wrote)
				if !readsFirst {
					_, err := near.Read(make([]byte, 1))
					read <- err
				}
				err := <-read
				assert.Error(t, err)
				assert.NotErrorIs(t, err, io.EOF)
			}
		})
	}
}

// Guards against an answer that is cut, or waits for the end of its request, although the other
// side ended it in order before it had read the request.
func TestEndDuringWriteIsRead(t *testing.T) {
	near, far := takesBackPair(t)
	wrote := writeBeyondBuffers(t, near, far)
	require.NoError(t, far.CloseWrite())
	_, err := near.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF)
	near.Close()
	assert.Error(t, <-wrote)
}
