// Package proxy is a small TCP proxy that injects faults between real
// processes: cuts, silence (half-open connections), latency, resets in
// mid-stream. It exists because the well-known one could not be had as a module.
package proxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/faulty"
)

// Proxy passes connections on to one address.
type Proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	faults Faults
	conns  map[net.Conn]bool
	// gate reports whether a new connection from an address is reset; it may be nil.
	gate func(from net.Addr) bool
	// paused is not nil while nothing passes, and closed when it goes on.
	paused chan struct{}
}

// Faults are what the proxy does to traffic. The zero value passes everything.
type Faults struct {
	// Cut refuses new connections and resets those that are open.
	Cut bool
	// Silent keeps connections open and passes nothing.
	Silent bool
	// Delay holds each piece of traffic back.
	Delay time.Duration
	// ResetAfter resets a connection after so many bytes of answers; 0: never.
	ResetAfter int
	// DropAnswers passes requests and closes instead of answering.
	DropAnswers bool
}

// New starts a proxy to target on a free loopback port.
func New(target string) (*Proxy, error) {
	listener, err := faulty.Listen()
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the faults, of open connections too.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	if f.Cut {
		for c := range p.conns {
			reset(c)
		}
	}
}

// Gate makes the proxy reset new connections from the addresses for which strikes is true.
func (p *Proxy) Gate(strikes func(from net.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gate = strikes
}

// ResetWhere resets the open connections from the addresses for which strikes is true.
func (p *Proxy) ResetWhere(strikes func(from net.Addr) bool) {
	p.mu.Lock()
	var open []net.Conn
	for c := range p.conns {
		open = append(open, c)
	}
	p.mu.Unlock()
	for _, c := range open {
		if strikes(c.RemoteAddr()) {
			reset(c)
		}
	}
}

// Pause holds all traffic up, and lets it go on.
func (p *Proxy) Pause(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.paused != nil {
		close(p.paused)
		p.paused = nil
	}
	if paused {
		p.paused = make(chan struct{})
	}
}

// awaitPause waits while traffic is held up.
func (p *Proxy) awaitPause() {
	p.mu.Lock()
	paused := p.paused
	p.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

// isStruck reports whether a new connection is to be reset.
func (p *Proxy) isStruck(in net.Conn) bool {
	p.mu.Lock()
	gate := p.gate
	p.mu.Unlock()
	return gate != nil && gate(in.RemoteAddr())
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.listener.Close()
	p.Pause(false)
	p.Set(Faults{Cut: true})
}

func (p *Proxy) now() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

func (p *Proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now().Cut {
			reset(in)
			continue
		}
		go p.serve(in)
	}
}

func (p *Proxy) serve(in net.Conn) {
	if p.isStruck(in) {
		reset(in)
		return
	}
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(in)
		return
	}
	p.mu.Lock()
	p.conns[in] = true
	p.conns[out] = true
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { p.pass(out, in, false) })
	done.Go(func() { p.pass(in, out, true) })
	done.Wait()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

// pass copies until either end closes or resets, then does so with the other one.
func (p *Proxy) pass(to, from net.Conn, answers bool) {
	const size = 16 << 10
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, size)
	passed := 0
	for {
		n, err := from.Read(buffer)
		p.awaitPause()
		f := p.now()
		for f.Silent {
			time.Sleep(5 * time.Millisecond)
			f = p.now()
			if f.Cut {
				return
			}
		}
		time.Sleep(f.Delay)
		if answers && n > 0 && f.DropAnswers {
			reset(to)
			return
		}
		if answers && f.ResetAfter > 0 && passed+n > f.ResetAfter {
			_, _ = to.Write(buffer[:max(f.ResetAfter-passed, 0)])
			reset(to)
			return
		}
		_, writeErr := to.Write(buffer[:n])
		if errors.Is(err, syscall.ECONNRESET) {
			reset(to)
		}
		if writeErr != nil || err != nil {
			return
		}
		passed += n
	}
}

// reset closes a connection with a reset instead of a regular end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		// A connection that is already closed needs no reset.
		_ = tcp.SetLinger(0)
	}
	c.Close()
}
