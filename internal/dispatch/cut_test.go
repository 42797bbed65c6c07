package dispatch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

const (
	cutPath    = "/cut-answer"
	cutAttempt = "a1"
)

// cutAnswer is a complete answer of a target, which tests cut at each byte.
type cutAnswer struct {
	stream, unmarked bool
	text, body       string
}

func cutAnswers() map[string]cutAnswer {
	const head = "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\n"
	const events = "data: a\n\ndata: [DONE]\n\n"
	const length = "Content-Length: 23\r\n\r\n"
	const kind = "Content-Type: text/event-stream\r\n"
	body := strings.Repeat("x", 23)
	chunked := func(text string) string {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text)
	}
	return map[string]cutAnswer{
		"length":              {text: head + length + body, body: body},
		"chunks":              {text: head + chunked(body), body: body},
		"unmarked":            {text: head + "\r\n" + body, body: body, unmarked: true},
		"no body":             {text: head + "Content-Length: 0\r\n\r\n"},
		"interim":             {text: "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + head + length + body, body: body},
		"stream":              {stream: true, text: head + kind + chunked(events), body: events},
		"stream, unmarked":    {stream: true, text: head + kind + "\r\n" + events, body: events},
		"no stream, length":   {stream: true, text: head + length + body, body: body},
		"no stream, unmarked": {stream: true, text: head + "\r\n" + body, body: body, unmarked: true},
	}
}

func cutRequest(address string, stream bool) Request {
	return Request{Method: "POST", Address: address, Path: cutPath, Body: []byte("x"), Attempt: cutAttempt, Stream: stream}
}

// Guards against a target's answer that was cut off, in any place, and is whole to its caller, or
// whose request is said not to have run or is sent again.
func TestAnswerThatIsCutIsNotWhole(t *testing.T) {
	first := faulty.Reply{Text: "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\nContent-Length: 0\r\n\r\n"}
	// The stream is not resumed, so that its end stays what it was.
	refused := faulty.Reply{Text: "HTTP/1.1 409 Conflict\r\n" + AttemptHeader + ": " + cutAttempt + "\r\nContent-Length: 0\r\n\r\n"}
	for name, full := range cutAnswers() {
		for _, end := range []faulty.End{faulty.Closed, faulty.Reset} {
			for _, kept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, kept %v", name, end, kept), func(t *testing.T) {
					t.Parallel()
					for at := range len(full.text) {
						replies := []faulty.Reply{{Text: full.text[:at], End: end}, refused}
						d := New(time.Minute)
						if kept {
							replies = append([]faulty.Reply{first}, replies...)
						}
						server, err := faulty.NewScripted(cutPath, replies...)
						require.NoError(t, err)
						if kept {
							require.True(t, d.Run(t.Context(), cutRequest(server.Address(), false), discard{}).Whole)
						}
						var sink record
						out := d.Run(t.Context(), cutRequest(server.Address(), full.stream), &sink)
						what := fmt.Sprintf("%d bytes of %q: %+v %q", at, full.text, out, sink.body.String())
						require.False(t, out.NotRun, what)
						require.True(t, strings.HasPrefix(full.body, sink.body.String()), what)
						complete := strings.HasSuffix(sink.body.String(), "[DONE]\n\n")
						unknown := full.unmarked && end == faulty.Closed && out.EndUnknown && sink.head.Undelimited
						require.Equal(t, complete || unknown, out.Whole, what)
						runs := server.Requests() - len(replies) + 2
						require.Equal(t, 1+out.Resumed, runs, what)
						server.Close()
						d.client.CloseIdleConnections()
					}
				})
			}
		}
	}
}

// Guards against a surplus answer whose head was cut off and that gives its status or its length to
// the answer behind it.
func TestCutHeadIsNotJoinedWithTheNext(t *testing.T) {
	const body = "the answer"
	first := faulty.Reply{Text: "HTTP/1.1 200 OK\r\n" + AttemptHeader + ": " + cutAttempt + "\r\nContent-Length: 0\r\n\r\n"}
	const surplus = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer: other\r\n\r\n"
	for _, framing := range []string{"Content-Length: 10\r\n", ""} {
		second := "HTTP/1.1 500 Internal Server Error\r\n" + AttemptHeader + ": " + cutAttempt + "\r\n" + framing + "\r\n" + body
		for at := 1; at < len(surplus)-1; at++ {
			server, err := faulty.NewScripted(cutPath, first, faulty.Reply{Text: surplus[:at] + second, End: faulty.Closed})
			require.NoError(t, err)
			d := New(time.Minute)
			require.True(t, d.Run(t.Context(), cutRequest(server.Address(), false), discard{}).Whole)
			var sink record
			out := d.Run(t.Context(), cutRequest(server.Address(), false), &sink)
			what := fmt.Sprintf("behind %q: %+v %d %q", surplus[:at], out, sink.head.Status, sink.body.String())
			assert.False(t, out.NotRun, what)
			assert.False(t, out.Whole, what)
			server.Close()
		}
	}
}
