package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/relay"
)

// undelimitedHead begins an answer with neither a length nor chunks.
const undelimitedHead = "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\n"

// An answer that ends with the replica's connection reaches its caller without a length or
// chunks, since it is not known to be complete.
func TestUnknownEndOfAnswerStaysUnknown(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, test := range map[string]struct{ path, head, body string }{
		"plain":            {"/once/", "", "some bytes"},
		"empty":            {"/once/", "", ""},
		"stream":           {"/stream/", stream, "id: 1\ndata: a\n\n"},
		"resumable stream": {"/resumable/", stream, "id: 1\ndata: a\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			first, _ := rawReplica(t, undelimitedHead+test.head+"\r\n"+test.body+"!")
			r := newRig(t, first)
			for range 2 {
				response, text, err := r.send(t, "POST", test.path, "")
				require.NoError(t, err)
				assert.Equal(t, test.body, text)
				assert.Empty(t, response.TransferEncoding)
				assert.EqualValues(t, -1, response.ContentLength)
				assert.True(t, response.Close)
			}
		})
	}
}

// An answer without a body has a known end, whatever its framing.
func TestAnswerWithoutBodyKeepsConnection(t *testing.T) {
	for name, test := range map[string]struct{ method, status string }{
		"HEAD":         {"HEAD", "200 OK"},
		"no content":   {"POST", "204 No Content"},
		"not modified": {"POST", "304 Not Modified"},
	} {
		t.Run(name, func(t *testing.T) {
			first, _ := rawReplica(t, "HTTP/1.1 "+test.status+"\r\nTry: id-1\r\n\r\n")
			response, _, err := newRig(t, first).send(t, test.method, "/once/", "")
			require.NoError(t, err)
			assert.False(t, response.Close)
		})
	}
}

// A caller whose answer ends with its connection learns of a break by a reset.
func TestBrokenAnswerWithoutFramingIsReset(t *testing.T) {
	const broken = "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\r\n!"
	for name, test := range map[string]struct{ version, answer string }{
		"replica without framing": {"1.1", undelimitedHead + "Content-Type: text/event-stream\r\n\r\nid: 1\nda!"},
		"caller of HTTP/1.0":      {"1.0", broken},
	} {
		t.Run(name, func(t *testing.T) {
			first, _ := rawReplica(t, test.answer)
			r := newRig(t, first)
			conn, err := net.Dial("tcp", r.server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "POST /stream/ HTTP/%s\r\nHost: h\r\nTry: id-1\r\nAuthorization: Key k1\r\nContent-Length: 0\r\n\r\n", test.version)
			require.NoError(t, err)
			_, err = io.ReadAll(conn)
			assert.ErrorIs(t, err, syscall.ECONNRESET)
		})
	}
}

// A stream that began with chunks and goes on at a replica without framing is not ended with a
// last chunk because that replica's connection ended.
func TestUnknownEndOfResumedStreamIsProved(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: text/event-stream\r\n"
	const chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
	broken := chunked + "10\r\nid: 1\ndata: a\n\ni\r\n!"
	unknown := head + "\r\nid: 2\ndata: b\n\n!"
	asked := make(chan *http.Request, 3)
	serve := inTurn(t, asked, broken, unknown, chunked+"0\r\n\r\n")
	first, _ := replica(t, serve)
	second, _ := replica(t, serve)
	third, _ := replica(t, serve)
	_, text, err := newRig(t, first, second, third).send(t, "POST", "/resumable/", "")
	require.NoError(t, err)
	assert.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", text)
	require.Len(t, asked, 3)
	<-asked
	<-asked
	assert.Equal(t, "2", (<-asked).Header.Get("Last-Event-Id"))
}

// A router that relays passes on what the other one knows of an answer's end, not more.
func TestEndOfRelayedAnswer(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, test := range map[string]struct {
		path, head, body string
		broken           bool
	}{
		"plain":                {"/once/", "", "some bytes", false},
		"stream":               {"/stream/", stream, "id: 1\ndata: a\n\n", false},
		"stream within event":  {"/stream/", stream, "id: 1\ndata: a\n\nid: 2", true},
		"resumable stream":     {"/resumable/", stream, "id: 1\ndata: a\n\n", false},
		"resumable, in event":  {"/resumable/", stream, "id: 1\ndata: a\n\nid: 2", true},
		"with length, cut off": {"/once/", "Content-Length: 50\r\n", "some bytes", true},
	} {
		t.Run(name, func(t *testing.T) {
			reached, _ := rawReplica(t, undelimitedHead+test.head+"\r\n"+test.body+"!")
			other := newRig(t, reached)
			relayed := httptest.NewServer(http.HandlerFunc(other.front.ServeRelayed))
			t.Cleanup(relayed.Close)
			r := newRig(t, "127.0.0.1:1")
			r.front.options.RelayPool = r.front.pool
			r.front.options.Relays = func() []relay.Router {
				return []relay.Router{{Address: relayed.Listener.Addr().String(), DataCentre: "here"}}
			}
			response, text, err := r.send(t, "POST", test.path, "")
			assert.Equal(t, test.broken, err != nil, "%v", err)
			if test.broken {
				return
			}
			assert.Equal(t, test.body, text)
			assert.Empty(t, response.TransferEncoding)
			assert.EqualValues(t, -1, response.ContentLength)
		})
	}
}
