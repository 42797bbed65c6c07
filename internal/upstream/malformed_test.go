package upstream

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against bytes that are no answer and are found only if all of them arrive at once, or on a
// connection that holds nothing yet.
func TestMalformedHeadInPiecesIsNoAnswer(t *testing.T) {
	const (
		pause   = 2 * time.Millisecond
		interim = "HTTP/1.1 100 Continue\r\n\r\n"
		other   = "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 4\r\n\r\nold!"
	)
	for name, head := range map[string]string{
		"folded line":    "HTTP/1.1 200 OK\r\nTry: 1\r\nA: b\r\n c: d\r\nContent-Length: 2\r\n\r\nab",
		"folded length":  "HTTP/1.1 200 OK\r\nTry: 1\r\nA: b\r\n\tContent-Length: 2\r\n\r\nab",
		"blank in name":  "HTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length : 2\r\n\r\nab",
		"coding of 1.0":  "HTTP/1.0 200 OK\r\nTry: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"status 000":     "HTTP/1.1 000 OK\r\nTry: 1\r\nContent-Length: 2\r\n\r\nab",
		"behind interim": interim + "HTTP/1.1 200 OK\r\nTry: 1\r\nA: b\r\n c: d\r\nContent-Length: 2\r\n\r\nab",
		"behind another": other + "HTTP/1.1 200 OK\r\nTry: 1\r\nA: b\r\n c: d\r\nContent-Length: 2\r\n\r\nab",
		"in another":     "HTTP/1.1 200 OK\r\nTry: 0\r\nA: b\r\n c: d\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length: 2\r\n\r\nab",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for at := range len(head) {
				reply := faulty.Reply{Text: head[:at], Pause: pause, Rest: head[at:], End: faulty.Closed}
				server, err := faulty.NewScripted(cutPath, reply)
				require.NoError(t, err)
				pool := cutPool()
				_, err = askFor(t.Context(), t, pool, server.Address(), "", "1")
				assert.ErrorIs(t, err, ErrBroken, "%q, pause, %q", reply.Text, reply.Rest)
				assert.Zero(t, pool.Idle())
				server.Close()
			}
		})
	}
}
