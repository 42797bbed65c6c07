package front

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Guards against a head without an end that holds its request until the time of its route is
// over, and counts for nothing against its replica.
func TestEndlessHeadIsAFaultOfItsReplica(t *testing.T) {
	for path, status := range map[string]int{"/once/": http.StatusBadGateway, "/stream/": http.StatusBadGateway, "/repeat/": http.StatusOK} {
		t.Run(path, func(t *testing.T) {
			server, err := faulty.NewEndless("HTTP/1.1 200 OK\r\nTry: id-1\r\n", "A: b\r\n")
			require.NoError(t, err)
			t.Cleanup(server.Close)
			r := newRig(t, server.Address())
			if status == http.StatusOK {
				sound, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
				r = newRig(t, server.Address(), sound)
			}
			// Each request goes to either replica.
			for start := time.Now(); !r.front.balancer.Suspected("r0", time.Now()); {
				require.Less(t, time.Since(start), 30*time.Second, "the route's time is longer")
				response, _, err := r.send(t, "POST", path, "")
				require.NoError(t, err)
				require.Equal(t, status, response.StatusCode)
			}
			<-server.Closed()
		})
	}
}
