package front

import (
	"context"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// inFlightCalls are the calls in progress. Timers stop while the machine is suspended, so
// calls that expired during a suspension would be held for as long again.
type inFlightCalls struct {
	mu    sync.Mutex
	next  uint64
	calls map[uint64]inFlightCall
}

type inFlightCall struct {
	deadline time.Time
	cancel   context.CancelFunc
}

// add registers a call with its deadline and returns a function that removes it.
func (f *inFlightCalls) add(end time.Time, cancel context.CancelFunc) (remove func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == nil {
		f.calls = make(map[uint64]inFlightCall)
	}
	f.next++
	number := f.next
	f.calls[number] = inFlightCall{end, cancel}
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.calls, number)
	}
}

// RestartTimers ends the calls that expired while the machine was suspended, and restarts the
// timers of the others.
func (f *Front) RestartTimers() {
	f.inFlight.mu.Lock()
	defer f.inFlight.mu.Unlock()
	for _, call := range f.inFlight.calls {
		time.AfterFunc(max(steady.Until(call.deadline), 0), call.cancel)
	}
}
