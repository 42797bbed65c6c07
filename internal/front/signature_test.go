package front

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/relay"
)

// Guards against a success that no replica signed and that the caller gets as an answer.
func TestSuccessWithoutSignatureIsNotForwarded(t *testing.T) {
	const head = "HTTP/1.1 %d Status\r\nTry: id-1\r\nContent-Length: 4\r\n%s\r\nbody"
	for name, test := range map[string]struct {
		status       int
		header       string
		signs, whole bool
	}{
		"signed":               {200, "Sign: s\r\n", true, true},
		"not signed":           {200, "", true, false},
		"empty":                {206, "Sign: \r\n", true, false},
		"stream":               {200, "Content-Type: text/event-stream\r\n", true, false},
		"failure, not signed":  {404, "", true, true},
		"replicas do not sign": {200, "", false, true},
	} {
		for _, path := range []string{"/once/x", "/repeat/x", "/stream/x", "/resumable/x"} {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprint(name, path, " relayed ", relayed), func(t *testing.T) {
					address, _ := rawReplica(t, fmt.Sprintf(head, test.status, test.header))
					r := newRig(t, address)
					if relayed {
						r = newRig(t, "127.0.0.1:1")
						r.front.options.RelayPool = r.front.pool
						r.front.options.Relays = func() []relay.Router { return []relay.Router{{Address: address, DataCentre: "here"}} }
					}
					if test.signs {
						r.front.options.Dialect.Signature = "Sign"
					}
					response, body, err := r.send(t, "POST", path, "")
					require.NoError(t, err)
					want := http.StatusBadGateway
					if test.whole {
						want = test.status
					}
					assert.Equal(t, want, response.StatusCode, body)
					assert.Equal(t, test.whole, strings.HasPrefix(body, "body"))
				})
			}
		}
	}
}
