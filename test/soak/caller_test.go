package soak

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
)

// brokenRouter reads one whole request on each connection, writes some bytes and
// closes it, or keeps it open if it is told to.
func brokenRouter(t *testing.T, answer string, keep bool) *router {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveBroken(c, answer, keep)
		}
	}()
	return &router{callers: l.Addr().String(), life: &Life{Router: "broken"}}
}

// unread is no answer: the connection is closed before its request is read.
const unread = "unread"

func serveBroken(c net.Conn, answer string, keep bool) {
	defer c.Close()
	if answer == unread {
		// One byte tells that the rest is there.
		_, _ = c.Read(make([]byte, 1))
		return
	}
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || !keep {
			return
		}
	}
}

// exchangeWith sends one request to a broken router.
func exchangeWith(t *testing.T, answer string, keep bool, s style) (*Attempt, bool) {
	t.Helper()
	c, err := dial(brokenRouter(t, answer, keep))
	require.NoError(t, err)
	defer c.Close()
	a := &Attempt{ID: "id", Method: http.MethodPost, Path: "/x", Deadline: time.Second}
	s.body = bodyOf(a.ID, bodySize)
	return a, c.exchange(a, s)
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes"

func TestACallerTellsHowAnAnswerEnded(t *testing.T) {
	const chunkedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		keep   bool
		style  style
		want   func(*testing.T, *Attempt, bool)
	}{
		"whole": {wholeAnswer, true, style{}, func(t *testing.T, a *Attempt, again bool) {
			assert.True(t, a.Complete && again && !a.Closed)
			assert.Equal(t, "yes", a.Body)
		}},
		"whole, to a request in chunks with a pause": {wholeAnswer, true, style{chunked: true, pause: time.Millisecond}, func(t *testing.T, a *Attempt, again bool) {
			assert.True(t, a.Complete && a.Whole && again)
		}},
		"the last of its connection": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n\r\nyes", true, style{}, func(t *testing.T, a *Attempt, again bool) {
			assert.True(t, a.Complete)
			assert.False(t, again)
		}},
		"closed under a whole request": {"", false, style{}, func(t *testing.T, a *Attempt, again bool) {
			assert.True(t, a.Closed && a.Whole && !a.Reset)
			assert.False(t, a.Complete || again)
		}},
		"closed before the request was read": {unread, false, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.True(t, a.Closed && a.Reset)
		}},
		"closed amid a body": {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nyes", false, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.True(t, a.Closed)
			assert.False(t, a.Complete)
			assert.Equal(t, "yes", a.Body)
		}},
		"a stream that ends amid an event": {chunkedHead + "e\r\nid: 1\ndata: a\n\r\n0\r\n\r\n", true, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.False(t, a.Complete)
			assert.Empty(t, a.Seen)
		}},
		"a whole stream": {chunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n", true, style{}, func(t *testing.T, a *Attempt, again bool) {
			assert.True(t, a.Complete && again)
			assert.Equal(t, []Event{{ID: "1", Data: "a"}}, a.Seen)
		}},
		"a cut stream": {chunkedHead + "f\r\nid: 1\ndata: a\n\n\r\n", false, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.True(t, a.Closed)
			assert.Len(t, a.Seen, 1)
		}},
		"no answer in the protocol": {"\x00\x01 no answer\r\n\r\n", false, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.True(t, a.Unasked)
		}},
		"a second answer behind the first": {wholeAnswer + wholeAnswer, true, style{}, func(t *testing.T, a *Attempt, _ bool) {
			assert.True(t, a.Unasked)
		}},
		"no answer before the caller leaves": {"HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n", true, style{leave: time.Millisecond}, func(t *testing.T, a *Attempt, again bool) {
			assert.False(t, a.LeftAt.IsZero() || a.Closed || again)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			a, again := exchangeWith(t, c.answer, c.keep, c.style)
			c.want(t, a, again)
		})
	}
}

// The stand-ins of replicas and a caller agree on what a whole answer is, and the
// faults are what they are said to be.
func TestReplicasAndTheirFaults(t *testing.T) {
	for _, fault := range slices.Concat([]standin.ReplicaFault{""}, standin.ReplicaFaults, standin.FramingFaults) {
		for _, pieces := range []int{0, streamEvents} {
			t.Run(string(fault)+map[bool]string{true: " stream"}[pieces > 0], func(t *testing.T) {
				replica, err := standin.StartReplica("r.1", "127.0.0.1:0", standin.ReplicaOptions{Service: plain, Pieces: pieces})
				require.NoError(t, err)
				defer replica.Crash()
				if fault != "" {
					replica.Fail(fault)
				}
				c, err := dial(&router{callers: replica.Address(), life: &Life{}})
				require.NoError(t, err)
				defer c.Close()
				a := &Attempt{ID: "id", Method: http.MethodPost, Path: "/once/x", Deadline: 200 * time.Millisecond, Events: pieces}
				c.exchange(a, style{body: bodyOf(a.ID, bodySize)})
				run := replica.Runs()[0]
				switch fault {
				case "", standin.FaultSlow:
					assert.True(t, a.Complete, a.Detail)
					assert.Equal(t, run.Signature, a.Signature)
					assert.Len(t, a.Seen, pieces)
				case standin.FaultError:
					assert.Equal(t, http.StatusInternalServerError, a.Status)
				case standin.FaultUnmarked:
					assert.Equal(t, http.StatusServiceUnavailable, a.Status)
					assert.False(t, run.Refused)
				case standin.FaultFull:
					assert.True(t, run.Refused)
				case standin.FaultUndelimited, standin.FaultUndelimitedCut, standin.FaultUndelimitedShort, standin.FaultUndelimitedReset:
					assert.Equal(t, fault != standin.FaultUndelimited, run.Broken)
					assert.Equal(t, !run.BreakSeen, a.Complete, a.Detail)
					assert.Equal(t, fault == standin.FaultUndelimitedReset, a.Reset)
					assert.True(t, a.Undelimited)
					assert.Equal(t, run.Broken, pieces > 0 && len(a.Seen) < pieces || pieces == 0 && a.Body != standin.Reply(a.ID, a.Method, a.Path, a.BodySum))
				default:
					assert.True(t, run.Broken)
					assert.True(t, !a.Complete || a.Unasked || a.EchoedID != a.ID, "%+v", a.Outcome)
				}
			})
		}
	}
}

// answerLate reads requests from a connection and answers each whole after d.
func answerLate(c net.Conn, d time.Duration) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(d)
		if _, err := io.WriteString(c, wholeAnswer); err != nil {
			return
		}
	}
}

// Guards against a caller that leaves as its answer ends and so cuts its next request on the
// connection, which passed for one that the router had lost.
func TestLeavingAsAnAnswerEndsDoesNotCutTheNextRequest(t *testing.T) {
	const late = time.Millisecond
	for range 500 {
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			var answering sync.WaitGroup
			defer answering.Wait()
			defer near.Close()
			answering.Go(func() { answerLate(far, late) })
			c := &conn{Conn: near, reader: bufio.NewReader(near), life: &Life{}}
			first := &Attempt{ID: "first", Method: http.MethodPost, Path: "/x", Deadline: time.Second}
			if !c.exchange(first, style{body: bodyOf(first.ID, bodySize), leave: late}) {
				return
			}
			next := &Attempt{ID: "next", Method: http.MethodPost, Path: "/x", Deadline: time.Second}
			c.exchange(next, style{body: bodyOf(next.ID, bodySize)})
			require.True(t, next.Complete, next.Detail)
		})
	}
}
