package peer

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a request that is written to a router that closed within its greeting.
func TestRelayGreetingThatIsCutOpensNoConnection(t *testing.T) {
	for at := range relayAccept {
		for _, reset := range []bool{false, true} {
			listener, err := faulty.Listen()
			require.NoError(t, err)
			rest := make(chan []byte, 1)
			go func() {
				c, err := listener.Accept()
				if !assert.NoError(t, err) {
					return
				}
				prefix := make([]byte, len(relayPrefix))
				_, _ = io.ReadFull(c, prefix)
				_, _ = io.WriteString(c, relayAccept[:at])
				if reset {
					_ = c.(*net.TCPConn).SetLinger(0)
					c.Close()
					rest <- nil
					return
				}
				_ = c.(*net.TCPConn).CloseWrite()
				text, _ := io.ReadAll(c)
				c.Close()
				rest <- text
			}()
			_, err = DialRelay((&net.Dialer{}).DialContext)(t.Context(), "tcp", listener.Addr().String())
			assert.Error(t, err, "%d bytes, reset %v", at, reset)
			assert.Empty(t, <-rest)
			listener.Close()
		}
	}
}
