package front

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/freshness"
)

// ConnLimits closes connections of callers that rest or send a head for longer
// than the configuration in force allows. The server's own time-outs can't
// change while it runs.
//
// A connection is closed only while no request of it is being served, and a
// request whose connection was closed under it is not passed on. Both are
// decided under one lock, since the limit may end at the moment at which a
// request comes.
type ConnLimits struct {
	holder *freshness.Holder
	log    *event.Log
	mu     sync.Mutex
	conns  map[net.Conn]*callerConn
}

// callerConn is a caller's connection. ConnLimits.mu guards it.
type callerConn struct {
	timer *time.Timer
	// since is when the connection began to rest.
	since time.Time
	// serving: a request was read and its handler has not returned.
	serving bool
	// expired: closed for its limit.
	expired bool
	// late: its limit was over when a part of a head had come.
	late bool
}

// NewConnLimits returns limits that follow a configuration.
func NewConnLimits(h *freshness.Holder, log *event.Log) *ConnLimits {
	return &ConnLimits{holder: h, log: log, conns: make(map[net.Conn]*callerConn)}
}

// Times that hold before there is a configuration, and what is added to those
// of one: a caller counts from when it got the answer, which is later.
const (
	defaultIdle   = 30 * time.Second
	defaultHeader = 10 * time.Second
	idleMargin    = 500 * time.Millisecond
)

// connKey is the context's key of a caller's connection.
type connKey struct{}

// ConnContext is a server's hook. It lets Front tell by a request's context
// whether the connection was closed for its limit.
func (l *ConnLimits) ConnContext(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := &callerConn{}
	l.conns[c] = conn
	ctx = context.WithValue(ctx, leftKey{}, func() bool {
		state, known := socket.Look(c)
		return known && state.Left
	})
	return context.WithValue(ctx, connKey{}, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return conn.expired
	})
}

// leftKey is the context's key of what tells whether a caller closed its connection.
type leftKey struct{}

// callerLeft tells whether the caller of a request has closed its connection, also
// if the server has not come to read that: a request that lay unread may have been
// given up before it was read.
func callerLeft(ctx context.Context) bool {
	told, found := ctx.Value(leftKey{}).(func() bool)
	return ctx.Err() != nil || found && told()
}

// expired tells whether the connection of a request was closed for its limit.
func expired(ctx context.Context) bool {
	told, found := ctx.Value(connKey{}).(func() bool)
	return found && told()
}

// ConnState is a server's hook.
func (l *ConnLimits) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conns[c]
	if conn == nil {
		return
	}
	conn.serving, conn.late = state == http.StateActive, false
	if conn.timer != nil {
		conn.timer.Stop()
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.since = steady.Now()
		conn.timer = time.AfterFunc(l.limit(), func() { l.expire(c) })
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// expire closes a connection unless a request came on it meanwhile, or it may
// rest for longer: its timer may have fired for an earlier rest, and the limits
// may have changed.
func (l *ConnLimits) expire(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conns[c]
	if conn == nil || conn.serving || conn.expired {
		return
	}
	if left := l.limit() - steady.Since(conn.since); left > 0 {
		conn.timer.Reset(left)
		return
	}
	if resting, can := c.(restingCloser); can && !conn.late && inUse(resting.CloseIfResting()) {
		// A request lies in it, at least in part: the head has the time of one.
		conn.late = true
		conn.timer.Reset(l.headerTime() + idleMargin)
		return
	}
	conn.expired = true
	l.log.Write(event.CallerConnExpired, event.F("caller", c.RemoteAddr().String()), event.F("rested_ms", steady.Since(conn.since).Milliseconds()))
	c.Close()
}

func inUse(o conns.Outcome) bool { return o == conns.Unread || o == conns.Serving }

// restingCloser is a connection that can tell whether a request lies in it unread.
type restingCloser interface {
	CloseIfResting() conns.Outcome
}

// limit is how long a connection may rest and then send a head. A new one may rest as long
// before its first, and callers do.
func (l *ConnLimits) limit() time.Duration {
	idle := defaultIdle
	if table := l.holder.Current().Table; table != nil && table.Limits().Idle > 0 {
		idle = table.Limits().Idle
	}
	return idle + l.headerTime() + idleMargin
}

// headerTime is how long a caller may take to send a head.
func (l *ConnLimits) headerTime() time.Duration {
	if table := l.holder.Current().Table; table != nil && table.Limits().HeaderTime > 0 {
		return table.Limits().HeaderTime
	}
	return defaultHeader
}
