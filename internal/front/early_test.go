package front

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a part of an answer that looks complete: its replica sent it before it had read a
// long request, and reset the connection.
func TestEarlyAnswerThatIsResetDoesNotLookComplete(t *testing.T) {
	const plays = 10
	body := strings.Repeat("x", 1<<20)
	for name, head := range map[string]string{
		"no length":        "",
		"stream":           "Content-Type: text/event-stream\r\n",
		"HTTP/1.0":         "1.0",
		"length":           "Content-Length: 30\r\n",
		"chunks":           "Transfer-Encoding: chunked\r\n",
		"an error, no end": "500",
	} {
		for _, path := range []string{"/once/x", "/stream/x", "/open/x"} {
			t.Run(name+path, func(t *testing.T) {
				for range plays {
					server, err := faulty.NewEarly(earlyAnswer(head))
					require.NoError(t, err)
					r := newRig(t, server.Address())
					go func() {
						<-server.Begun()
						server.Reset()
					}()
					response, text, err := r.send(t, "POST", path, body)
					server.Close()
					if err == nil {
						assert.Equal(t, http.StatusBadGateway, response.StatusCode, text)
					}
				}
			})
		}
	}
}

// Guards against the same where the replica has read a part of the request before it answers, or reads
// on before the reset.
func TestAnswerThatIsResetWithinAnUploadDoesNotLookComplete(t *testing.T) {
	const most, step = 48 << 10, 6 << 10
	body := strings.Repeat("x", 1<<20)
	for before := int64(0); before < most; before += 4 * step {
		for after := int64(0); before+after < most; after += step {
			t.Run(fmt.Sprintf("%d before, %d after", before, after), func(t *testing.T) {
				t.Parallel()
				server, err := faulty.NewEarlyWithin(earlyAnswer(""), before, after)
				require.NoError(t, err)
				defer server.Close()
				go func() {
					<-server.Begun()
					server.Reset()
				}()
				response, text, err := newRig(t, server.Address()).send(t, "POST", "/once/x", body)
				if err == nil {
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, text)
				}
			})
		}
	}
}

// Guards against the same by way of another router, to which the long request is written too.
func TestRelayedEarlyAnswerThatIsResetDoesNotLookComplete(t *testing.T) {
	const plays = 10
	body := strings.Repeat("x", 1<<20)
	for _, path := range []string{"/once/x", "/stream/x", "/open/x"} {
		t.Run(path, func(t *testing.T) {
			for range plays {
				server, err := faulty.NewEarly(earlyAnswer(""))
				require.NoError(t, err)
				r := relayedBy(t, newRig(t, server.Address()))
				go func() {
					<-server.Begun()
					server.Reset()
				}()
				response, text, err := r.send(t, "POST", path, body)
				server.Close()
				if err == nil {
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, text)
				}
			}
		})
	}
}

// earlyAnswer returns the beginning of an answer.
func earlyAnswer(head string) string {
	const event = "id: 1\ndata: a\n\n"
	version, status := "1.1", "200 OK"
	switch head {
	case "1.0":
		version, head = head, ""
	case "500":
		status, head = "500 Failed", ""
	}
	body := event
	if strings.HasPrefix(head, "Transfer") {
		body = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	}
	return "HTTP/" + version + " " + status + "\r\nTry: id-1\r\nSign: s\r\n" + head + "\r\n" + body
}

// Guards against an answer that is cut although its replica ended it in order, before it had read
// the whole request.
func TestEarlyAnswerThatEndsInOrderIsComplete(t *testing.T) {
	address, _ := replica(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadFull(r.Body, make([]byte, 1))
		w.Header().Set("Content-Length", "5")
		fmt.Fprint(w, "whole")
	})
	response, text, err := newRig(t, address).send(t, "POST", "/once/x", strings.Repeat("x", 1<<20))
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "whole", text)
}
