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

// Ended tells whether the process at an address has ended, as far as can be seen
// from here: nothing listens there any more. A way that is cut, and a replica that
// resets what is too much for it, do not show that. A connection that was opened for the
// look is kept for requests.
func (p *Pool) Ended(ctx context.Context, address string) bool {
	for range endedLooks {
		c, err := p.dial(ctx, address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		select {
		case <-time.After(endedLook):
		case <-ctx.Done():
		}
		if c.quiet() {
			p.keepUnused(c)
			return false
		}
		c.Close()
	}
	return false
}
