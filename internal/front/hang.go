package front

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// errHung is the cause with which an attempt is cancelled that got no answer in
// a time in which others do.
var errHung = errors.New("front: no answer in time")

// hangTime is how long a replica may be silent before it is doubted.
func (c *call) hangTime() time.Duration {
	const targets = 2
	const least = 500 * time.Millisecond
	return max(targets*c.route.Target, least)
}

// whenSilent starts a timer that doubts a replica when it fires, and moves on if
// the request may be repeated.
func (c *call) whenSilent(limit time.Duration, id string, cancel context.CancelCauseFunc) *time.Timer {
	moveOn := c.moveOn(limit, cancel)
	return time.AfterFunc(limit, func() {
		c.front.fail(c.id, id, balance.Hung)
		moveOn()
	})
}

// moveOn returns what ends an attempt if the request may be repeated and there is
// time for it. What it needs is read here: later it runs beside the call. The repeat is
// taken before the attempt is ended: a sound stream was cut since the last one in store
// went to another request in between.
func (c *call) moveOn(limit time.Duration, cancel context.CancelCauseFunc) func() {
	repeatable, attempts, end := !c.route.RunsOnce() && !c.front.options.Without.Has(mechanism.Hang), c.route.Attempts, c.end
	return func() {
		if repeatable && c.asked() < attempts && steady.Until(end) > limit && c.reserveRepeat() {
			cancel(errHung)
		}
	}
}

// reserveRepeat takes a repeat from the budget for the next attempt, once.
func (c *call) reserveRepeat() bool {
	if !c.reserved.CompareAndSwap(false, true) {
		return false
	}
	if c.front.spendRepeat(c.id) {
		return true
	}
	c.reserved.Store(false)
	return false
}
