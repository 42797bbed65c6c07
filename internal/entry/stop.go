package entry

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
)

// Fractions of the grace time of a planned stop.
const (
	// announcedFraction is when callers can know of the stop: the balancer probes each second
	// and needs two misses.
	announcedFraction = 0.25
	// minServeFraction is the least time in which new connections are served: those that the
	// balancer opened last may be on their way.
	minServeFraction = 0.375
	// idleCloseFraction is how long idle connections are left open. A caller that uses one
	// within this time is told in the answer not to use it again; one that sends a request just as
	// its connection is closed gets no answer, so the fewer are left the better.
	idleCloseFraction = 0.8
	// cutFraction is when requests still in flight are cut.
	cutFraction = 0.92
	// notifyFraction is how long callers whose requests are cut may take to receive the error.
	notifyFraction = 0.03
)

// shutDown stops serving within the users' grace time.
func (e *Entry) shutDown() error {
	asked := steady.Now()
	grace := e.bounds.Load().Grace
	e.log.Write(event.Draining, event.F("in_flight", e.front.ActiveRequests()), event.F("connections", e.conns.Open()))
	e.stopping.Store(true)
	e.front.BeginShutdown(asked.Add(fraction(grace, announcedFraction)), asked.Add(fraction(grace, cutFraction)))
	e.gossip.Leave()
	limit, cancel := context.WithTimeout(e.killed, steady.Until(asked.Add(fraction(grace, cutFraction))))
	defer cancel()
	select {
	case <-time.After(fraction(grace, minServeFraction)):
	case <-limit.Done():
	}
	e.waitForCallers(limit, asked.Add(fraction(grace, idleCloseFraction)))
	e.endListening(limit)
	ended, err := e.conns.Drain(limit)
	e.log.Write(event.CallersEnded, event.F("closed_at_rest", ended.Closed), event.F("found_unread", ended.Unread),
		event.F("in_use", ended.Serving), event.F("longest_rest_ms", ended.Longest.Milliseconds()), event.F("after_ms", steady.Since(asked).Milliseconds()))
	if err == nil {
		// Gossip announced the stop to the other routers when it began.
		_, err = e.relayedConns.Drain(limit)
	}
	if err == nil {
		return nil
	}
	return e.cutCallers(err)
}

// waitForCallers keeps serving until no connection is open or the time until is reached. A
// connection ends with its next answer, so callers leave by themselves.
func (e *Entry) waitForCallers(limit context.Context, until time.Time) {
	ctx, cancel := context.WithTimeout(limit, steady.Until(until))
	defer cancel()
	// Connections still open then are closed as they become idle.
	_ = e.conns.Wait(ctx)
}

// endListening closes the callers' listener once its queue is empty. Connections accepted
// by then belong to the set when it returns.
func (e *Entry) endListening(limit context.Context) {
	// At the limit the listener is closed with connections still queued.
	_ = e.conns.WaitAccepted(limit)
	e.listeners[0].Close()
	<-e.accepted
}

// cutCallers cancels requests in flight. Callers whose answer has not begun get an error.
func (e *Entry) cutCallers(cause error) error {
	e.log.Write(event.DrainCut, event.F("in_flight", e.front.ActiveRequests()))
	e.front.CancelInFlight()
	ctx, cancel := context.WithTimeout(context.Background(), fraction(e.bounds.Load().Grace, notifyFraction))
	defer cancel()
	// Callers that have not received the error by then are cut without it.
	_, _ = e.conns.Drain(ctx)
	_, _ = e.relayedConns.Drain(ctx)
	return fmt.Errorf("%w: %w", ErrCut, cause)
}
