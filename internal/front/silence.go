package front

import (
	"context"
	"errors"
	"slices"
	"time"

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

// startSilenceTimer starts a timer that, when it fires, reports the replica as hung and fails
// over if the request may be retried.
func (c *call) startSilenceTimer(limit time.Duration, id string, cancel context.CancelCauseFunc) *time.Timer {
	failover := c.failover(limit, cancel)
	return time.AfterFunc(limit, func() {
		c.front.reportFailure(c.id, id, balance.Hung)
		failover()
	})
}

// failover returns a function that ends an attempt if the request may be retried and there
// is time for it. It runs concurrently with the call, so its inputs are read here. It
// reserves the retry first: otherwise another request could take the last one, and this
// attempt would be ended for nothing.
func (c *call) failover(limit time.Duration, cancel context.CancelCauseFunc) func() {
	repeatable, attempts, end := !c.route.RunsOnce() && !c.front.options.Without.Has(mechanism.Hang), c.maxAttempts(), c.deadline
	service, key, tried, begun, name := c.service.Name, c.key(), slices.Clone(c.tried), c.headSent, c.route.Name
	return func() {
		if repeatable && c.sentCount() < attempts && steady.Until(end) > limit && (begun || c.front.retryFitsShutdown(name, end, steady.Now())) &&
			c.wouldRetry(service, key, tried) && c.reserveRetry() {
			cancel(errSilent)
		}
	}
}

// wouldRetry reports whether the request would be admitted once more, as of now, and another
// replica could take it. Otherwise an attempt that is only silent would be ended for nothing.
// It does not change the call.
func (c *call) wouldRetry(service, key string, tried []string) bool {
	table := c.front.holder.Current().Table
	found := table.Match(c.request.Host, c.path())
	if found == nil || table.Keyed() && !found.Public && table.Organisation(key) == nil {
		return false
	}
	return len(c.front.balancer.UsableReplicas(service, tried, steady.Now())) > 0
}

// reserveRetry takes one retry from the budget for the next attempt, unless it holds one.
func (c *call) reserveRetry() bool {
	if !c.reserved.CompareAndSwap(false, true) {
		return false
	}
	if c.front.spendRetry(c.id) {
		return true
	}
	c.reserved.Store(false)
	return false
}
