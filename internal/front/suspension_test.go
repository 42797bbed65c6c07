package front

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
)

// Guards against treating what was known before a suspension of the machine, of ten seconds,
// as new.
func TestKnowledgeBeforeSuspensionIsStale(t *testing.T) {
	address, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) {})
	r := newRig(t, address)
	limits := *r.front.limits.Load()
	limits.MaxKeyProofAge, limits.MaxAbsenceProofAge, limits.MaxListAge = 4*time.Second, 1600*time.Millisecond, 1600*time.Millisecond
	r.front.SetLimits(limits)
	r.source.fallSilent()
	// A source that answers nobody is read again only once the router's period has passed.
	r.watcher.Reconfigure(r.source, watch.Options{Period: 200 * time.Millisecond, Timeout: time.Second})
	defer steady.Pretend(10 * time.Second)()
	for _, path := range []string{"/single/x", "/open/x", "/unknown/x"} {
		answer, _, err := r.send(t, http.MethodPost, path, "body")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, path)
	}
	assert.Zero(t, arrivals.Load())
	r.source.mu.Lock()
	r.source.silent = false
	r.source.mu.Unlock()
	require.NoError(t, r.watcher.WaitFresh(t.Context(), steady.Now().Add(-time.Second)))
	answer, _, err := r.send(t, http.MethodPost, "/single/x", "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, answer.StatusCode, "confirmed again")
}

// suspendInFlight simulates a suspension of the machine while a request with 30 s of time is
// in flight, and returns its status. Closing finish lets the replica answer; if finish is nil,
// the replica waits until its caller leaves.
func suspendInFlight(t *testing.T, suspended time.Duration, finish chan struct{}) (status int, r *rig) {
	t.Helper()
	begun := make(chan struct{})
	address, _ := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		select {
		case <-finish:
		case <-r.Context().Done():
		}
	})
	r = newRig(t, address)
	answered := make(chan int)
	go func() {
		answer, _, err := r.send(t, http.MethodPost, "/single/x", "body", "Left", "30000")
		if err != nil {
			answered <- 0
			return
		}
		answered <- answer.StatusCode
	}()
	<-begun
	defer steady.Pretend(suspended)()
	r.front.RestartTimers()
	if finish != nil {
		close(finish)
	}
	return <-answered, r
}

func TestRequestExpiredDuringSuspensionAnsweredAtOnce(t *testing.T) {
	status, _ := suspendInFlight(t, 40*time.Second, nil)
	assert.Equal(t, http.StatusGatewayTimeout, status)
}

func TestSuspensionKeepsUnexpiredRequest(t *testing.T) {
	status, r := suspendInFlight(t, 5*time.Second, make(chan struct{}))
	assert.Equal(t, http.StatusOK, status)
	// The call is removed when its handler returns, shortly after the answer.
	for {
		if r.front.inFlight.Len() == 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
