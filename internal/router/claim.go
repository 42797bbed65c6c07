package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/once"
)

// claimPrefix is where claims stand in the platform's service.
const claimPrefix = "croftyard/once/"

// keySeparator stands between a group and its caller's key; neither holds it.
const keySeparator = "\x00"

// ScopedKey joins a group and its caller's Idempotency-Key: groups do not
// share keys.
func ScopedKey(group, key string) string {
	return group + keySeparator + key
}

func callersKey(scoped string) string {
	for i := range scoped {
		if scoped[i] == keySeparator[0] {
			return scoped[i+1:]
		}
	}
	return scoped
}

// claimKey is the service's key for a scoped key. Two hashes of it make 128
// bits, so that two keys do not meet.
func claimKey(scoped string) string {
	return fmt.Sprintf("%s%016x%016x", claimPrefix, xxhash.Sum64String(scoped), xxhash.Sum64String("once"+keySeparator+scoped))
}

// claimRefusal turns a claim's error into a refusal.
func (r *Router) claimRefusal(job *job.Job, err error) *admission.Refusal {
	switch {
	case errors.Is(err, once.ErrDone):
		return admission.RefusePossiblyRun(admission.AlreadyRan, "a request with this key has already run")
	case errors.Is(err, once.ErrHeld):
		return later(admission.RefusePossiblyRun(admission.ClaimHeld, "another request with this key is under way or its outcome is not known"))
	case errors.Is(err, once.ErrOutcomeUnknown):
		r.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
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

func (r *Router) release(claim *once.Claim, job *job.Job) {
	r.endClaim(claim.Release, job)
}

func (r *Router) done(claim *once.Claim, job *job.Job) {
	r.endClaim(claim.Done, job)
}

// endClaim writes the claim's end beside the answer, which does not wait for
// the service; a planned stop does.
func (r *Router) endClaim(end func(context.Context) error, job *job.Job) {
	r.inFlight.Go(func() { r.writeClaim(end, job) })
}

func (r *Router) writeClaim(end func(context.Context) error, job *job.Job) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := end(ctx); err != nil {
		r.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
	}
}

// confirmed checks a refusal of a request with a key: that it was not run is
// said only after its record was seen free. Without that look the refusal
// would be false whenever an earlier request with the same key has run.
func (r *Router) confirmed(ctx context.Context, job *job.Job, refusal *admission.Refusal) *admission.Refusal {
	if job.Key == "" || !refusal.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.Platform.Timeout)
	defer cancel()
	err := r.claims.Peek(ctx, claimKey(job.Key))
	// Long after the deadline the record may have been forgotten.
	timely := steady.Since(job.Deadline) < once.Retention/2
	switch {
	case err == nil && timely:
		return refusal
	case errors.Is(err, once.ErrDone), errors.Is(err, once.ErrHeld):
		return r.claimRefusal(job, err)
	}
	return &admission.Refusal{
		Reason:     refusal.Reason,
		RetryAfter: max(refusal.RetryAfter, retryAfterOutage),
		Detail:     refusal.Detail + "; whether an earlier request with this key ran cannot be looked up now",
	}
}
