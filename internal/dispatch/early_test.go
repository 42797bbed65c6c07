package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a part of a target's answer that is whole to its caller: the target sent it before
// it had read a long request, and reset the connection.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	const plays = 20
	for range plays {
		server, err := faulty.NewEarly("HTTP/1.1 200 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\n\r\npart of the body")
		require.NoError(t, err)
		go func() {
			<-server.Begun()
			server.Reset()
		}()
		request := cutRequest(server.Address(), false)
		request.Body = make([]byte, 8<<20)
		out := New(time.Minute).Run(t.Context(), request, discard{})
		server.Close()
		assert.False(t, out.Whole, "%+v", out)
		assert.False(t, out.NotRun, "%+v", out)
	}
}
