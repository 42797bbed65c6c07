// Package idempotency has a request with an Idempotency-Key run at most once: its key is claimed in the
// platform's key-value service before it is sent, and what became of it is recorded there.
//
//	keys.go    keys of callers, and of the service
//	claims.go  what is claimed, and what a caller is told when it cannot be
package idempotency

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/inflight"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/once"
)

// Claims are the claims of one router.
type Claims struct {
	records  *once.Claims
	inFlight *inflight.Requests
	log      *event.Log
	// timeout bounds a look at a record.
	timeout time.Duration
}

// New returns claims whose records are in store, each looked up for timeout at most. What is written after
// an answer counts as a request in flight.
func New(store kv.Store, inFlight *inflight.Requests, log *event.Log, timeout time.Duration) *Claims {
	return &Claims{records: once.NewClaims(store, steady.Now), inFlight: inFlight, log: log, timeout: timeout}
}

// Take claims the key of a request for an attempt, or returns why it is refused.
func (c *Claims) Take(ctx context.Context, job *job.Job, attempt string) (*once.Claim, *admission.Refusal) {
	claim, err := c.records.Take(ctx, claimKey(job.Key), attempt, job.Deadline)
	if err != nil {
		return nil, c.refusal(job, err)
	}
	return claim, nil
}

// refusal turns a claim's error into a refusal.
func (c *Claims) refusal(job *job.Job, err error) *admission.Refusal {
	switch {
	case errors.Is(err, once.ErrDone):
		return admission.RefusePossiblyRun(admission.AlreadyRan, "a request with this key has already run")
	case errors.Is(err, once.ErrHeld):
		return later(admission.RefusePossiblyRun(admission.ClaimHeld, "another request with this key is under way or its outcome is not known"))
	case errors.Is(err, once.ErrOutcomeUnknown):
		c.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
		return later(admission.RefusePossiblyRun(admission.ClaimUnknown, "the claim's outcome is not known; this attempt did not run"))
	}
	return admission.Refuse(admission.ServiceDown, retryAfterOutage, "keys cannot be claimed now")
}

// later tells the caller when to ask again with the same key.
func later(refusal *admission.Refusal) *admission.Refusal {
	refusal.RetryAfter = retryAfterOutage
	return refusal
}

// retryAfterOutage is when a caller is told to come back during an outage.
const retryAfterOutage = 5 * time.Second

// settleTime bounds the write that ends a claim.
const settleTime = 5 * time.Second

// Release frees the key of a request that did not run.
func (c *Claims) Release(claim *once.Claim, job *job.Job) {
	c.endClaim(claim.Release, job)
}

// Done records that a request has run.
func (c *Claims) Done(claim *once.Claim, job *job.Job) {
	c.endClaim(claim.Done, job)
}

// endClaim writes the claim's end beside the answer, which does not wait for
// the service; a planned stop does.
func (c *Claims) endClaim(end func(context.Context) error, job *job.Job) {
	c.inFlight.Go(func() { c.writeClaim(end, job) })
}

func (c *Claims) writeClaim(end func(context.Context) error, job *job.Job) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := end(ctx); err != nil {
		c.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
	}
}

// Confirm checks a refusal of a request with a key: that it was not run is
// said only after its record was seen free. Without that look the refusal
// would be false whenever an earlier request with the same key has run.
func (c *Claims) Confirm(ctx context.Context, job *job.Job, refusal *admission.Refusal) *admission.Refusal {
	if job.Key == "" || !refusal.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.timeout)
	defer cancel()
	err := c.records.Peek(ctx, claimKey(job.Key))
	// Long after the deadline the record may have been forgotten.
	timely := steady.Since(job.Deadline) < once.Retention/2
	switch {
	case err == nil && timely:
		return refusal
	case errors.Is(err, once.ErrDone), errors.Is(err, once.ErrHeld):
		return c.refusal(job, err)
	}
	return &admission.Refusal{
		Reason:     refusal.Reason,
		RetryAfter: max(refusal.RetryAfter, retryAfterOutage),
		Detail:     refusal.Detail + "; whether an earlier request with this key ran cannot be looked up now",
	}
}
