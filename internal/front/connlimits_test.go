package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// closeCounter counts how often a connection is closed.
type closeCounter struct {
	net.Conn
	closed int
}

func (c *closeCounter) Close() error {
	c.closed++
	return nil
}

func (c *closeCounter) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func limitsOf(t *testing.T, idle, header time.Duration) *ConnLimits {
	t.Helper()
	table, err := route.Compile(route.Config{Version: 1, Limits: route.Limits{Idle: idle, HeaderTime: header}})
	require.NoError(t, err)
	holder := freshness.NewHolder()
	holder.Offer(table, time.Now())
	return NewConnLimits(holder, event.Discard())
}

func TestConnLimits(t *testing.T) {
	const idle, header = 5 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name   string
		states []http.ConnState
		rests  time.Duration
		closed int
	}{
		{"new and never used", []http.ConnState{http.StateNew}, idle + time.Millisecond, 1},
		{"new, within its time", []http.ConnState{http.StateNew}, idle - time.Millisecond, 0},
		{"resting too long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle + header + idleMargin + time.Millisecond, 1},
		{"resting within its time", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle + header, 0},
		{"serving", []http.ConnState{http.StateNew, http.StateActive}, time.Hour, 0},
		{"closed", []http.ConnState{http.StateNew, http.StateClosed}, time.Hour, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := limitsOf(t, idle, header)
				conn := &closeCounter{}
				limits.ConnContext(context.Background(), conn)
				for _, state := range test.states {
					limits.ConnState(conn, state)
				}
				time.Sleep(test.rests)
				synctest.Wait()
				assert.Equal(t, test.closed, conn.closed)
				limits.ConnState(conn, http.StateClosed)
				assert.Empty(t, limits.conns)
			})
		})
	}
}

// A timer that has fired can't be stopped: its function used to close the
// connection under the request that came at that moment.
func TestALimitThatEndsAsARequestComesDoesNotCutIt(t *testing.T) {
	limits := limitsOf(t, time.Hour, time.Hour)
	conn := &closeCounter{}
	ctx := limits.ConnContext(context.Background(), conn)
	limits.ConnState(conn, http.StateNew)
	limits.ConnState(conn, http.StateActive)
	limits.expire(conn)
	assert.Zero(t, conn.closed)
	assert.False(t, expired(ctx))
	// The timer of an earlier rest is as late after the answer.
	limits.ConnState(conn, http.StateIdle)
	limits.expire(conn)
	assert.Zero(t, conn.closed)
}

func TestARequestThatCrossesTheCloseIsNotPassedOn(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	limits := limitsOf(t, time.Hour, time.Hour)
	conn := &closeCounter{}
	ctx := limits.ConnContext(context.Background(), conn)
	limits.ConnState(conn, http.StateNew)
	limits.conns[conn].due = time.Now()
	limits.expire(conn)
	limits.ConnState(conn, http.StateActive)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/once/", nil)
	request.Header.Set("Authorization", "Key k1")
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { r.front.ServeHTTP(httptest.NewRecorder(), request) })
	assert.Zero(t, arrivals.Load())
}
