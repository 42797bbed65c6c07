package faulty

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Relay passes connections on to a server. Those that are open can be made to go
// silent for good: nothing passes any more, either way, and nobody is told, while
// new ones work.
type Relay struct {
	listener net.Listener
	to       string
	opened   atomic.Int64
	// silentNew: new connections are silent from their start.
	silentNew atomic.Bool
	mu        sync.Mutex
	links     []*link
	closed    bool
	done      sync.WaitGroup
}

// link is one connection that is passed on.
type link struct {
	caller, server net.Conn
	silent         atomic.Bool
}

// NewRelay passes connections on to a server at an address.
func NewRelay(to string) (*Relay, error) {
	listener, err := Listen()
	if err != nil {
		return nil, fmt.Errorf("faulty: relay: %w", err)
	}
	r := &Relay{listener: listener, to: to}
	r.done.Go(r.accept)
	return r, nil
}

// Address is where connections are taken.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Opened returns how many connections were taken.
func (r *Relay) Opened() int { return int(r.opened.Load()) }

// Silence makes the connections that are open go silent.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		l.silent.Store(true)
	}
}

// SilenceNew makes connections silent that are opened from now on.
func (r *Relay) SilenceNew() { r.silentNew.Store(true) }

// Reset resets the connections that are open.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.links {
		if tcp, is := l.caller.(*net.TCPConn); is {
			// A connection that is closed already needs no reset.
			_ = tcp.SetLinger(0)
		}
		l.close()
	}
}

// Close ends the relay and its connections.
func (r *Relay) Close() {
	r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for _, l := range r.links {
		l.close()
	}
	r.mu.Unlock()
	r.done.Wait()
}

func (l *link) close() {
	l.caller.Close()
	l.server.Close()
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			caller.Close()
			continue
		}
		l := &link{caller: caller, server: server}
		l.silent.Store(r.silentNew.Load())
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			l.close()
			return
		}
		r.links = append(r.links, l)
		r.mu.Unlock()
		r.opened.Add(1)
		r.done.Go(func() { r.pass(l, l.server, l.caller) })
		r.done.Go(func() { r.pass(l, l.caller, l.server) })
	}
}

// pass copies one direction. An end is passed on like bytes: not on a silent
// connection.
func (r *Relay) pass(l *link, to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if l.silent.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			l.close()
			return
		}
	}
}
