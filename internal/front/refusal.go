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

func unproven(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryElsewhere, closes: true}
}

// notYet refuses a request that comes before there is a configuration. The caller is
// told to come back when the start is over: many come back once only.
func (f *Front) notYet(now time.Time) *refusal {
	r := unproven("no configuration yet")
	r.retryAfter = max(startTime-now.Sub(f.started), retryElsewhere)
	return r
}

// notTaken refuses a request that no replica took. The caller is best back when the
// first of them is to be given work again; if none is known, when the list of them has
// been read anew.
func (c *call) notTaken(reason string) *refusal {
	first := c.opens(steady.Now())
	after := boundRetry(first.after)
	switch {
	case first.promised:
		after = max(spread(first.after), retryElsewhere)
	case !first.known:
		after = c.front.nextRead()
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: after}
}

// nextRead is when this router is to know more, as a time to come back.
func (f *Front) nextRead() time.Duration {
	return boundRetry(f.follower.NextRead(steady.Now()))
}

func boundRetry(after time.Duration) time.Duration {
	return min(max(after, retryElsewhere), retryLater)
}
