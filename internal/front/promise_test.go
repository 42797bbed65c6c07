package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/pkg/relay"
)

// promises are the statuses by which a caller knows that its request has not run.
var promises = []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// unmarked returns a replica's answer that lacks the mark of a request which has not run.
func unmarked(status int) string {
	return fmt.Sprintf("HTTP/1.1 %d Failed\r\nTry: id-1\r\nSign: s\r\nRetry-After: 0.5\r\nContent-Length: 6\r\n\r\nfailed", status)
}

// Guards against a request that has run and is answered with its replica's 429 or 408, upon which
// its caller sends it again.
func TestUnmarkedPromiseOfReplicaIsNotForwarded(t *testing.T) {
	for _, status := range promises {
		for _, path := range []string{"/once/x", "/single/x", "/repeat/x", "/open/x", "/stream/x", "/resumable/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				first, _ := rawReplica(t, unmarked(status))
				second, _ := rawReplica(t, unmarked(status))
				response, body, err := newRig(t, first, second).send(t, "POST", path, "deposit")
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, response.StatusCode, body)
				assert.Empty(t, response.Header.Get("Sign"))
				assert.Empty(t, response.Header.Get("Retry-After"))
			})
		}
	}
}

// Guards against a request that is given up although another replica may repeat it.
func TestUnmarkedPromiseIsRetriedWhereRequestMayBeRepeated(t *testing.T) {
	for _, status := range promises {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			asked := make(chan *http.Request, 2)
			handler := inTurn(t, asked, unmarked(status), completeAnswer("id-1", "whole"))
			first, _ := replica(t, handler)
			second, _ := replica(t, handler)
			response, body, err := newRig(t, first, second).send(t, "POST", "/repeat/x", "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, "whole", body)
			assert.Len(t, asked, 2)
		})
	}
}

// Guards against a replica's unmarked promise that a router of another build has passed on.
func TestUnmarkedPromiseByAnotherRouterIsNotForwarded(t *testing.T) {
	for _, status := range promises {
		for _, path := range []string{"/once/x", "/repeat/x"} {
			t.Run(fmt.Sprint(status, path), func(t *testing.T) {
				text := strings.Replace(unmarked(status), "Sign: s\r\n", "Sign: s\r\nRelay-Replica: r7\r\nRelay-Sent: 1\r\n", 1)
				router, _ := rawReplica(t, text)
				r := newRig(t, "127.0.0.1:1")
				r.front.options.RelayPool = r.front.pool
				r.front.options.Relays = func() []relay.Router { return []relay.Router{{Address: router, DataCentre: "here"}} }
				response, body, err := r.send(t, "POST", path, "deposit")
				require.NoError(t, err)
				assert.Equal(t, http.StatusBadGateway, response.StatusCode, body)
				assert.Empty(t, response.Header.Get("Sign"))
			})
		}
	}
}

// Guards against a replica that says of a request which has run, in the words of routers, that
// another router may serve it.
func TestReplicaDoesNotSpeakForItsRouter(t *testing.T) {
	for _, result := range []string{relayheader.Unable, relayheader.Differs, relayheader.Full, relayheader.Refused, relayheader.Failed} {
		t.Run(result, func(t *testing.T) {
			head := "HTTP/1.1 200 OK\r\nTry: id-1\r\nSign: s\r\nRelay-Result: " + result + "\r\nRelay-Excluded: r1=5000\r\nContent-Length: 5\r\n\r\nwhole"
			address, seen := rawReplica(t, head)
			response, body, err := relayedBy(t, newRig(t, address)).send(t, "POST", "/once/x", "deposit")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode, body)
			assert.Equal(t, "whole", body)
			assert.Len(t, seen, 1)
		})
	}
}
