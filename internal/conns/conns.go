// Package conns keeps the open connections of callers and closes them without
// losing a request.
//
//	Listener ──> Conn ──> http.Server
//	               └──ConnState──> Set: serving, or at rest
//
// An HTTP server takes a connection for idle until it has read a whole head, and
// its Shutdown closes it whatever lies in the socket or in a buffer: of 40 requests
// that a router had not come to read, 38 to 40 got no answer. Here a connection is
// closed only while nothing of a request has been read and nothing lies unread, and
// reading and closing exclude each other. What is still lost is a request that is on
// its way at that moment: the caller sees the close before any answer is due, and
// nothing was passed on.
package conns

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// Set holds the open connections of one listener. It is safe for concurrent use.
type Set struct {
	mu        sync.Mutex
	open      map[*Conn]struct{}
	listeners []*listener
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{open: make(map[*Conn]struct{})}
}

// Listener returns a listener whose connections belong to the set.
func (s *Set) Listener(l net.Listener) net.Listener {
	ours := &listener{Listener: l, set: s}
	if socket, ok := l.(syscall.Conn); ok {
		// The queue of one without a descriptor is not looked at.
		if raw, err := socket.SyscallConn(); err == nil {
			ours.raw = raw
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, ours)
	return ours
}

type listener struct {
	net.Listener
	set *Set
	// raw is nil if the listener is no socket.
	raw syscall.RawConn
}

// queued tells whether a connection waits to be accepted.
func (l *listener) queued() bool {
	if l.raw == nil {
		return false
	}
	found := false
	// One that is closed has no queue.
	_ = l.raw.Control(func(fd uintptr) { found = readable(int(fd)) })
	return found
}

// readable tells, without waiting, whether a descriptor has something to be read. Of
// one that can't be asked nothing is known.
func readable(fd int) bool {
	poll, err := syscall.EpollCreate1(syscall.EPOLL_CLOEXEC)
	if err != nil {
		return false
	}
	defer syscall.Close(poll)
	if err := syscall.EpollCtl(poll, syscall.EPOLL_CTL_ADD, fd, &syscall.EpollEvent{Events: syscall.EPOLLIN}); err != nil {
		return false
	}
	var found [1]syscall.EpollEvent
	n, err := syscall.EpollWait(poll, found[:], 0)
	return err == nil && n > 0 && found[0].Events&syscall.EPOLLIN != 0
}

// Queued tells whether a connection waits to be accepted. Its request may have come
// with it, and is lost if the listener is closed over it.
func (s *Set) Queued() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.listeners, (*listener).queued)
}

// WaitAccepted returns once no connection waits to be accepted, or with the error of
// ctx.
func (s *Set) WaitAccepted(ctx context.Context) error {
	return waitWhile(ctx, s.Queued)
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := newConn(raw, steady.Now())
	l.set.mu.Lock()
	l.set.open[c] = struct{}{}
	l.set.mu.Unlock()
	return c, nil
}

// ConnState is a server's hook.
func (s *Set) ConnState(raw net.Conn, state http.ConnState) {
	c, ours := raw.(*Conn)
	if !ours {
		return
	}
	switch state {
	case http.StateActive:
		c.serves()
	case http.StateIdle:
		c.rests(steady.Now())
	case http.StateClosed, http.StateHijacked:
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}
}

// Open returns how many connections are open.
func (s *Set) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// Ended is how CloseResting found the connections.
type Ended struct {
	// Closed were at rest.
	Closed int
	// Unread had a request waiting in the socket, at a look; they are left to be
	// served.
	Unread int
	// Serving were in use.
	Serving int
	// Longest is how long the one that had rested longest had done so.
	Longest time.Duration
}

// CloseResting closes the connections that are at rest.
func (s *Set) CloseResting(now time.Time) Ended {
	s.mu.Lock()
	open := make([]*Conn, 0, len(s.open))
	for c := range s.open {
		open = append(open, c)
	}
	s.mu.Unlock()
	var ended Ended
	for _, c := range open {
		switch c.CloseIfResting() {
		case Closed:
			ended.Closed++
			ended.Longest = max(ended.Longest, c.rested(now))
		case Unread:
			ended.Unread++
		case Serving:
			ended.Serving++
		}
	}
	return ended
}

// drainPause is the pause between two looks for connections at rest: an answer
// that ends leaves its connection open for that much longer at most.
const drainPause = 10 * time.Millisecond

// Drain closes each connection as soon as it rests, and returns what it found once
// none is open, or with the error of ctx.
func (s *Set) Drain(ctx context.Context) (Ended, error) {
	ticker := time.NewTicker(drainPause)
	defer ticker.Stop()
	var all Ended
	for {
		look := s.CloseResting(steady.Now())
		all.add(look)
		if s.Open() == 0 {
			return all, nil
		}
		ended := ctx.Done()
		if look.Serving+look.Unread == 0 {
			// All are closed, and the server is about to notice: nothing is cut.
			ended = nil
		}
		select {
		case <-ended:
			return all, ctx.Err()
		case <-ticker.C:
		}
	}
}

// Wait returns once no connection is open or waits to be accepted, or with the error of
// ctx.
func (s *Set) Wait(ctx context.Context) error {
	return waitWhile(ctx, func() bool { return s.Queued() || s.Open() > 0 })
}

func waitWhile(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(drainPause)
	defer ticker.Stop()
	for condition() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

// add adds what a further look found. Those in use are as of that look.
func (e *Ended) add(look Ended) {
	e.Closed += look.Closed
	e.Unread += look.Unread
	e.Serving = look.Serving
	e.Longest = max(e.Longest, look.Longest)
}
