package standin

import (
	"errors"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/platform"
)

// Guards against a replica that reads its server before that is set: callers that know its
// address may crash it while it still starts.
func TestAReplicaMayCrashWhileItStarts(t *testing.T) {
	options := ReplicaOptions{Deadly: func(*http.Request, []byte) (time.Duration, bool) { return 0, true }}
	first, err := StartReplica("a", "127.0.0.9:0", options)
	require.NoError(t, err)
	address := first.Address()
	first.Crash()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 50 {
		sent, ended := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(sent)
			for {
				response, err := client.Post("http://"+address+"/x", "", strings.NewReader("x"))
				if err == nil {
					response.Body.Close()
				}
				select {
				case <-ended:
					return
				default:
					// Refused, or reset by the listener of the replica before.
				}
			}
		}()
		replica, err := StartReplica("a", address, options)
		for errors.Is(err, syscall.EADDRINUSE) {
			// The listener of the one before is closed by its own goroutine.
			replica, err = StartReplica("a", address, options)
		}
		require.NoError(t, err)
		<-replica.Ended()
		replica.Crash()
		close(ended)
		<-sent
	}
}

// Guards against a late answer that names the request itself, which was tried here before: the soak
// took it for an answer that a router mixed up.
func TestLateAnswerNamesAnotherRequest(t *testing.T) {
	replica, err := StartReplica("a", "127.0.0.9:0", ReplicaOptions{})
	require.NoError(t, err)
	defer replica.Crash()
	send := func(attempt string) string {
		request, err := http.NewRequest(http.MethodPost, "http://"+replica.Address()+"/x", strings.NewReader("x"))
		require.NoError(t, err)
		request.Header.Set(platform.Dialect().AttemptID, attempt)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		require.NoError(t, err)
		defer response.Body.Close()
		return response.Header.Get(platform.Dialect().AttemptID)
	}
	require.Equal(t, "first", send("first"))
	require.Equal(t, "second", send("second"))
	replica.Fail(FaultError, FaultLate, FaultLate)
	require.Equal(t, "third", send("third"))
	require.Equal(t, "second", send("third"))
	require.Equal(t, "third", send("fourth"))
}
