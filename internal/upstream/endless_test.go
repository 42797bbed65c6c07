package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// countingConn counts the bytes that are read from it.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// Guards against a replica that exhausts a router's memory by a head, or holds a request by a
// response to another one, that has no end.
func TestEndlessResponsesAreReadUpToALimit(t *testing.T) {
	const maxHead = 8 << 10
	const chunk = "1000\r\n"
	text := strings.Repeat("x", 0x1000)
	chunked := "HTTP/1.1 200 OK\r\nTry: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	other := strings.Replace(chunked, "Try: 1", "Try: 2", 1)
	for name, test := range map[string]struct {
		begin, piece string
		// most is the limit without the connection's buffer.
		most int64
		// inBody: the head is in order.
		inBody bool
	}{
		"header lines":                {"HTTP/1.1 200 OK\r\nTry: 1\r\n", "A: b\r\n", maxHead, false},
		"empty header lines":          {"HTTP/1.1 200 OK\r\n", "a:\r\n", maxHead, false},
		"continued header line":       {"HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n", maxHead, false},
		"one header line":             {"HTTP/1.1 200 OK\r\nA: ", text, maxHead, false},
		"status line":                 {"HTTP/1.1 200 ", text, maxHead, false},
		"no HTTP":                     {"", text, maxHead, false},
		"no HTTP, but lines":          {"", "x\r\n", maxHead, false},
		"interim responses":           {"", "HTTP/1.1 103 Early Hints\r\n\r\n", maxHead, false},
		"responses to others":         {"", "HTTP/1.1 200 OK\r\nTry: 2\r\nContent-Length: 0\r\n\r\n", maxHead, false},
		"chunks of another response":  {other, chunk + text + "\r\n", maxSkippedBody + maxHead, false},
		"length of another response":  {"HTTP/1.1 200 OK\r\nTry: 2\r\nContent-Length: 99999999999\r\n\r\n", text, maxSkippedBody + maxHead, false},
		"trailers of the response":    {chunked + "0\r\n", "A: b\r\n", maxHead, true},
		"one trailer of the response": {chunked + "0\r\nA: ", text, maxHead, true},
		"line of a chunk's length":    {chunked + "1;", text, maxHead, true},
		"bytes after the response":    {"HTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length: 1\r\n\r\nx", text, maxHead, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := faulty.NewEndless(test.begin, test.piece)
			require.NoError(t, err)
			t.Cleanup(server.Close)
			var read atomic.Int64
			pool := New(Options{
				IDHeader: "Try", DialTimeout: time.Minute, SilenceTimeout: time.Minute, IdleTime: time.Minute, MaxHead: maxHead,
				Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
					c, err := (&net.Dialer{}).DialContext(ctx, network, address)
					return countingConn{c, &read}, err
				},
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			answer, err := pool.Do(ctx, server.Address(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Try": {"1"}}, ID: "1"})
			if test.inBody {
				require.NoError(t, err)
				_, _ = io.Copy(io.Discard, answer)
				answer.Close()
			} else {
				require.ErrorIs(t, err, ErrBroken)
			}
			// Bytes after a response may arrive once its connection is idle.
			pool.DropIdle()
			<-server.Closed()
			assert.NoError(t, ctx.Err(), "not held until its time is over")
			const buffer = 4 << 10
			assert.LessOrEqual(t, read.Load(), test.most+2*buffer)
		})
	}
}

// A head of the largest size is taken, with a body that is larger.
func TestHeadsUpToTheLimitAreTaken(t *testing.T) {
	const maxHead = 8 << 10
	server, err := faulty.NewEndless("HTTP/1.1 200 OK\r\nTry: 1\r\nContent-Length: 1000000\r\nA: "+strings.Repeat("a", maxHead-100)+"\r\n\r\n", "x")
	require.NoError(t, err)
	t.Cleanup(server.Close)
	pool := New(Options{IDHeader: "Try", DialTimeout: time.Minute, SilenceTimeout: time.Minute, IdleTime: time.Minute, MaxHead: maxHead})
	answer, err := pool.Do(t.Context(), server.Address(), &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Try": {"1"}}, ID: "1"})
	require.NoError(t, err)
	n, err := io.Copy(io.Discard, answer)
	assert.NoError(t, err)
	assert.EqualValues(t, 1000000, n)
	answer.Close()
}
