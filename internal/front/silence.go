package front

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/silence"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// errSilent is the cancellation cause of an attempt whose replica is silent for longer than
// replicas usually are.
var errSilent = errors.New("front: no answer in time")

// silenceLimit returns how long a replica may be silent before it is reported as hung.
func (c *call) silenceLimit() time.Duration {
	const targets = 2
	const least = 500 * time.Millisecond
	return max(targets*c.route.Target, least)
}

// startSilenceTimer watches an attempt for silence.
func (c *call) startSilenceTimer(limit time.Duration, id string, cancel context.CancelCauseFunc) *silence.Timer {
	return silence.Start(limit, func() { c.front.reportFailure(c.id, id, balance.Hung) }, c.failover(limit, cancel))
}

// failover returns a function that ends an attempt if the request may be retried, there is time
// for it and another replica can take it, and reports whether it did. It runs concurrently with
// the call, so its inputs are read here. It claims the retry first: otherwise another request
// could take the last one, and this attempt would be ended for nothing.
func (c *call) failover(limit time.Duration, cancel context.CancelCauseFunc) func() bool {
	repeatable, attempts, end := !c.route.RunsOnce() && !c.front.options.Without.Has(mechanism.Hang), c.maxAttempts(), c.deadline
	key, draw, begun, name, q, service := c.key(), c.shareDraw, c.headSent, c.route.Name, c.question(nil), c.service.Name
	bound := begun || c.origin.State == continuation.Known
	return func() bool {
		now := steady.Now()
		fits := begun || c.front.retryFitsShutdown(name, end, now)
		if !repeatable || c.sentCount() >= attempts || end.Sub(now) <= limit || !fits || bound && c.isMoved(q.Service, draw) || !c.wouldRetry(key, q, now) || !c.claimRetry(service) {
			return false
		}
		cancel(errSilent)
		return true
	}
}

// isMoved reports whether the newest configuration leads the request to another service than one. A
// stream that has begun does not go on there. draw selects among the shares of the route.
func (c *call) isMoved(service string, draw float64) bool {
	found := c.front.holder.Current().Table.Match(c.request.Host, c.path())
	return found != nil && found.Service(draw) != service
}

// wouldRetry reports whether the request would be admitted once more, as of now, and another
// replica or router could take it. Otherwise an attempt that is only silent would be ended for
// nothing. It does not change the call.
func (c *call) wouldRetry(key string, q balance.Request, now time.Time) bool {
	table := c.front.holder.Current().Table
	found := table.Match(c.request.Host, c.path())
	if found == nil || table.Keyed() && !found.Public && table.Organisation(key) == nil {
		return false
	}
	if len(c.front.balancer.UsableReplicas(q.Service, q.Tried, now)) == 0 {
		return false
	}
	return c.canChoose(q, now) || c.mayRelay(q.Service, now)
}

// mayRelay reports whether another router is asked for a request that no replica here can take.
func (c *call) mayRelay(service string, now time.Time) bool {
	o, b := &c.front.options, c.front.balancer
	return c.relay == nil && o.Relays != nil && !o.Without.Has(mechanism.Relay) && (b.AnyOutOfReach(service, now) || b.ShareUsed(service, now))
}
