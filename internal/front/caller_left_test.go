package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/callerconn"
)

// lateListener accepts connections whose reads proceed one at a time, when the test permits.
type lateListener struct {
	net.Listener
	reads chan struct{}
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), reads: l.reads, closed: make(chan struct{}), past: make(chan struct{}, 1)}, nil
}

type lateConn struct {
	*net.TCPConn
	reads  chan struct{}
	closed chan struct{}
	past   chan struct{}
	once   sync.Once
}

// SetReadDeadline ends a blocked read, as a server does before it answers.
func (c *lateConn) SetReadDeadline(t time.Time) error {
	if !t.IsZero() && t.Before(time.Now()) {
		select {
		case c.past <- struct{}{}:
		default:
		}
	}
	return nil
}

func (c *lateConn) Read(p []byte) (int, error) {
	select {
	case <-c.reads:
		return c.TCPConn.Read(p)
	case <-c.past:
		return 0, os.ErrDeadlineExceeded
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

func (c *lateConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.TCPConn.Close()
}

// dial opens a caller's connection.
func dial(t *testing.T, address string) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func head(method, path string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nTry: id-1\r\nAuthorization: Key k1\r\nContent-Length: 0\r\n\r\n", method, path)
}

// serveWithLimits serves a rig's Front with the connection hooks of a router.
func (r *rig) serveWithLimits(t *testing.T, l net.Listener) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(r.front)
	if l != nil {
		server.Listener.Close()
		server.Listener = l
	}
	limits := callerconn.New(r.holder, r.log)
	server.Config.ConnState, server.Config.ConnContext = limits.ConnState, limits.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func TestAbandonedRequestNotSent(t *testing.T) {
	leave := map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) {
			_ = c.SetLinger(0)
			c.Close()
		},
	}
	for name, leave := range leave {
		t.Run(name, func(t *testing.T) {
			address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
			r := newRig(t, address)
			raw, err := faulty.Listen()
			require.NoError(t, err)
			late := &lateListener{Listener: raw, reads: make(chan struct{})}
			r.serveWithLimits(t, late)

			caller := dial(t, raw.Addr().String())
			_, err = io.WriteString(caller, head("GET", "/repeat/x"))
			require.NoError(t, err)
			leave(caller)
			// Permit one read, of the head. The read of the end is still blocked.
			late.reads <- struct{}{}
			waitUntil(t, func() bool { return r.front.metrics.Duration.Count() == 1 })
			assert.Zero(t, arrivals.Load())
			gone := gometrics.GetOrRegisterCounter("croftyard.front.requests."+outcomeGone, r.front.metrics.Registry)
			assert.EqualValues(t, 1, gone.Count())
		})
	}
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// waitUntil waits for a condition.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "condition not met in %v", waitLimit)
	}
}

func TestReplicaWorkEndsWhenCallerLeaves(t *testing.T) {
	piece := make([]byte, 64<<10)
	endless := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := w.Write(append(piece, '\n', '\n')); err != nil {
				return
			}
		}
	}
	silentStream := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	waiting := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	readSome := func(c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 16)) }
	tests := map[string]struct {
		path    string
		replica http.HandlerFunc
		before  func(net.Conn)
	}{
		"before the head":               {"/repeat/x", waiting, func(net.Conn) {}},
		"before the head, runs once":    {"/once/x", waiting, func(net.Conn) {}},
		"in a silent stream":            {"/stream/x", silentStream, readSome},
		"in a silent resumable stream":  {"/resumable/x", silentStream, readSome},
		"in an unread stream":           {"/stream/x", endless, readSome},
		"in an unread resumable stream": {"/resumable/x", endless, readSome},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			begun, ended := make(chan struct{}, 1), make(chan struct{}, 1)
			address, arrivals := replica(t, func(w http.ResponseWriter, r *http.Request) {
				begun <- struct{}{}
				test.replica(w, r)
				ended <- struct{}{}
			})
			r := newRig(t, address)
			server := r.serveWithLimits(t, nil)
			caller := dial(t, server.Listener.Addr().String())
			_, err := io.WriteString(caller, head("GET", test.path))
			require.NoError(t, err)
			<-begun
			test.before(caller)
			caller.Close()
			<-ended
			waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
			assert.EqualValues(t, 1, arrivals.Load(), "no further attempt is sent")
		})
	}
}

func TestUnreadAnswerEndsAtDeadline(t *testing.T) {
	ended := make(chan struct{})
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		defer close(ended)
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	r := newRig(t, address)
	server := r.serveWithLimits(t, nil)
	caller := dial(t, server.Listener.Addr().String())
	_, err := io.WriteString(caller, head("GET", "/short/x"))
	require.NoError(t, err)
	<-ended
	waitUntil(t, func() bool { return r.front.ActiveRequests() == 0 })
}

func TestWriteDeadlineClearedAfterAnswer(t *testing.T) {
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	r := newRig(t, address)
	server := r.serveWithLimits(t, nil)
	caller := dial(t, server.Listener.Addr().String())
	reader := bufio.NewReader(caller)
	for _, text := range []struct {
		sent   string
		status int
	}{{head("GET", "/short/x"), http.StatusOK}, {"no request\r\n\r\n", http.StatusBadRequest}} {
		_, err := io.WriteString(caller, text.sent)
		require.NoError(t, err)
		response, err := http.ReadResponse(reader, nil)
		require.NoError(t, err)
		assert.Equal(t, text.status, response.StatusCode)
		_, err = io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		// Past the route's timeout and the grace for the answer.
		time.Sleep(200*time.Millisecond + answerGrace)
	}
}

func TestHalfClosedCallerGetsNoCompleteAnswer(t *testing.T) {
	address, arrivals := replica(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := newRig(t, address)
	server := r.serveWithLimits(t, nil)
	caller := dial(t, server.Listener.Addr().String())
	_, err := io.WriteString(caller, head("GET", "/once/x"))
	require.NoError(t, err)
	waitUntil(t, func() bool { return arrivals.Load() == 1 })
	require.NoError(t, caller.CloseWrite())
	answer, err := io.ReadAll(caller)
	assert.Empty(t, answer)
	assert.NoError(t, err)
}
