// Package callerconn closes callers' connections that are idle for too long, and tells from a request's
// context what became of its connection.
package callerconn

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

// Limits closes callers' connections that are idle, or take to send a request head, for
// longer than the current configuration allows. The timeouts of http.Server cannot change
// while it runs.
//
// A connection is closed only while none of its requests is being served, and a request
// whose connection was closed is not forwarded. Both are decided under one lock, since the
// limit may expire just as a request arrives.
type Limits struct {
	holder *freshness.Holder
	log    *event.Log
	mu     sync.Mutex
	conns  map[net.Conn]*callerConn
}

// callerConn is the state of a caller's connection, guarded by Limits.mu.
type callerConn struct {
	timer *time.Timer
	// idleSince is when the connection became idle.
	idleSince time.Time
	// serving is set while a handler runs for a request of the connection.
	serving bool
	// expired is set if the connection was closed because of its limit.
	expired bool
	// extended is set if the limit expired after part of a request head had arrived.
	extended bool
}

// New returns limits that follow the configuration in h.
func New(h *freshness.Holder, log *event.Log) *Limits {
	return &Limits{holder: h, log: log, conns: make(map[net.Conn]*callerConn)}
}

// Limits before there is a configuration, and the margin that is added to every limit: a
// caller's idle time starts when it receives the answer, which is later.
const (
	defaultIdle   = 30 * time.Second
	defaultHeader = 10 * time.Second
	idleMargin    = 500 * time.Millisecond
)

// expiredKey is the context key of a function that tells whether the connection expired.
type expiredKey struct{}

// ConnContext is the hook of http.Server. It lets Left and Expired tell from a request's
// context what became of its connection.
func (l *Limits) ConnContext(ctx context.Context, c net.Conn) context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := &callerConn{}
	l.conns[c] = conn
	ctx = context.WithValue(ctx, leftKey{}, func() bool {
		state, known := socket.Look(c)
		return known && state.Left
	})
	return context.WithValue(ctx, expiredKey{}, func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return conn.expired
	})
}

// leftKey is the context key of a function that tells whether the caller closed its
// connection.
type leftKey struct{}

// Left reports whether the caller of a request has closed its connection, even if the
// server has not read that yet: a request may be abandoned before the server reads it.
func Left(ctx context.Context) bool {
	told, found := ctx.Value(leftKey{}).(func() bool)
	return ctx.Err() != nil || found && told()
}

// Expired reports whether the connection of a request was closed because of its limit.
func Expired(ctx context.Context) bool {
	told, found := ctx.Value(expiredKey{}).(func() bool)
	return found && told()
}

// ConnState is the hook of http.Server.
func (l *Limits) ConnState(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conns[c]
	if conn == nil {
		return
	}
	conn.serving, conn.extended = state == http.StateActive, false
	if conn.timer != nil {
		conn.timer.Stop()
	}
	switch state {
	case http.StateNew, http.StateIdle:
		conn.idleSince = steady.Now()
		conn.timer = time.AfterFunc(l.idleLimit(), func() { l.expire(c) })
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// expire closes a connection unless it has a request or may stay idle for longer: the timer
// may have fired for an earlier idle period, and the limits may have changed.
func (l *Limits) expire(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := l.conns[c]
	if conn == nil || conn.serving || conn.expired {
		return
	}
	if left := l.idleLimit() - steady.Since(conn.idleSince); left > 0 {
		conn.timer.Reset(left)
		return
	}
	if resting, can := c.(idleCloser); can && !conn.extended && inUse(resting.CloseIfResting()) {
		// At least part of a request is unread: allow the time of a head for the rest.
		conn.extended = true
		conn.timer.Reset(l.headerTime() + idleMargin)
		return
	}
	conn.expired = true
	l.log.Write(event.CallerConnExpired, event.F("caller", c.RemoteAddr().String()), event.F("rested_ms", steady.Since(conn.idleSince).Milliseconds()))
	c.Close()
}

func inUse(o conns.Outcome) bool { return o == conns.Unread || o == conns.Serving }

// idleCloser is a connection that closes only if it holds no unread request.
type idleCloser interface {
	CloseIfResting() conns.Outcome
}

// idleLimit is how long a connection may be idle and then send a head. A new one may be idle
// as long before its first request, and callers make use of that.
func (l *Limits) idleLimit() time.Duration {
	idle := defaultIdle
	if table := l.holder.Current().Table; table != nil && table.Limits().Idle > 0 {
		idle = table.Limits().Idle
	}
	return idle + l.headerTime() + idleMargin
}

// headerTime is how long a caller may take to send a request head.
func (l *Limits) headerTime() time.Duration {
	if table := l.holder.Current().Table; table != nil && table.Limits().HeaderTime > 0 {
		return table.Limits().HeaderTime
	}
	return defaultHeader
}
