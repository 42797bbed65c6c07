package upstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

const cutPath = "/cut-answer"

// cutAnswer is a complete answer to the request 1, which tests cut at each byte.
type cutAnswer struct {
	method, head, body string
	// framed is the body as sent, if it is not sent as it is.
	framed string
	// unmarked: the answer has neither a length nor chunks.
	unmarked bool
}

func (a cutAnswer) text() string {
	if a.framed != "" {
		return a.head + "\r\n" + a.framed
	}
	return a.head + "\r\n" + a.body
}

func cutAnswers() map[string]cutAnswer {
	const head = "HTTP/1.1 200 OK\r\nTry: 1\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n"
	const chunks = "a\r\n0123456789\r\n2;x=y\r\nab\r\n"
	body := strings.Repeat("x", 23)
	return map[string]cutAnswer{
		"length":                {head: head + "Content-Length: 23\r\n", body: body},
		"length first":          {head: "HTTP/1.1 200 OK\r\nContent-Length: 23\r\nTry: 1\r\n", body: body},
		"length, closing":       {head: head + "Content-Length: 23\r\nConnection: close\r\n", body: body},
		"length of an error":    {head: "HTTP/1.1 500 Internal Server Error\r\nTry: 1\r\nContent-Length: 3\r\n", body: "err"},
		"no body":               {head: head + "Content-Length: 0\r\n"},
		"no content":            {head: "HTTP/1.1 204 No Content\r\nTry: 1\r\n"},
		"not modified":          {head: "HTTP/1.1 304 Not Modified\r\nTry: 1\r\nContent-Length: 9\r\n"},
		"HEAD":                  {method: http.MethodHead, head: head + "Content-Length: 23\r\n"},
		"chunks":                {head: chunked, body: "0123456789ab", framed: chunks + "0\r\n\r\n"},
		"chunks with trailers":  {head: chunked + "Trailer: A\r\n", body: "0123456789ab", framed: chunks + "0\r\nA: b\r\nC: d\r\n\r\n"},
		"no chunks":             {head: chunked, framed: "0\r\n\r\n"},
		"unmarked":              {head: head, body: body, unmarked: true},
		"unmarked, of HTTP/1.0": {head: "HTTP/1.0 200 OK\r\nTry: 1\r\n", body: body, unmarked: true},
		"length, of HTTP/1.0":   {head: "HTTP/1.0 200 OK\r\nTry: 1\r\nContent-Length: 23\r\n", body: body},
		"lines without CR":      {head: "HTTP/1.1 200 OK\nTry: 1\nContent-Length: 2\n", body: "ab"},
		"interim":               {head: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 2\r\n", body: "ab"},
		"behind another answer": {head: "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 4\r\n\r\nold!" + head + "Content-Length: 2\r\n", body: "ab"},
		"behind chunks":         {head: "HTTP/1.1 200 OK\r\nTry: 0\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks + "0\r\n\r\n" + head + "Content-Length: 2\r\n", body: "ab"},
	}
}

func cutPool() *Pool {
	return New(Options{IDHeader: "Try", DialTimeout: time.Minute, SilenceTimeout: time.Minute, IdleTime: time.Minute})
}

func askFor(ctx context.Context, t *testing.T, pool *Pool, address, method, id string) (*Answer, error) {
	t.Helper()
	if method == "" {
		method = http.MethodGet
	}
	return pool.Do(ctx, address, &Request{Method: method, URI: cutPath, Host: "h", Header: http.Header{"Try": {id}}, ID: id})
}

// askKept sends a request whose answer leaves its connection idle in the pool.
func askKept(t *testing.T, pool *Pool, address string) {
	t.Helper()
	answer, err := askFor(t.Context(), t, pool, address, "", "0")
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, answer)
	require.NoError(t, err)
	answer.Close()
	require.Equal(t, 1, pool.Idle())
}

// checkCut sends a request that gets a cut answer, and fails if what arrived looks complete.
func checkCut(t *testing.T, pool *Pool, address string, full cutAnswer, reply faulty.Reply, what string) {
	t.Helper()
	answer, err := askFor(t.Context(), t, pool, address, full.method, "1")
	if err != nil {
		require.ErrorIs(t, err, ErrBroken, what)
		require.Zero(t, pool.Idle(), what)
		return
	}
	body, err := io.ReadAll(answer)
	answer.Close()
	require.Zero(t, pool.Idle(), what)
	if err != nil {
		return
	}
	require.True(t, answer.Undelimited() && full.unmarked && reply.End == faulty.Closed, "%s: looks complete: %d %q", what, answer.StatusCode, body)
	require.True(t, strings.HasPrefix(full.body, string(body)), what)
}

// Guards against an answer that its replica cut off, in any place, and that looks complete; and
// against a request on the connection that it was cut on.
func TestAnswerThatIsCutDoesNotLookComplete(t *testing.T) {
	for name, full := range cutAnswers() {
		for _, end := range []faulty.End{faulty.Closed, faulty.Reset} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept %v", name, end, kept), func(t *testing.T) {
					t.Parallel()
					for at := range len(full.text()) {
						reply := faulty.Reply{Text: full.text()[:at], End: end}
						replies := []faulty.Reply{reply}
						if kept {
							replies = []faulty.Reply{{Text: "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 1\r\n\r\nx"}, reply}
						}
						server, err := faulty.NewScripted(cutPath, replies...)
						require.NoError(t, err)
						var opened atomic.Int32
						pool := cutPool()
						pool.options.Opened = func(string) { opened.Add(1) }
						if kept {
							askKept(t, pool, server.Address())
						}
						checkCut(t, pool, server.Address(), full, reply, fmt.Sprintf("%d bytes of %q", at, full.text()))
						require.Equal(t, len(replies), server.Requests(), "sent once")
						require.EqualValues(t, 1, opened.Load())
						server.Close()
					}
				})
			}
		}
	}
}

// Guards against a cut that is found only if all of it arrives at once.
func TestAnswerInPiecesIsReadAsOne(t *testing.T) {
	const pause = 2 * time.Millisecond
	for name, full := range cutAnswers() {
		for _, end := range []faulty.End{faulty.Kept, faulty.Closed} {
			t.Run(fmt.Sprintf("%s, %s", name, end), func(t *testing.T) {
				t.Parallel()
				text := full.text()
				for at := 1; at < len(text); at += 3 {
					reply := faulty.Reply{Text: text[:at], Pause: pause, Rest: text[at : len(text)-1], End: faulty.Closed}
					if end == faulty.Kept {
						reply.Rest, reply.End = text[at:], faulty.Kept
						if full.unmarked {
							reply.End = faulty.Closed
						}
					}
					server, err := faulty.NewScripted(cutPath, reply)
					require.NoError(t, err)
					what := fmt.Sprintf("%q, pause, %q", reply.Text, reply.Rest)
					pool := cutPool()
					if end == faulty.Closed {
						checkCut(t, pool, server.Address(), full, reply, what)
						server.Close()
						continue
					}
					answer, err := askFor(t.Context(), t, pool, server.Address(), full.method, "1")
					require.NoError(t, err, what)
					body, err := io.ReadAll(answer)
					assert.NoError(t, err, what)
					assert.Equal(t, full.body, string(body), what)
					answer.Close()
					server.Close()
				}
			})
		}
	}
}

// Guards against a surplus answer whose head was cut off and that gives its status, its length or
// its header to the answer behind it.
func TestCutHeadIsNotJoinedWithTheNext(t *testing.T) {
	const body = "the answer"
	const first = "HTTP/1.1 200 OK\r\nTry: 0\r\nContent-Length: 1\r\n\r\nx"
	seconds := map[string]string{
		"length":   "HTTP/1.1 500 Internal Server Error\r\nTry: 1\r\nContent-Length: 10\r\n\r\n" + body,
		"chunks":   "HTTP/1.1 500 Internal Server Error\r\nTry: 1\r\nTransfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n",
		"unmarked": "HTTP/1.1 500 Internal Server Error\r\nTry: 1\r\n\r\n" + body,
	}
	for name, surplus := range map[string]string{
		"id last":      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nSign: other\r\nTry: 0\r\n\r\n",
		"id first":     "HTTP/1.1 200 OK\r\nTry: 0\r\nSign: other\r\nContent-Length: 4\r\n\r\n",
		"empty":        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSign: other\r\nTry: 0\r\n\r\n",
		"no length":    "HTTP/1.1 200 OK\r\nSign: other\r\nA:\r\n b\r\nTry: 0\r\n\r\n",
		"chunks":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSign: other\r\nTry: 0\r\n\r\n",
		"interim":      "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
		"of HTTP/1.0":  "HTTP/1.0 200 OK\r\nSign: other\r\nTry: 0\r\n\r\n",
		"without CR":   "HTTP/1.1 200 OK\nSign: other\nTry: 0\n\n",
		"same request": "HTTP/1.1 200 OK\r\nTry: 1\r\nSign: other\r\n\r\n",
	} {
		for framing, second := range seconds {
			t.Run(name+" before "+framing, func(t *testing.T) {
				t.Parallel()
				for at := 1; at < len(surplus)-1; at++ {
					server, err := faulty.NewScripted(cutPath, faulty.Reply{Text: first}, faulty.Reply{Text: surplus[:at] + second, End: faulty.Closed})
					require.NoError(t, err)
					pool := cutPool()
					askKept(t, pool, server.Address())
					answer, err := askFor(t.Context(), t, pool, server.Address(), "", "1")
					server.Close()
					if err != nil {
						require.ErrorIs(t, err, ErrBroken)
						continue
					}
					text, err := io.ReadAll(answer)
					answer.Close()
					what := fmt.Sprintf("behind %q: %d %v %q", surplus[:at], answer.StatusCode, answer.Header, text)
					assert.Zero(t, pool.Idle(), what)
					if err == nil {
						assert.Equal(t, body, string(text), what)
						assert.Equal(t, http.StatusInternalServerError, answer.StatusCode, what)
						assert.Empty(t, answer.Header["Sign"], what)
					}
				}
			})
		}
	}
}
