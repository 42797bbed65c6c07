package callerconn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// closeCounter counts how often a connection is closed.
type closeCounter struct {
	net.Conn
	closed atomic.Int32
}

func (c *closeCounter) Close() error {
	c.closed.Add(1)
	return nil
}

func (c *closeCounter) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func newTestLimits(t *testing.T, idle, header time.Duration) *Limits {
	t.Helper()
	table, err := route.Compile(route.Config{Version: 1, Limits: route.Limits{Idle: idle, HeaderTime: header}})
	require.NoError(t, err)
	holder := freshness.NewHolder()
	holder.Update(table, time.Now())
	return New(holder, event.Discard())
}

func TestLimits(t *testing.T) {
	const idle, header = 5 * time.Second, 3 * time.Second
	for _, test := range []struct {
		name   string
		states []http.ConnState
		rests  time.Duration
		closed int
	}{
		{"new and never used", []http.ConnState{http.StateNew}, idle + header + idleMargin + time.Millisecond, 1},
		// Guards against closing after the longer of both times, during the request.
		{"new, resting and then sending a head", []http.ConnState{http.StateNew}, idle + header, 0},
		{"resting too long", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle + header + idleMargin + time.Millisecond, 1},
		{"resting within its time", []http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, idle + header, 0},
		{"serving", []http.ConnState{http.StateNew, http.StateActive}, time.Hour, 0},
		{"closed", []http.ConnState{http.StateNew, http.StateClosed}, time.Hour, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := newTestLimits(t, idle, header)
				conn := &closeCounter{}
				limits.ConnContext(context.Background(), conn)
				for _, state := range test.states {
					limits.ConnState(conn, state)
				}
				time.Sleep(test.rests)
				synctest.Wait()
				assert.EqualValues(t, test.closed, conn.closed.Load())
				limits.ConnState(conn, http.StateClosed)
				assert.Empty(t, limits.conns)
			})
		})
	}
}

func TestIncreasedLimitAppliesToIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := newTestLimits(t, 5*time.Second, time.Second)
		conn := &closeCounter{}
		limits.ConnContext(context.Background(), conn)
		limits.ConnState(conn, http.StateNew)
		longer, err := route.Compile(route.Config{Version: 2, Limits: route.Limits{Idle: 20 * time.Second, HeaderTime: time.Second}})
		require.NoError(t, err)
		limits.holder.Update(longer, time.Now())
		time.Sleep(20 * time.Second)
		synctest.Wait()
		assert.Zero(t, conn.closed.Load())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		assert.EqualValues(t, 1, conn.closed.Load())
	})
}

// A timer that has fired cannot be stopped. Guards against its function closing the connection
// of a request that arrives at that moment.
func TestExpiryDuringRequestKeepsConnection(t *testing.T) {
	limits := newTestLimits(t, time.Hour, time.Hour)
	conn := &closeCounter{}
	ctx := limits.ConnContext(context.Background(), conn)
	limits.ConnState(conn, http.StateNew)
	limits.ConnState(conn, http.StateActive)
	limits.expire(conn)
	assert.Zero(t, conn.closed.Load())
	assert.False(t, Expired(ctx))
	// The timer of an earlier idle period may fire after the answer.
	limits.ConnState(conn, http.StateIdle)
	limits.expire(conn)
	assert.Zero(t, conn.closed.Load())
}

func TestExpiredConnectionIsKnownToItsRequest(t *testing.T) {
	limits := newTestLimits(t, time.Hour, time.Hour)
	conn := &closeCounter{}
	ctx := limits.ConnContext(context.Background(), conn)
	limits.ConnState(conn, http.StateNew)
	limits.conns[conn].idleSince = time.Now().Add(-3 * time.Hour)
	limits.expire(conn)
	limits.ConnState(conn, http.StateActive)
	assert.True(t, Expired(ctx))
}

// usedConn is a connection that holds an unread part of a request.
type usedConn struct{ closeCounter }

func (c *usedConn) CloseIfResting() conns.Outcome { return conns.Unread }

// A limit that expires after part of a request arrived is extended once by the time of a head.
func TestPartialHeadExtendsLimitOnce(t *testing.T) {
	const idle, header = 5 * time.Second, 3 * time.Second
	for name, rest := range map[string]struct {
		after  time.Duration
		closed int
	}{
		"within its time": {header, 0},
		"after it":        {header + 2*idleMargin, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				limits := newTestLimits(t, idle, header)
				conn := &usedConn{}
				limits.ConnContext(context.Background(), conn)
				limits.ConnState(conn, http.StateNew)
				time.Sleep(idle + header + idleMargin + time.Millisecond)
				synctest.Wait()
				assert.Zero(t, conn.closed.Load(), "it holds part of a request")
				time.Sleep(rest.after)
				synctest.Wait()
				assert.EqualValues(t, rest.closed, conn.closed.Load())
				limits.ConnState(conn, http.StateClosed)
			})
		})
	}
}
