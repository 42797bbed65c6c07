package front

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
)

// refuseAsRelayed refuses a request as another router did.
func (c *call) refuseAsRelayed(answer *upstream.Answer) *refusal {
	drainBody(answer)
	r := &refusal{status: http.StatusServiceUnavailable, reason: "refused by another router", retryAfter: retryElsewhere}
	seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	if err == nil && seconds > 0 {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return r
}

// forwardRelayed sends the answer of a replica that came by another router to the caller.
func (c *call) forwardRelayed(ctx context.Context, answer *upstream.Answer) relayResult {
	c.mayHaveRun = true
	c.recordRelayed(answer)
	resumable := c.resumable(answer)
	if c.headSent && !resumable {
		c.outcome.reason = "replica does not resume"
		return c.retryRelay(true)
	}
	if !c.origin.Allows(c.replicaVersion) {
		c.outcome.reason = "another router went on at another version"
		return c.retryRelay(true)
	}
	if !c.headSent && !resumable {
		c.forwardHead(answer)
	}
	var err error
	if resumable {
		err = c.forwardEvents(answer, func() {})
	} else {
		err = c.forwardBody(answer)
	}
	if err == nil && !c.headSent {
		c.forwardHead(answer)
	}
	c.recordUndelimited(answer, err)
	err = c.checkEnd(answer, err)
	switch {
	case err == nil:
		c.endInOrder()
		if !answer.Undelimited() {
			c.recordServed(answer.StatusCode)
		}
		c.front.longestDurations.Record(c.route.Name, steady.Since(c.arrival), steady.Now())
		c.setOutcome(outcomeServed, answer.StatusCode, "")
		return relayFinished
	case errors.Is(err, errCallerGone), c.request.Context().Err() != nil:
		c.abortCallerGone()
	case errors.Is(context.Cause(ctx), errSilent):
		c.outcome.reason = "another router fell silent"
		return c.retryRelay(resumable && c.canResume())
	case ctx.Err() != nil:
		c.outcome.reason = "time is over"
		return c.retryRelay(false)
	}
	// A replica may have broken off as well as the router.
	c.outcome.reason = "answer of another router broken off: " + err.Error()
	return c.retryRelay(resumable && c.canResume())
}

// recordRelayed records what an answer that came by another router says of its replica, and
// removes what is not the replica's.
func (c *call) recordRelayed(answer *upstream.Answer) {
	sent, err := strconv.Atoi(answer.Header.Get(relayheader.Sent))
	if err != nil || sent < 1 {
		sent = 1
	}
	c.sent.Add(int32(sent))
	c.outcome.replica = answer.Header.Get(relayheader.Replica)
	c.replicaVersion = c.relayedVersion(answer.Header)
	relayheader.Delete(answer.Header)
	// The end of the connection is the other router's.
	stated := *answer.Response
	stated.Close = false
	if c.outcome.replica != "" {
		c.front.recordStatements(c.id, c.outcome.replica, c.arrival, &stated)
	}
}
