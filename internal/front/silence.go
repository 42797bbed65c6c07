package front

import (
	"context"
	"errors"
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
	return func() {
		if repeatable && c.sentCount() < attempts && steady.Until(end) > limit && c.reserveRetry() {
			cancel(errSilent)
		}
	}
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
