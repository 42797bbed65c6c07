package upstream

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a replica that is taken to be out of reach although it answers, has no room or is in
// trouble, and against one that is taken to be reached although nothing comes from it.
func TestAnswers(t *testing.T) {
	const path = "/health"
	answer := func(text string) func(*net.TCPConn) {
		return func(c *net.TCPConn) { _, _ = io.WriteString(c, text) }
	}
	nothing := func(*net.TCPConn) {}
	stay := func(c *net.TCPConn) { _, _ = io.Copy(io.Discard, c) }
	tests := map[string]struct {
		path string
		// serve serves a connection, which is closed behind it; nil: nothing listens.
		serve func(*net.TCPConn)
		reset bool
		want  bool
	}{
		"healthy":             {path, answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"), false, true},
		"in trouble":          {path, answer("HTTP/1.1 503 Service Unavailable\r\n\r\n"), false, true},
		"closes":              {path, nothing, false, true},
		"resets":              {path, nothing, true, true},
		"silent":              {path, stay, false, false},
		"nothing listens":     {path, nil, false, false},
		"no path":             {"", stay, false, true},
		"no path, closes":     {"", nothing, false, true},
		"no path, no process": {"", nil, false, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := faulty.Listen()
			require.NoError(t, err)
			defer listener.Close()
			if test.serve == nil {
				listener.Close()
			}
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						raw := c.(*net.TCPConn)
						if test.reset {
							_ = raw.SetLinger(0)
						}
						test.serve(raw)
					}()
				}
			}()
			pool := New(Options{IDHeader: "Try", DialTimeout: time.Second, SilenceTimeout: time.Second, IdleTime: time.Minute})
			defer pool.DropIdle()
			ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
			defer cancel()
			assert.Equal(t, test.want, pool.Answers(ctx, listener.Addr().String(), test.path))
		})
	}
}
