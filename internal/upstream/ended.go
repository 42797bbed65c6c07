package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// endedLook is how long a connection that was just opened is looked after: a process
// that ends may still take one while its others are closed already.
const endedLook = 30 * time.Millisecond

// endedLooks is how often that is looked at.
const endedLooks = 2

// Fate is what can be seen from here of the process at an address.
type Fate uint8

// The fates.
const (
	// Unknown: the way is cut.
	Unknown Fate = iota
	// Closes: what listens there takes connections and closes them, a replica for which one
	// more is too much, or something that stands before one that has ended.
	Closes
	// Lives: it takes connections.
	Lives
	// Ended: nothing listens there any more.
	Ended
)

// FateOf looks what became of the process at an address. A connection that was opened
// for the look is kept for requests.
func (p *Pool) FateOf(ctx context.Context, address string) Fate {
	for range endedLooks {
		c, err := p.dial(ctx, address)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return Ended
		}
		if err != nil {
			return Unknown
		}
		select {
		case <-time.After(endedLook):
		case <-ctx.Done():
		}
		if c.quiet() {
			p.keepUnused(c)
			return Lives
		}
		c.Close()
	}
	return Closes
}

// Drop closes the connections to an address that rest: what they led to has ended.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	closeAll(idle)
}
