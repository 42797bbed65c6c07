package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
)

// handleAnswer handles an answer whose head has arrived.
func (c *call) handleAnswer(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) attemptResult {
	d := &c.front.options.Dialect
	id := choice.Replica.ID
	if load, pace, told := d.ParseLoad(answer.Header.Get(d.Load)); told {
		c.front.balancer.LoadReported(id, load, steady.Now())
		if observe := c.front.options.ObservePace; observe != nil && pace > 0 {
			observe(pace)
		}
	}
	if answer.Header.Get(d.NotExecuted) != "" || answer.StatusCode == http.StatusMisdirectedRequest {
		drainBody(answer)
		// The replica did not run the request.
		c.trialOfVersion.headAt = time.Time{}
		c.outcome.reason = "not taken: " + strconv.Itoa(answer.StatusCode)
		c.front.reportFailure(c.id, id, rejectionKind(answer.StatusCode))
		return c.retry(c.outcome.reason)
	}
	c.mayHaveRun = true
	if answer.StatusCode >= http.StatusInternalServerError || impliesNotRun(answer.StatusCode) || c.lacksSignature(answer) {
		return c.handleReplicaError(ctx, cancel, choice, answer)
	}
	if c.front.balancer.RequestSucceeded(id, c.parts, steady.Now()) {
		c.front.log.Write(event.EngineBack, event.F("replica", id), event.F("request", c.id))
	}
	if answer.Fresh {
		c.front.balancer.Connected(id, steady.Now())
	}
	c.reportFailedReplicas()
	return c.forward(ctx, cancel, choice, answer)
}

func rejectionKind(status int) balance.Failure {
	if status == http.StatusMisdirectedRequest {
		return balance.Refused
	}
	return balance.Shed
}

// handleReplicaError handles a replica's own 5xx, a status that implies that the request has not
// run without the NotExecuted header, or a success without a signature. It is unknown what the
// replica did.
func (c *call) handleReplicaError(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) attemptResult {
	c.outcome.reason = "replica's error " + strconv.Itoa(answer.StatusCode)
	if c.lacksSignature(answer) {
		c.outcome.reason = "success without a signature"
	}
	c.trialOfVersion.failed = true
	if c.headSent {
		c.front.reportFailure(c.id, choice.Replica.ID, balance.Errored)
		drainBody(answer)
		return c.retry(c.outcome.reason)
	}
	if !c.route.RunsOnce() && steady.Until(c.deadline) > c.route.Target/2 && c.retry(c.outcome.reason) == attemptRetry {
		c.failedReplicas = append(c.failedReplicas, choice.Replica.ID)
		drainBody(answer)
		return attemptRetry
	}
	if len(c.failedReplicas) == 0 {
		c.front.reportFailure(c.id, choice.Replica.ID, balance.Errored)
	}
	if impliesNotRun(answer.StatusCode) || c.lacksSignature(answer) {
		// A promise needs the NotExecuted header, and a success the signature.
		drainBody(answer)
		return attemptGiveUp
	}
	return c.forward(ctx, cancel, choice, answer)
}

// reportFailedReplicas reports the replicas that failed a request which another one answered.
// If a request fails at every replica, the request itself is at fault.
func (c *call) reportFailedReplicas() {
	for _, id := range c.failedReplicas {
		c.front.reportFailure(c.id, id, balance.Errored)
	}
	c.failedReplicas = nil
}

// lacksSignature reports whether an answer is a success that its replica did not sign. Callers
// count on the signature, so such an answer is not the replica's.
func (c *call) lacksSignature(answer *upstream.Answer) bool {
	name := c.front.options.Dialect.Signature
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	return name != "" && success && answer.Header.Get(name) == ""
}

// impliesNotRun reports whether a status implies that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
