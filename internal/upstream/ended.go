package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// probeHold is how long a connection that was just opened is observed: a process that ends
// may still accept one while its others are closed already.
const probeHold = 30 * time.Millisecond

// probeTries is how many connections are opened at most.
const probeTries = 2

// ProcessState is what can be seen from here of the process at an address.
type ProcessState uint8

// The states.
const (
	// Unreachable: no connection could be opened, and none was refused.
	Unreachable ProcessState = iota
	// Rejecting: what listens there takes connections and closes them, a replica for which one
	// more is too much, or something that stands before one that has ended.
	Rejecting
	// Listening: it takes connections.
	Listening
	// Ended: nothing listens there any more.
	Ended
)

// Probe finds the state of the process at an address. A connection that was opened for it
// is kept for requests.
func (p *Pool) Probe(ctx context.Context, address string) ProcessState {
	for range probeTries {
		c, err := p.dial(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Ended
		}
		if err != nil {
			return Unreachable
		}
		select {
		case <-time.After(probeHold):
		case <-ctx.Done():
		}
		if c.quiet() {
			p.keepUnused(c)
			return Listening
		}
		c.Close()
	}
	return Rejecting
}

// DropIdleTo closes the connections to an address that rest: what they led to has ended.
func (p *Pool) DropIdleTo(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(idle)
}
