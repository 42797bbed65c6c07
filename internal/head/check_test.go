package head

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against bytes that are no head of a response and pass for one.
func TestMalformedHeads(t *testing.T) {
	for text, sound := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                                   true,
		"HTTP/1.0 200 OK\nA: b\n\n":                                         true,
		"HTTP/1.1 599 \r\n\r\n":                                             true,
		"HTTP/1.1 100 Continue\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9z:\tb\xe9 \"c\" \r\n\r\n":      true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":    true,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n\n a\n":                true,
		"HTTP/1.1 000 \r\n\r\n":                                             false,
		"HTTP/1.1 -00 OK\r\n\r\n":                                           false,
		"HTTP/1.1 +20 OK\r\n\r\n":                                           false,
		"HTTP/1.1 099 OK\r\n\r\n":                                           false,
		"HTTP/1.1 600 OK\r\n\r\n":                                           false,
		"HTTP/1.1 999 OK\r\n\r\n":                                           false,
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n":            false,
		"HTTP/2.0 200 OK\r\n\r\n":                                           false,
		"HTTP/0.9 200 OK\r\n\r\n":                                           false,
		"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n":                                 false,
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc":                  false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nA\tb: c\r\n\r\n":                                false,
		"HTTP/1.1 200 OK\r\nA\x01: c\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA\x7f: c\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA\xe9: c\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\n: c\r\n\r\n":                                    false,
		"HTTP/1.1 200 OK\r\n A: c\r\n\r\n":                                  false,
		"HTTP/1.1 200 OK\r\nA: c\r\n Content-Length: 3\r\n\r\nabc":          false,
		"HTTP/1.1 200 OK\r\nA: c\r\n\tTransfer-Encoding: chunked\r\n\r\n":   false,
		"HTTP/1.1 200 OK\r\nA: c\r\n \r\n\r\n":                              false,
		"HTTP/1.1 200 OK\r\nA: b\x00c\r\n\r\n":                              false,
		"HTTP/1.1 200 OK\r\nA: b\rContent-Length: 3\r\n\r\nabc":             false,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n":    false,
		"HTTP/1.1 200 OK\r\nA: cHTTP/1.1 500 Oops\r\nB: c\r\n\r\n":          false,
		"HTTP/1.1 200 OK\r\nno colon\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n":  false,
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n": false,
	} {
		var whole, bytewise Scanner
		whole.Add([]byte(text))
		for i := range len(text) {
			bytewise.Add([]byte{text[i]})
		}
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(text)), nil)
		if err != nil {
			assert.False(t, sound, "%q: %v", text, err)
			continue
		}
		for _, s := range []Scanner{whole, bytewise} {
			err := s.Check(r)
			assert.Equal(t, sound, err == nil, "%q: %v", text, err)
			if err != nil {
				require.ErrorIs(t, err, ErrMalformed)
			}
		}
	}
}
