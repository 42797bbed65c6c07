package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/pkg/relay"
)

// cutAnswer is a complete answer of a replica on a route, which tests cut at each byte.
type cutAnswer struct {
	path, text string
	// headSize is where the body begins.
	headSize int
	// unmarked: the answer has neither a length nor chunks.
	unmarked bool
}

func newCutAnswer(path, head, body string) cutAnswer {
	head = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\n" + head + "\r\n"
	unmarked := !strings.Contains(head, "Content-Length") && !strings.Contains(head, "chunked")
	return cutAnswer{path: path, text: head + body, headSize: len(head), unmarked: unmarked}
}

const (
	cutEvent    = "id: 1\ndata: a\n\n"
	nextEvent   = "id: 2\ndata: b\n\n"
	eventsHead  = "Content-Type: text/event-stream\r\n"
	chunkedHead = "Transfer-Encoding: chunked\r\n"
)

// chunk returns a text as one chunk of a body.
func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

func cutAnswers() map[string]cutAnswer {
	const last = "0\r\n\r\n"
	return map[string]cutAnswer{
		"length":             newCutAnswer("/once/cut", "Content-Length: 12\r\n", "some content"),
		"chunks":             newCutAnswer("/once/cut", chunkedHead, chunk("some content")+last),
		"unmarked":           newCutAnswer("/once/cut", "", "some content"),
		"empty":              newCutAnswer("/once/cut", "Content-Length: 0\r\n", ""),
		"stream":             newCutAnswer("/stream/cut", eventsHead+chunkedHead, chunk(cutEvent)+last),
		"stream with length": newCutAnswer("/stream/cut", eventsHead+"Content-Length: 15\r\n", cutEvent),
		"unmarked stream":    newCutAnswer("/stream/cut", eventsHead, cutEvent),
		"repeated":           newCutAnswer("/repeat/cut", "Content-Length: 12\r\n", "some content"),
		"resumed":            newCutAnswer("/resumable/cut", eventsHead+chunkedHead, chunk(cutEvent)+last),
	}
}

// soundReply is what another replica sends for an answer that is cut.
func (a cutAnswer) soundReply() (reply faulty.Reply, exists bool) {
	switch a.path {
	case "/repeat/cut":
		return faulty.Reply{Text: completeAnswer("id-1", "sound")}, true
	case "/resumable/cut":
		return faulty.Reply{Text: newCutAnswer(a.path, eventsHead+chunkedHead, chunk(nextEvent)+"0\r\n\r\n").text}, true
	}
	return faulty.Reply{}, false
}

// relayedBy returns a rig that reaches no replica and knows two routers that serve its requests.
func relayedBy(t *testing.T, other *rig) *rig {
	t.Helper()
	r := newRig(t, "127.0.0.1:1")
	var routers []relay.Router
	for range 2 {
		server := serve(t, http.HandlerFunc(other.front.ServeRelayed))
		r.relays = append(r.relays, server)
		routers = append(routers, relay.Router{Address: server.Listener.Addr().String(), DataCentre: "here"})
	}
	r.front.options.RelayPool = r.front.pool
	r.front.options.Relays = func() []relay.Router { return routers }
	return r
}

// call sends a request in a version of HTTP. The error is nil if the answer looks complete.
func (r *rig) call(t *testing.T, version, path string) (response *http.Response, body string, err error) {
	t.Helper()
	return r.callAs(t, "id-1", version, path)
}

func (r *rig) callAs(t *testing.T, id, version, path string) (response *http.Response, body string, err error) {
	t.Helper()
	const patience = 30 * time.Second
	c, err := net.Dial("tcp", r.server.Listener.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	// The reset frees the port once the answer is read.
	require.NoError(t, c.(*net.TCPConn).SetLinger(0))
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h\r\nTry: %s\r\nAuthorization: Key k1\r\nContent-Length: 0\r\n\r\n", path, version, id)
	require.NoError(t, err)
	response, err = http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// checkCutAnswer fails if what a caller got of a cut answer looks complete, or promises that the
// request has not run.
func checkCutAnswer(t *testing.T, full cutAnswer, at int, end faulty.End, unsent []string, response *http.Response, body string, err error) {
	t.Helper()
	what := fmt.Sprintf("%d bytes of %q: %v %q %v, not sent: %q", at, full.text, response, body, err, unsent)
	if response != nil {
		require.False(t, impliesNotRun(response.StatusCode), what)
	}
	_, repeats := full.soundReply()
	switch {
	case full.path == "/resumable/cut" && err == nil:
		require.Contains(t, []string{cutEvent + nextEvent, nextEvent}, body, what)
	case full.path == "/resumable/cut":
		require.Fail(t, "not resumed", what)
	case repeats && err == nil && response.StatusCode == http.StatusOK && body == "sound":
		// A body may be cut before another router has sent its head.
	case repeats && at < full.headSize:
		require.Fail(t, "not repeated", what)
	case at < full.headSize:
		require.NoError(t, err, what)
		require.Equal(t, http.StatusBadGateway, response.StatusCode, what)
		require.Empty(t, response.Header.Get("Sign"), what)
	case err == nil && response.StatusCode == http.StatusBadGateway:
		// Nothing of the answer was sent by the other router.
		require.Empty(t, response.Header.Get("Sign"), what)
	case err == nil:
		require.True(t, full.unmarked && end == faulty.Closed, what)
		require.True(t, response.ContentLength < 0 && response.TransferEncoding == nil, what)
	}
}

// Guards against an answer that its replica cut off, in any place, and that a caller takes for
// whole, or a request that may have run and is refused as if it had not, or is sent again.
func TestForwardedAnswerThatIsCutDoesNotLookComplete(t *testing.T) {
	for name, full := range cutAnswers() {
		for _, hop := range []struct {
			version string
			relayed bool
		}{{"1.1", false}, {"1.0", false}, {"1.1", true}} {
			t.Run(fmt.Sprintf("%s, HTTP/%s, relayed %v", name, hop.version, hop.relayed), func(t *testing.T) {
				t.Parallel()
				for at := range len(full.text) {
					// Each end in every second place.
					end := faulty.Closed + faulty.End(at%2)
					replies := []faulty.Reply{{Text: full.text[:at], End: end}}
					sound, repeats := full.soundReply()
					if repeats {
						replies = append(replies, sound)
					}
					server, err := faulty.NewScripted(full.path, replies...)
					require.NoError(t, err)
					addresses := []string{server.Address(), server.Address()}[:len(replies)]
					r := newRig(t, addresses...)
					other := r
					if hop.relayed {
						r = relayedBy(t, other)
					}
					response, body, err := r.call(t, hop.version, full.path)
					checkCutAnswer(t, full, at, end, slices.Concat(other.unsent.all(), r.unsent.all()), response, body, err)
					assert.LessOrEqual(t, server.Requests(), len(replies))
					r.close()
					other.close()
					server.Close()
				}
			})
		}
	}
}

// Guards against what another router says that was cut off, in any place, and is taken for a
// promise that the request has not run, or for a whole answer.
func TestAnswerOfAnotherRouterThatIsCut(t *testing.T) {
	const refused = "HTTP/1.1 503 Service Unavailable\r\nTry: id-1\r\nRetry-After: 0.1\r\nRelay-Result: %s\r\nContent-Length: 8\r\n\r\nrefused\n"
	const path = "/once/cut"
	for name, text := range map[string]string{
		"answer":  "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\nRelay-Sent: 1\r\nRelay-Replica: r0\r\nContent-Length: 4\r\n\r\nbody",
		"refused": fmt.Sprintf(refused, relayheader.Refused),
		"unable":  fmt.Sprintf(refused, relayheader.Unable),
		"full":    fmt.Sprintf(refused, relayheader.Full),
		"differs": fmt.Sprintf(refused, relayheader.Differs),
		"failed":  "HTTP/1.1 502 Bad Gateway\r\nTry: id-1\r\nRelay-Result: failed\r\nContent-Length: 7\r\n\r\nfailed\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			headSize := strings.Index(text, "\r\n\r\n") + len("\r\n\r\n")
			for at := range len(text) {
				end := faulty.Closed + faulty.End(at%2)
				server, err := faulty.NewScripted(path, faulty.Reply{Text: text[:at], End: end})
				require.NoError(t, err)
				r := newRig(t, "127.0.0.1:1")
				r.front.options.RelayPool = r.front.pool
				r.front.options.Relays = func() []relay.Router { return []relay.Router{{Address: server.Address(), DataCentre: "here"}} }
				response, body, err := r.call(t, "1.1", path)
				what := fmt.Sprintf("%d bytes of %q: %v %q %v, not sent: %q", at, text, response, body, err, r.unsent.all())
				assert.Equal(t, 1, server.Requests(), what)
				assert.Zero(t, r.front.pool.Idle(), what)
				r.close()
				server.Close()
				switch {
				case name == "answer" && at >= headSize:
					assert.Error(t, err, what)
				case at < headSize || name == "failed":
					require.NoError(t, err, what)
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, what)
				default:
					require.NoError(t, err, what)
					assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, what)
				}
			}
		})
	}
}
