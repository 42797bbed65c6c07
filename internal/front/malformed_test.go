package front

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// malformedHeads are heads of replicas' answers, up to the blank line, that are none of HTTP.
var malformedHeads = map[string]string{
	"status 000":                "HTTP/1.1 000 \r\nTry: id-1\r\nContent-Length: 4\r\n",
	"status 600":                "HTTP/1.1 600 OK\r\nTry: id-1\r\nContent-Length: 4\r\n",
	"status 999":                "HTTP/1.1 999 OK\r\nTry: id-1\r\nContent-Length: 4\r\n",
	"protocol switched":         "HTTP/1.1 101 Switching Protocols\r\nTry: id-1\r\n",
	"another version":           "HTTP/2.0 200 OK\r\nTry: id-1\r\nContent-Length: 4\r\n",
	"blank in a name":           "HTTP/1.1 200 OK\r\nTry: id-1\r\nA b: c\r\nContent-Length: 4\r\n",
	"blank behind a name":       "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length : 4\r\n",
	"blank behind the coding":   "HTTP/1.1 200 OK\r\nTry: id-1\r\nTransfer-Encoding : chunked\r\n",
	"blank before a name":       "HTTP/1.1 200 OK\r\nTry: id-1\r\n Content-Length: 4\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nTry: id-1\r\nA\x01: c\r\nContent-Length: 4\r\n",
	"control byte in a value":   "HTTP/1.1 200 OK\r\nTry: id-1\r\nA: \x00\r\nContent-Length: 4\r\n",
	"line ended by CR":          "HTTP/1.1 200 OK\r\nTry: id-1\r\nA: b\rContent-Length: 4\r\n",
	"chunks of another version": "HTTP/1.0 200 OK\r\nTry: id-1\r\nTransfer-Encoding: chunked\r\n",
}

// Guards against bytes that are no answer, of a replica in trouble, which the caller gets as one.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	const body = "\r\n4\r\nbody\r\n0\r\n\r\n"
	for name, head := range malformedHeads {
		for _, path := range []string{"/once/x", "/stream/x", "/resumable/x"} {
			for _, kept := range []string{"", "!"} {
				t.Run(name+path+kept, func(t *testing.T) {
					address, seen := rawReplica(t, head+body+kept)
					response, text, err := newRig(t, address).send(t, "POST", path, "deposit")
					require.NoError(t, err)
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, text)
					assert.Empty(t, response.Header["A b"])
					assert.Len(t, seen, 1)
				})
			}
		}
		t.Run(name+", may be repeated", func(t *testing.T) {
			first, _ := rawReplica(t, head+body)
			second, _ := rawReplica(t, completeAnswer("id-1", "sound"))
			r := newRig(t, first, second)
			for range 4 {
				response, text, err := r.send(t, "POST", "/repeat/x", "")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
				assert.Equal(t, "sound", text)
			}
		})
	}
}
