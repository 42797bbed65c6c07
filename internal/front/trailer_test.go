package front

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bytes behind the chunks of an answer, or in an interim answer, that are no fields of
// HTTP and that the caller gets, or that become a part of the body.
func TestMalformedTrailersAndInterimHeadsAreNotForwarded(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTry: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
	const whole = "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length: 4\r\n\r\nbody"
	for name, text := range map[string]string{
		"trailer, blank in its name":       chunked + "A b: c\r\n\r\n",
		"trailer, blank behind its name":   chunked + "Content-Length : 2\r\n\r\n",
		"trailer, control byte":            chunked + "A\x01: c\r\n\r\n",
		"trailer, begins with a blank":     chunked + " A: c\r\n\r\n",
		"interim, blank in a name":         "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + whole,
		"interim, blank behind a name":     "HTTP/1.1 100 Continue\r\nContent-Length : 2\r\n\r\n" + whole,
		"interim, begins with a blank":     "HTTP/1.1 100 Continue\r\nA: b\r\n Content-Length: 2\r\n\r\n" + whole,
		"interim, control byte in a value": "HTTP/1.1 100 Continue\r\nA: \x01\r\n\r\n" + whole,
	} {
		for _, path := range []string{"/once/x", "/stream/x"} {
			t.Run(name+path, func(t *testing.T) {
				address, _ := rawReplica(t, text+"!")
				response, body, err := newRig(t, address).send(t, "POST", path, "")
				if err != nil {
					return
				}
				said := fmt.Sprint(response.Header, response.Trailer, body)
				assert.NotContains(t, said, "A b", said)
				assert.NotContains(t, said, "Content-Length :", said)
				if response.StatusCode == http.StatusOK {
					assert.Equal(t, "body", body)
					assert.Empty(t, response.Trailer)
				}
				require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, response.StatusCode)
			})
		}
	}
}
