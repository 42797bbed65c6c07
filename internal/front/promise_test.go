package front

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// promises are the statuses which tell a caller that its request has not run.
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
