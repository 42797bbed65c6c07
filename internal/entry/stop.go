package entry

import (
	"context"
	"fmt"
	"sync"
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

// plannedStop is a stop in progress. Its grace time can only become shorter: the platform may have
// set the time at which it kills the process when the stop began.
type plannedStop struct {
	asked time.Time
	mu    sync.Mutex
	grace time.Duration
	// cut ends the limit of the stop.
	cut *time.Timer
}

// lasting returns a fraction of the grace time.
func (p *plannedStop) lasting(share float64) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fraction(p.grace, share)
}

// at returns when a fraction of the grace time is over.
func (p *plannedStop) at(share float64) time.Time { return p.asked.Add(p.lasting(share)) }

// past returns a condition that holds once a fraction of the grace time is over.
func (p *plannedStop) past(share float64) func() bool {
	return func() bool { return !steady.Now().Before(p.at(share)) }
}

// beginStop returns a stop that starts now, and a context that ends when requests are cut.
func (e *Entry) beginStop() (*plannedStop, context.Context, context.CancelFunc) {
	limit, cancel := context.WithCancel(e.killed)
	grace := e.bounds.Load().Grace
	p := &plannedStop{asked: steady.Now(), grace: grace, cut: time.AfterFunc(fraction(grace, cutFraction), cancel)}
	e.planned.Store(p)
	// A reload that came before the stop was stored has changed the bounds only.
	e.shortenStop(e.bounds.Load().Grace)
	return p, limit, func() {
		p.cut.Stop()
		cancel()
	}
}

// shortenStop applies a grace time to the stop in progress, if there is one.
func (e *Entry) shortenStop(grace time.Duration) {
	p := e.planned.Load()
	if p == nil {
		return
	}
	p.mu.Lock()
	p.grace = min(p.grace, grace)
	p.mu.Unlock()
	cutAt := p.at(cutFraction)
	p.cut.Reset(steady.Until(cutAt))
	e.front.BeginShutdown(p.at(announcedFraction), cutAt)
}

// shutDown stops serving within the users' grace time.
func (e *Entry) shutDown() error {
	p, limit, cancel := e.beginStop()
	defer cancel()
	e.log.Write(event.Draining, event.F("in_flight", e.front.ActiveRequests()), event.F("connections", e.conns.Open()))
	e.stopping.Store(true)
	e.gossip.Leave()
	e.waitUntil(limit, p.past(minServeFraction))
	handedOver := e.gossip.Origins().HandOver(limit)
	e.waitForCallers(limit, p.past(idleCloseFraction))
	e.endListening(limit)
	ended, err := e.conns.Drain(limit)
	e.log.Write(event.CallersEnded, event.F("closed_at_rest", ended.Closed), event.F("found_unread", ended.Unread),
		event.F("in_use", ended.Serving), event.F("longest_rest_ms", ended.Longest.Milliseconds()), event.F("records_handed_over", handedOver), event.F("after_ms", steady.Since(p.asked).Milliseconds()))
	if err == nil {
		// Gossip announced the stop to the other routers when it began.
		_, err = e.relayedConns.Drain(limit)
	}
	if err == nil {
		return nil
	}
	return e.cutCallers(p, err)
}

// waitForCallers keeps serving until no connection is open or closeIdle holds. A connection
// ends with its next answer, so callers leave by themselves.
func (e *Entry) waitForCallers(limit context.Context, closeIdle func() bool) {
	ctx, cancel := context.WithCancel(limit)
	defer cancel()
	go func() {
		e.waitUntil(ctx, closeIdle)
		cancel()
	}()
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
func (e *Entry) cutCallers(p *plannedStop, cause error) error {
	e.log.Write(event.DrainCut, event.F("in_flight", e.front.ActiveRequests()))
	e.front.CancelInFlight()
	ctx, cancel := context.WithTimeout(context.Background(), p.lasting(notifyFraction))
	defer cancel()
	// Callers that have not received the error by then are cut without it.
	_, _ = e.conns.Drain(ctx)
	_, _ = e.relayedConns.Drain(ctx)
	return fmt.Errorf("%w: %w", ErrCut, cause)
}
