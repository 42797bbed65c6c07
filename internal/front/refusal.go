package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// retryAfter tells when to come back; zero: not at all.
	retryAfter time.Duration
	// closes the connection with the answer.
	closes bool
}

// Bounds of the time after which a refused caller is told to come back. Many come
// back once only, as a rule by another router, and pay if they are refused again; an
// answer is worth what is left of the time since they first asked.
const (
	// retryElsewhere is for what another router, or another replica, can serve at once.
	retryElsewhere = 50 * time.Millisecond
	// retryLater is the longest, for what is not known to end.
	retryLater = 500 * time.Millisecond
)

// startTime is how long a start takes until there is a configuration, when all routers start
// and it is a large one over narrow links.
const startTime = 650 * time.Millisecond

func refuseStale(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryElsewhere, closes: true}
}

// refuseUnconfigured refuses a request that comes before there is a configuration, until
// the start is over: many callers retry once only.
func (f *Front) refuseUnconfigured(now time.Time) *refusal {
	r := refuseStale("no configuration yet")
	r.retryAfter = max(startTime-now.Sub(f.started), retryElsewhere)
	return r
}

// unavailable refuses a request that no replica took, until the first of them may have
// requests again; if that is not known, until the list has been read again.
func (c *call) unavailable(reason string) *refusal {
	first := c.nextAvailable(steady.Now())
	after := boundRetryAfter(first.after)
	switch {
	case first.promised:
		after = max(addJitter(first.after), retryElsewhere)
	case !first.known:
		after = c.front.untilNextRead()
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after}
}

// untilNextRead is the time until this router reads its source again, as a Retry-After.
func (f *Front) untilNextRead() time.Duration {
	return boundRetryAfter(f.watcher.NextRead(steady.Now()))
}

func boundRetryAfter(after time.Duration) time.Duration {
	return min(max(after, retryElsewhere), retryLater)
}
