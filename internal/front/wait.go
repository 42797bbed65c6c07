package front

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// A request waits only for something that is expected to change, and no longer than
// its caller would take to come back: a refusal brings it to another router, which may
// serve it at once, after retryElsewhere and a new connection. A part of the target is about
// as long, and where the target is longer the caller has more time to lose by a second way.
const (
	waitPart = 8
	// proofPart is for a proof: one that comes within half the target leaves the time
	// for an answer that has its full worth, and a refusal leads to another router
	// that may know as little.
	proofPart = 2
)

// Bounds of waits whatever the target.
const (
	// defaultWait is for routes without a target.
	defaultWait = 75 * time.Millisecond
	// startWait is for the first configuration, before which no route is known.
	startWait = 60 * time.Millisecond
	// proofWait is for a proof that is new enough to say no by: a read of the largest
	// configuration over the narrowest link.
	proofWait = 400 * time.Millisecond
	// listWait is for a newer list of replicas, one call of a store that is well.
	listWait = 60 * time.Millisecond
)

// boundedWait is a part of the request's target, at most a limit.
func (c *call) boundedWait(part, most time.Duration) time.Duration {
	if c.route == nil || c.route.Target == 0 {
		return min(defaultWait, most)
	}
	return min(c.route.Target/part, most)
}

// waitForReplica waits while a replica is expected to be there soon, and tells whether
// to look again.
func (c *call) waitForReplica(ctx context.Context) bool {
	left := c.boundedWait(waitPart, defaultTimeout) - steady.Since(c.arrival)
	if c.sent.Load() > 0 || c.evacuated() || left <= 0 {
		return false
	}
	news, expected := c.front.watcher.Updates()
	first := c.nextAvailable(steady.Now())
	opening := first.known && first.after > 0 && first.after <= left
	if !opening && !expected {
		return false
	}
	if opening {
		left = first.after
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-news:
	case <-timer.C:
		if !opening {
			return false
		}
	}
	// Those that could not be reached may be reached now.
	c.tried = nil
	return true
}

// refreshPart of the greatest age of the list is the age at which a request has it read
// again: the rest is for the answer.
const refreshPart = 0.875

// refreshList reads the list of replicas again if it is about to exceed its greatest age.
// Other routers usually read it for this one; a request must not pay for one being late.
func (c *call) refreshList(ctx context.Context) {
	f := c.front
	limit := time.Duration(float64(f.limits.Load().MaxListAge) * refreshPart)
	now := steady.Now()
	if limit == 0 || f.options.Without.Has(mechanism.Renew) || f.watcher.ListAge(now) < limit {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.boundedWait(waitPart, listWait))
	defer cancel()
	f.logListAge(f.watcher.RefreshList(ctx, now.Add(-limit)))
}

// initialState returns the state by which a request is served. Right after the start it
// waits a moment for the first configuration.
func (c *call) initialState(ctx context.Context) *freshness.State {
	f := c.front
	state := f.holder.Current()
	if state.Table != nil || f.watcher.SourceFailing() {
		return state
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	// Without a proof in time the state is as it was.
	_ = f.watcher.WaitFresh(ctx, f.started)
	return f.holder.Current()
}

// waitFresh waits until the configuration was read after a time, and reports whether it
// was. While the source is unavailable it does not wait.
func (c *call) waitFresh(ctx context.Context, since time.Time) bool {
	if c.front.watcher.SourceFailing() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.boundedWait(proofPart, proofWait))
	defer cancel()
	return c.front.watcher.WaitFresh(ctx, since) == nil
}
