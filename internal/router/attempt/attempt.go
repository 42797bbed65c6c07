// Package attempt sends a request to a target once, and draws the conclusions: what the caller is told, what
// the router notes of the target, and what becomes of the request's key.
//
//	attempt.go  one attempt and its outcome
//	crash.go    requests that crash their targets
package attempt

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/idempotency"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/poison"
)

// Options are what a sender needs of its router.
type Options struct {
	Log     *event.Log
	Metrics *metrics.Metrics
	Targets *dispatch.Dispatcher
	Claims  *idempotency.Claims
	// Excludes refuses a request for a target that gets none since it was chosen.
	Excludes func(target string) *admission.Refusal
	// Unreachable, Leaving and Resting are called with a target that could not be reached, that said that it
	// leaves, and that asked for no requests for a time.
	Unreachable func(target string, err error)
	Leaving     func(target string)
	Resting     func(target string, rest time.Duration)
	// Others returns the addresses of some engines besides one.
	Others func(target fleet.Instance) []string
}

// Sender sends the attempts of one router.
type Sender struct {
	options Options
	// poison holds the marks against requests that crash their targets.
	poison *poison.Tracker
}

// NewSender returns a sender.
func NewSender(o Options) *Sender { return &Sender{options: o, poison: newPoison(o.Log)} }

// Send sends a request to a target. One with a key is claimed first,
// so that it runs at most once whatever else holds the same key.
func (s *Sender) Send(ctx context.Context, job *job.Job, target fleet.Instance, request dispatch.Request, sink dispatch.Sink) (dispatch.Outcome, *admission.Refusal) {
	if refusal := s.suspicion(job, &request); refusal != nil {
		return dispatch.Outcome{NotRun: true}, refusal
	}
	if refusal := s.options.Excludes(target.Name); refusal != nil {
		return dispatch.Outcome{NotRun: true}, refusal
	}
	request.Attempt = dispatch.NewAttempt()
	if job.Key == "" {
		outcome := s.options.Targets.Run(ctx, request, sink)
		s.noteFate(ctx, job, target, &request, outcome)
		return outcome, s.settle(ctx, job, target, outcome)
	}
	request.Key = idempotency.CallersKey(job.Key)
	claim, refusal := s.options.Claims.Take(ctx, job, request.Attempt)
	if refusal != nil {
		return dispatch.Outcome{}, refusal
	}
	if err := claim.CheckDeadline(); err != nil {
		s.options.Claims.Release(claim, job)
		return dispatch.Outcome{}, admission.Refuse(admission.DeadlineMiss, time.Second, "the deadline passed while the key was claimed")
	}
	outcome := s.options.Targets.Run(ctx, request, sink)
	s.noteFate(ctx, job, target, &request, outcome)
	refusal = s.settle(ctx, job, target, outcome)
	switch {
	case outcome.NotRun:
		s.options.Claims.Release(claim, job)
	case outcome.Whole:
		s.options.Claims.Done(claim, job)
	}
	return outcome, refusal
}

// settle notes what an attempt showed of its target and turns a failure into a
// refusal.
func (s *Sender) settle(ctx context.Context, job *job.Job, target fleet.Instance, outcome dispatch.Outcome) *admission.Refusal {
	if outcome.Resumed > 0 {
		s.options.Metrics.Resumed.Inc(int64(outcome.Resumed))
		s.options.Log.Write(event.StreamResumed, event.F("request", job.ID), event.F("target", target.Name), event.F("times", outcome.Resumed))
	}
	if outcome.Leaving {
		s.options.Leaving(target.Name)
	}
	if outcome.Rest > 0 {
		s.options.Resting(target.Name, outcome.Rest)
	}
	if outcome.Whole {
		return nil
	}
	switch {
	case outcome.Reason == admission.TargetLeaving:
	case outcome.Unreachable:
		s.options.Unreachable(target.Name, outcome.Err)
	case outcome.Reason == admission.AnswerCrossed:
		s.options.Metrics.Crossed.Inc(1)
		s.options.Log.Write(event.AnswerCrossed, event.F("request", job.ID), event.F("target", target.Name))
	case outcome.Reason == admission.CallerGone || errors.Is(ctx.Err(), context.Canceled):
		s.options.Log.Write(event.CallerGone, event.F("request", job.ID))
		return &admission.Refusal{Reason: admission.CallerGone, NotRun: outcome.NotRun, Detail: "the caller went away"}
	default:
		s.options.Metrics.Broken.Inc(1)
		s.options.Log.Write(event.RequestBroken, event.F("request", job.ID), event.F("target", target.Name), event.F("error", outcome.Err))
	}
	refusal := &admission.Refusal{Reason: outcome.Reason, NotRun: outcome.NotRun, Detail: "the target failed"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		refusal.Reason = admission.DeadlineMiss
		refusal.Detail = "the deadline passed"
	}
	if refusal.NotRun {
		refusal.RetryAfter = time.Second
	}
	return refusal
}
