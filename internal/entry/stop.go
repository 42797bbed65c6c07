package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
)

// Parts of the grace time of a planned stop.
const (
	// serveOnPart is how long new connections come at least: the balancer asks each
	// second and needs two misses.
	serveOnPart = 0.375
	// restPart is how long connections that rest are left open. A caller that uses
	// one within this time is told in the answer not to use it again; one that sends
	// a request just as its connection is closed gets no answer, so the fewer are
	// left the better.
	restPart = 0.8
	// cutPart is when what is still in flight is cut.
	cutPart = 0.92
	// tellPart is for how long those that are cut are told so.
	tellPart = 0.03
)

// shutDown ends the service within the users' grace time.
func (e *Entry) shutDown() error {
	asked := steady.Now()
	grace := e.bounds.Load().Grace
	e.log.Write(event.Draining, event.F("in_flight", e.front.ActiveRequests()), event.F("connections", e.conns.Open()))
	e.stopping.Store(true)
	e.front.BeginShutdown(asked.Add(part(grace, serveOnPart)), asked.Add(part(grace, cutPart)))
	e.gossip.Leave()
	limit, cancel := context.WithTimeout(e.killed, steady.Until(asked.Add(part(grace, cutPart))))
	defer cancel()
	select {
	case <-time.After(part(grace, serveOnPart)):
	case <-limit.Done():
	}
	e.waitForCallers(limit, asked.Add(part(grace, restPart)))
	e.endListening(limit)
	ended, err := e.conns.Drain(limit)
	e.log.Write(event.CallersEnded, event.F("closed_at_rest", ended.Closed), event.F("found_unread", ended.Unread),
		event.F("in_use", ended.Serving), event.F("longest_rest_ms", ended.Longest.Milliseconds()), event.F("after_ms", steady.Since(asked).Milliseconds()))
	if err == nil {
		return nil
	}
	return e.cutCallers(err)
}

// waitForCallers serves on until no connection is open, or until a time. A
// connection ends with its next answer, so callers leave by themselves.
func (e *Entry) waitForCallers(limit context.Context, until time.Time) {
	ctx, cancel := context.WithTimeout(limit, steady.Until(until))
	defer cancel()
	// What is left then is closed as it comes to rest.
	_ = e.conns.Wait(ctx)
}

// endListening closes the callers' listener once nothing lies in its queue. What was
// accepted by then belongs to the set when it returns.
func (e *Entry) endListening(limit context.Context) {
	// At the limit what is left is closed over.
	_ = e.conns.WaitAccepted(limit)
	e.listeners[0].Close()
	<-e.accepted
}

// cutCallers ends what is in flight. Callers whose answer has not begun are told.
func (e *Entry) cutCallers(cause error) error {
	e.log.Write(event.DrainCut, event.F("in_flight", e.front.ActiveRequests()))
	e.front.CancelInFlight()
	ctx, cancel := context.WithTimeout(context.Background(), part(e.bounds.Load().Grace, tellPart))
	defer cancel()
	// Who has not taken the word by then is cut without it.
	_, _ = e.conns.Drain(ctx)
	return fmt.Errorf("%w: %w", ErrCut, cause)
}
