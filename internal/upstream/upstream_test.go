package upstream

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A request that Check refuses does not reach the replica, and the connection opened
// for it serves the next request.
func TestFailedCheckSendsNothingAndKeepsConnection(t *testing.T) {
	var arrivals, opened atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Try", r.Header.Get("Try"))
	}))
	t.Cleanup(server.Close)
	pool := New(Options{
		IDHeader:       "Try",
		DialTimeout:    time.Minute,
		SilenceTimeout: time.Minute,
		IdleTime:       time.Minute,
		Opened:         func(string) { opened.Add(1) },
	})
	errNo := errors.New("no")
	address := server.Listener.Addr().String()
	request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"Try": {"1"}}, ID: "1"}

	request.Check = func() error {
		assert.Zero(t, pool.Idle(), "Check is called once the connection is open")
		return errNo
	}
	_, err := pool.Do(t.Context(), address, request)
	require.ErrorIs(t, err, ErrNotSent)
	require.ErrorIs(t, err, errNo)
	assert.Zero(t, arrivals.Load())
	assert.Equal(t, 1, pool.Idle())

	request.Check = func() error { return nil }
	answer, err := pool.Do(t.Context(), address, request)
	require.NoError(t, err)
	answer.Close()
	assert.EqualValues(t, 1, arrivals.Load())
	assert.EqualValues(t, 1, opened.Load())
}
