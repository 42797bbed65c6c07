package upstream

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"
)

// probeObservation is how long Probe observes a new connection: a process that is
// terminating may still accept one after it has closed its others.
const probeObservation = 30 * time.Millisecond

// probeTries is the largest number of connections that Probe opens.
const probeTries = 2

// ProcessState is the state of the process at an address, as seen by connecting to it.
type ProcessState uint8

// The states.
const (
	// Unreachable: connecting failed, but was not refused.
	Unreachable ProcessState = iota
	// Rejecting: the listener accepts connections and closes them. It is a replica that
	// cannot take one more, or an intermediary in front of a process that has ended.
	Rejecting
	// Listening: the process accepts connections and keeps them open.
	Listening
	// Ended: nothing listens at the address any more.
	Ended
)

// Probe determines the state of the process at an address. If the process is listening,
// Probe keeps the connection for requests.
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
		case <-time.After(probeObservation):
		case <-ctx.Done():
		}
		if c.isQuiet() {
			p.keepUnused(c)
			return Listening
		}
		c.Close()
	}
	return Rejecting
}

// HasOpenIdle reports whether an idle connection to an address is still open, which shows that
// its process has not ended.
func (p *Pool) HasOpenIdle(address string) bool {
	p.mu.Lock()
	idle := slices.Clone(p.idle[address])
	p.mu.Unlock()
	return slices.ContainsFunc(idle, (*conn).isQuiet)
}

// DropIdleTo closes the idle connections to an address whose process has ended.
func (p *Pool) DropIdleTo(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(idle)
}
