package head

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against joined heads whose first one was cut within a field that the parser removes from the
// header.
func TestJoinedWithinRemovedFields(t *testing.T) {
	for name, text := range map[string]string{
		"a trailer":   "HTTP/1.1 503 Busy\r\nTrailer: foHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"a trailer 2": "HTTP/1.1 503 Busy\r\nTransfer-Encoding: chunked\r\nTrailer: foHTTP/1.1 200 OK\r\nA: b\r\n\r\n0\r\n\r\n",
		"connection":  "HTTP/1.1 503 Busy\r\nConnection: closHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"pragma":      "HTTP/1.1 503 Busy\r\nPragma: noHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"one digit":   "HTTP/1.1 503 Busy\r\nA: HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
			if err != nil {
				t.Log(err)
				return
			}
			require.NoError(t, err)
			assert.True(t, Joined(r), "status %d, header %v, trailer %v", r.StatusCode, r.Header, r.Trailer)
		})
	}
}
