package head

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestJoined(t *testing.T) {
	for text, joined := range map[string]bool{
		"HTTP/1.1 200 OK\r\nVia: 1.1 a, HTTP/1.1 b\r\n\r\n":            false,
		"HTTP/1.1 200 HTTP/1.1 ok\r\nServer: a/1.1 200\r\n\r\n":        false,
		"HTTP/1.1 200 HTTP/1.1 500 Oops\r\nA: b\r\n\r\n":               true,
		"HTTP/1.1 200 O\rHTTP/1.1 500\r\nA: b\r\n\r\n":                 true,
		"HTTP/1.1 200 OK\r\nA: b\r\nC:HTTP/1.0 204 \r\n\r\n":           true,
		"HTTP/1.1 200 OK\r\nA: b\r\nA: cHTTP/1.1 200 OK\r\n\r\n":       true,
		"HTTP/1.1 200 OK\r\nA: b\r\n cHTTP/1.1 200 OK\r\nB: c\r\n\r\n": true,
	} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		require.NoError(t, err, text)
		assert.Equal(t, joined, Joined(r), text)
	}
}
