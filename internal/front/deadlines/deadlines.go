// Package deadlines ends calls at their deadlines, also those that pass while the machine is suspended.
package deadlines

import (
	"context"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// Calls are the calls in progress. Timers stop while the machine is suspended, so
// calls that expired during a suspension would be held for as long again.
type Calls struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]call
}

type call struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// Add registers a call with its deadline and returns a function that removes it.
func (c *Calls) Add(end time.Time, cancel context.CancelFunc) (remove func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[uint64]call)
	}
	c.next++
	number := c.next
	c.calls[number] = call{end, cancel}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.calls, number)
	}
}

// Len returns the number of calls in progress.
func (c *Calls) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.calls)
}

// Restart ends the calls that expired while the machine was suspended, and restarts the
// timers of the others.
func (c *Calls) Restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.calls {
		time.AfterFunc(max(steady.Until(call.deadline), 0), call.cancel)
	}
}
