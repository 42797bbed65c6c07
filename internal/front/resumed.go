package front

import (
	"context"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// inFlight are the calls under way. Timers stand still while the machine is suspended,
// so that those whose time ran out meanwhile would be held for as long again.
type inFlight struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]flight
}

type flight struct {
	end    time.Time
	cancel context.CancelFunc
}

// add adds a call whose time is over at its end, and returns what takes it out.
func (f *inFlight) add(end time.Time, cancel context.CancelFunc) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[uint64]flight)
	}
	f.next++
	number := f.next
	f.calls[number] = flight{end, cancel}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calls, number)
	}
}

// RestartTimers ends the calls whose time ran out while the machine was suspended, and restarts
// the timers of the others.
func (f *Front) RestartTimers() {
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	for _, call := range f.inFlight.calls {
		time.AfterFunc(max(steady.Until(call.end), 0), call.cancel)
	}
}
