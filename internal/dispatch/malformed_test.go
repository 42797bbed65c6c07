package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against bytes that are no answer, of a target in trouble, which the caller gets as one, or
// which crash the handler of its request.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const echo = AttemptHeader + ": " + cutAttempt + "\r\n"
	for name, head := range map[string]string{
		"status 000":              "HTTP/1.1 000 OK\r\n" + echo + "Content-Length: 4\r\n",
		"status 999":              "HTTP/1.1 999 OK\r\n" + echo + "Content-Length: 4\r\n",
		"protocol switched":       "HTTP/1.1 101 Switching Protocols\r\n" + echo,
		"blank in a name":         "HTTP/1.1 200 OK\r\n" + echo + "A b: c\r\nContent-Length: 4\r\n",
		"blank behind a name":     "HTTP/1.1 200 OK\r\n" + echo + "Content-Length : 4\r\n",
		"control byte in a name":  "HTTP/1.1 200 OK\r\n" + echo + "A\x01: c\r\nContent-Length: 4\r\n",
		"control byte in a value": "HTTP/1.1 200 OK\r\n" + echo + "A: \x00\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			server, err := faulty.NewScripted(cutPath, faulty.Reply{Text: head + "\r\nbody", End: faulty.Closed})
			require.NoError(t, err)
			defer server.Close()
			var sink record
			out := New(time.Minute).Run(t.Context(), cutRequest(server.Address(), false), &sink)
			assert.False(t, out.Whole, "%+v", out)
			assert.False(t, out.Begun, "%+v", out)
			assert.False(t, out.NotRun, "%+v", out)
			assert.Empty(t, sink.body.String())
		})
	}
}
