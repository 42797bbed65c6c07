package entry

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
)

const (
	// acceptPause is the wait before the next try after no descriptor was left for a
	// connection. The pause of http.Server grows to a second, and callers give a connection
	// only a second to come up.
	acceptPause = 20 * time.Millisecond
	// starvedTime is how long accepting must fail before the router reports that it is not
	// ready: half of the second between two readiness probes of the balancer.
	starvedTime = 500 * time.Millisecond
	// starvedRest is how long no failure must occur until the router counts as accepting
	// again: acceptPause and a wide margin. A listener that waits for a caller does not fail.
	starvedRest = 10 * acceptPause
)

// retryListener keeps accepting when descriptors run out, and reports that they do.
type retryListener struct {
	net.Listener
	// onExhausted frees descriptors. It is called for each failure; first marks the first
	// failure of a run.
	onExhausted func(err error, first bool)

	mu sync.Mutex
	// first and last are the times of the first and last failure of a run, in which no two
	// failures are further apart than starvedRest.
	first, last time.Time
}

// Accept implements net.Listener.
func (t *retryListener) Accept() (net.Conn, error) {
	for {
		c, err := t.Listener.Accept()
		if err == nil || !socket.IsExhausted(err) {
			return c, err
		}
		t.onExhausted(err, t.recordFailure(steady.Now()))
		time.Sleep(acceptPause)
	}
}

// SyscallConn implements syscall.Conn: a planned stop inspects the listener's queue.
func (t *retryListener) SyscallConn() (syscall.RawConn, error) {
	socket, ok := t.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// recordFailure records a failure and reports whether it is the first of a run.
func (t *retryListener) recordFailure(now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = now.Sub(t.last) > starvedRest
	if first {
		t.first = now
	}
	t.last = now
	return first
}

// starved reports whether accepting has failed for at least starvedTime.
func (t *retryListener) starved(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last) <= starvedRest && t.last.Sub(t.first) >= starvedTime
}

// freeDescriptors closes idle connections to replicas when no descriptor is left.
func (e *Entry) freeDescriptors(err error, first bool) {
	dropped := e.pool.DropIdle()
	if !first {
		return
	}
	e.log.Write(event.Exhausted, event.F("error", err), event.F("dropped", dropped), event.F("in_flight", e.front.ActiveRequests()))
}
