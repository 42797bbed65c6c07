package entry

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
)

const (
	// acceptPause is how long after a connection could not be taken for want of
	// descriptors the next is tried. The server's own pause grows to a second, in which
	// callers give up: they give a connection a second to come up.
	acceptPause = 20 * time.Millisecond
	// starvedTime is for how long none can be taken before the router says that it is
	// not ready: half of the second between two questions of the balancer.
	starvedTime = 500 * time.Millisecond
	// starvedRest is after how long without a failure connections are taken again: the
	// pause and a wide margin. A listener that waits for the next caller does not fail.
	starvedRest = 10 * acceptPause
)

// taker is a listener that goes on when descriptors run out and tells that they do.
type taker struct {
	net.Listener
	// relieve gives descriptors back, each time when there are none. first: the first
	// time of a run.
	relieve func(err error, first bool)

	mu sync.Mutex
	// first and last are the failures of a run without a longer pause than
	// starvedRest.
	first, last time.Time
}

// Accept implements net.Listener.
func (t *taker) Accept() (net.Conn, error) {
	for {
		c, err := t.Listener.Accept()
		if err == nil || !socket.IsExhausted(err) {
			return c, err
		}
		t.relieve(err, t.failed(steady.Now()))
		time.Sleep(acceptPause)
	}
}

// SyscallConn implements syscall.Conn: a stop looks into the listener's queue.
func (t *taker) SyscallConn() (syscall.RawConn, error) {
	socket, ok := t.Listener.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}

// failed notes a failure and tells whether it is the first of a run.
func (t *taker) failed(now time.Time) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first = now.Sub(t.last) > starvedRest
	if first {
		t.first = now
	}
	t.last = now
	return first
}

// starved tells whether no connection could be taken for a while.
func (t *taker) starved(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.last) <= starvedRest && t.last.Sub(t.first) >= starvedTime
}
