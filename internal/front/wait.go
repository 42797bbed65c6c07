package front

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// A request waits only for a change that is expected, and no longer than its caller would take
// to retry: a refused request reaches another router, which may serve it at once, after
// retryElsewhere and a new connection. A fraction of the target is about as long; with a
// longer target, the caller has more time to lose by the retry.
const (
	waitDivisor = 8
	// freshnessDivisor is for a confirmation of the configuration: one that arrives within
	// half the target leaves enough time to answer within the target, and after a refusal
	// another router may be no better informed.
	freshnessDivisor = 2
)

// Upper bounds of the waits.
const (
	// defaultWait applies to routes without a target.
	defaultWait = 75 * time.Millisecond
	// startupWait is for the first configuration, before which no route is known.
	startupWait = 60 * time.Millisecond
	// freshnessWait is for a confirmation recent enough for a refusal: it covers a read of
	// the largest configuration over the narrowest link.
	freshnessWait = 400 * time.Millisecond
	// listWait is for a newer list of replicas: it covers one call to a healthy store.
	listWait = 60 * time.Millisecond
)

// boundedWait returns the target divided by divisor, or defaultWait without a target, but at
// most limit.
func (c *call) boundedWait(divisor, limit time.Duration) time.Duration {
	if c.route == nil || c.route.Target == 0 {
		return min(defaultWait, limit)
	}
	return min(c.route.Target/divisor, limit)
}

// waitForReplica waits for a replica that is expected to be available soon, and reports
// whether to choose again.
func (c *call) waitForReplica(ctx context.Context) bool {
	left := c.boundedWait(waitDivisor, defaultTimeout) - steady.Since(c.arrival)
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
	// Replicas that could not be reached may be reachable now.
	c.tried = nil
	return true
}

// refreshFraction of the list's maximum age is the age at which a request triggers a read of
// it: the rest is for the answer.
const refreshFraction = 0.875

// refreshList reads the list of replicas again if it is about to exceed its maximum age. Other
// routers usually read it for this one; a request must not pay for a late one.
func (c *call) refreshList(ctx context.Context) {
	f := c.front
	limit := time.Duration(float64(f.limits.Load().MaxListAge) * refreshFraction)
	now := steady.Now()
	if limit == 0 || f.options.Without.Has(mechanism.Renew) || f.watcher.ListAge(now) < limit {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.boundedWait(waitDivisor, listWait))
	defer cancel()
	f.logListAge(f.watcher.RefreshList(ctx, now.Add(-limit)))
}

// initialState returns the current state. Right after the start it waits for up to
// startupWait for the first configuration.
func (c *call) initialState(ctx context.Context) *freshness.State {
	f := c.front
	state := f.holder.Current()
	if state.Table != nil || f.watcher.SourceFailing() {
		return state
	}
	ctx, cancel := context.WithTimeout(ctx, startupWait)
	defer cancel()
	// On a timeout the state is unchanged.
	_ = f.watcher.WaitFresh(ctx, f.started)
	return f.holder.Current()
}

// waitFresh waits until the configuration has been read after since, and reports whether it
// has. While the source is failing it does not wait.
func (c *call) waitFresh(ctx context.Context, since time.Time) bool {
	if c.front.watcher.SourceFailing() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, c.boundedWait(freshnessDivisor, freshnessWait))
	defer cancel()
	return c.front.watcher.WaitFresh(ctx, since) == nil
}
