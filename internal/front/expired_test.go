package front

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/callerconn"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// closeRecorder is a connection that records that it was closed.
type closeRecorder struct {
	net.Conn
	closed atomic.Bool
}

func (c *closeRecorder) Close() error {
	c.closed.Store(true)
	return nil
}

func (c *closeRecorder) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func TestRequestOnExpiredConnectionNotForwarded(t *testing.T) {
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	table, err := route.Compile(route.Config{Version: 1, Limits: route.Limits{Idle: time.Nanosecond, HeaderTime: time.Nanosecond}})
	require.NoError(t, err)
	holder := freshness.NewHolder()
	holder.Update(table, time.Now())
	limits := callerconn.New(holder, event.Discard())
	conn := &closeRecorder{}
	ctx := limits.ConnContext(context.Background(), conn)
	limits.ConnState(conn, http.StateNew)
	for !conn.closed.Load() {
		time.Sleep(time.Millisecond)
	}
	limits.ConnState(conn, http.StateActive)
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "http://h/once/", nil)
	request.Header.Set("Authorization", "Key k1")
	assert.PanicsWithValue(t, http.ErrAbortHandler, func() { r.front.ServeHTTP(httptest.NewRecorder(), request) })
	assert.Zero(t, arrivals.Load())
}
