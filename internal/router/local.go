package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
)

// serveOwned serves a request in one of this router's own groups.
func (r *Router) serveOwned(ctx context.Context, job *job.Job, at place, hopsLeft int, answer job.Answer) *admission.Refusal {
	for {
		visit, refusal := r.wait(ctx, job, at.pool, at.group, hopsLeft)
		if refusal != nil {
			return refusal
		}
		refusal = r.visit(ctx, job, visit, answer)
		if refusal == nil || !r.retry(ctx, job, refusal) {
			return refusal
		}
	}
}

// retry tells whether another engine may be tried: nothing ran, time is left,
// and the budget of retries allows it. A target that said that it leaves costs
// no budget: it is not asked again, so there are no more such tries than targets.
func (r *Router) retry(ctx context.Context, job *job.Job, refusal *admission.Refusal) bool {
	if !refusal.NotRun || ctx.Err() != nil {
		return false
	}
	if refusal.Reason == admission.TargetLeaving {
		return true
	}
	if refusal.Reason != admission.TargetFailed {
		return false
	}
	r.mu.Lock()
	allowed := r.retries.Spend()
	r.mu.Unlock()
	if allowed {
		r.metrics.Retried.Inc(1)
		r.log.Write(event.RequestRetried, event.F("request", job.ID), event.F("detail", refusal.Detail))
	}
	return allowed
}

// visit is a ticket that was granted an engine.
type visit struct {
	group  *owner.Group[chan verdict]
	ticket *ticket
	engine fleet.Instance
}

// wait gets the request an engine of a group, or a refusal.
func (r *Router) wait(ctx context.Context, job *job.Job, p *pool, id uint64, hopsLeft int) (*visit, *admission.Refusal) {
	t := &ticket{Request: r.ownerRequest(job, hopsLeft), Payload: make(chan verdict, 1)}
	r.mu.Lock()
	group := p.group(id, r.settings.Limits.Queue, r.engine)
	refusal := group.Enter(t, steady.Now())
	r.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	patience := time.NewTimer(t.MaxCacheWait)
	defer patience.Stop()
	for {
		select {
		case v := <-t.Payload:
			if v.refusal != nil {
				return nil, v.refusal
			}
			return r.granted(job, p, group, t)
		case <-patience.C:
			if refusal := r.impatient(group, t); refusal != nil {
				return nil, refusal
			}
		case <-ctx.Done():
			if refusal := r.leave(ctx, group, t); refusal != nil {
				return nil, refusal
			}
		}
	}
}

func (r *Router) ownerRequest(job *job.Job, hopsLeft int) owner.Request {
	request := owner.Request{
		Flow:     job.Group.Name,
		Share:    job.Group.Share,
		Priority: job.Priority,
		Deadline: job.Deadline,
		Work:     job.Work(),
		Engine:   job.Engine,
		Prefix:   job.Prefix,
		Bound:    job.Group.Bound,
		LastHop:  hopsLeft == 0,
	}
	if job.Adapter != "" {
		request.Adapter = placement.Hash(job.Adapter)
	}
	if s := r.adopted.Current(); s != nil && job.Engine != 0 {
		cached := float64(job.PromptTokens - job.FreshTokens)
		request.MaxCacheWait = time.Duration(cached / s.Fleet.PrefillRate * float64(time.Second))
	}
	return request
}

func (r *Router) impatient(group *owner.Group[chan verdict], t *ticket) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return group.EndCacheWait(t, steady.Now())
}

// leave takes out a request whose caller left or whose deadline passed. It
// returns nil when the ticket got its verdict in this very moment.
func (r *Router) leave(ctx context.Context, group *owner.Group[chan verdict], t *ticket) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !group.Cancel(t) {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admission.Refuse(admission.DeadlineMiss, time.Second, "the deadline passed in the queue")
	}
	return admission.Refuse(admission.CallerGone, 0, "the caller went away")
}

func (r *Router) granted(job *job.Job, p *pool, group *owner.Group[chan verdict], t *ticket) (*visit, *admission.Refusal) {
	metrics.Observe(r.metrics.Waited, t.WaitTime())
	r.mu.Lock()
	engine, listed := p.engines[t.GrantedEngine().Hash]
	r.mu.Unlock()
	if !listed {
		r.finish(group, t, false)
		return nil, admission.Refuse(admission.NoEngine, time.Second, "the engine left while the request waited")
	}
	return &visit{group: group, ticket: t, engine: engine}, nil
}

func (r *Router) finish(group *owner.Group[chan verdict], t *ticket, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	group.Finish(t, whole, steady.Now())
}

// visit sends the request to the engine that it was granted.
func (r *Router) visit(ctx context.Context, job *job.Job, v *visit, answer job.Answer) *admission.Refusal {
	request := dispatch.Request{
		Method:      http.MethodPost,
		Address:     v.engine.Address,
		Path:        job.Path,
		ContentType: "application/json",
		Body:        job.Body,
		Adapter:     job.Adapter,
		Stream:      job.Stream,
	}
	named := &namedSink{Answer: answer, engine: v.engine.Name}
	outcome, refusal := r.attempts.Send(ctx, job, v.engine, request, named)
	r.finish(v.group, v.ticket, refusal == nil && outcome.Whole)
	return refusal
}

// namedSink tells the answer its engine just before its head.
type namedSink struct {
	job.Answer
	engine string
}

// Head implements dispatch.Sink.
func (s *namedSink) Head(h dispatch.Head) error {
	if err := s.Served(s.engine); err != nil {
		return err
	}
	return s.Answer.Head(h)
}
