package front

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a router that is shutting down accepting streams that it aborts, as it did
// 6 s later.
func TestShutdownRefusesRequestsItWouldAbort(t *testing.T) {
	for _, test := range []struct {
		name, path string
		// lateIn and cutIn are the times left; longest is the route's longest duration.
		lateIn, cutIn, longest time.Duration
		status                 int
	}{
		{"ends in time", "/once/", 0, 50 * time.Second, time.Second, http.StatusOK},
		{"would be cut", "/once/", 0, time.Second, time.Second, http.StatusServiceUnavailable},
		{"nothing is known of the route", "/once/", 0, time.Second, 0, http.StatusServiceUnavailable},
		{"nothing is known, and its own time ends before", "/once/", 0, time.Hour, 0, http.StatusOK},
		{"a stream that may end in time", "/stream/", time.Second, 50 * time.Second, 20 * time.Second, http.StatusOK},
		{"a stream that may end in time, late", "/stream/", 0, 50 * time.Second, 20 * time.Second, http.StatusServiceUnavailable},
		{"a stream that ends well in time, late", "/stream/", 0, 50 * time.Second, time.Second, http.StatusOK},
		{"a stream whose own time ends before", "/stream/", 0, time.Hour, time.Second, http.StatusOK},
	} {
		t.Run(test.name, func(t *testing.T) {
			address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
			r := newRig(t, address)
			now := time.Now()
			if test.longest > 0 {
				r.front.longestDurations.Record(strings.Trim(test.path, "/"), test.longest, now)
			}
			r.front.BeginShutdown(now.Add(test.lateIn), now.Add(test.cutIn))
			response, _, err := r.send(t, "POST", test.path, "")
			require.NoError(t, err)
			assert.Equal(t, test.status, response.StatusCode)
			assert.True(t, response.Close)
			if test.status != http.StatusOK {
				assert.Zero(t, arrivals.Load(), "not run, as the refusal says")
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		})
	}
}

func TestCancelInFlightAnswersCallers(t *testing.T) {
	begun := make(chan struct{})
	address, _ := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	r := newRig(t, address)
	go func() {
		<-begun
		r.front.CancelInFlight()
	}()
	response, _, err := r.send(t, "POST", "/once/", "")
	require.NoError(t, err, "an answer, not a closed connection")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run")
	response, _, err = r.send(t, "POST", "/once/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it has not run")
}

// A request that arrives after the cut is refused before it is sent. Guards against sending it
// first because only another goroutine cancels the request's context.
func TestNothingSentAfterCancelInFlight(t *testing.T) {
	const requests = 500
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	response, _, err := r.send(t, "POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "the connection to the replica is idle")
	r.front.CancelInFlight()
	for range requests {
		response, _, err := r.send(t, "POST", "/once/", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	assert.EqualValues(t, 1, arrivals.Load())
}

// An answer may begin long after its request arrived: each answer that begins after the start
// of a shutdown announces it, not only those to requests that arrived later.
func TestAnswerBegunAfterShutdownClosesConnection(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			begun, finish := make(chan struct{}, 4), make(chan struct{})
			address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
				begun <- struct{}{}
				<-finish
				if status != http.StatusOK {
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(status)
				}
			})
			r := newRig(t, address)
			go func() {
				<-begun
				r.front.BeginShutdown(time.Now(), time.Now().Add(time.Hour))
				close(finish)
			}()
			response, _, err := r.send(t, "POST", "/single/", "")
			require.NoError(t, err)
			assert.Equal(t, status, response.StatusCode)
			assert.True(t, response.Close, "the caller is told not to use the connection again")
		})
	}
}
