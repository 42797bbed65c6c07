package router

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/once"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

// serveOwned serves a request in one of this router's own groups.
func (r *Router) serveOwned(ctx context.Context, job *Job, at place, hopsLeft int, answer Answer) *admission.Refusal {
	id := at.pool.layout.Groups[at.choice.Group].ID
	for {
		visit, refusal := r.wait(ctx, job, at.pool, id, hopsLeft)
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
func (r *Router) retry(ctx context.Context, job *Job, refusal *admission.Refusal) bool {
	if !refusal.NotRun || ctx.Err() != nil {
		return false
	}
	if refusal.Reason == admission.Leaving {
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
func (r *Router) wait(ctx context.Context, job *Job, p *pool, id uint64, hopsLeft int) (*visit, *admission.Refusal) {
	t := &ticket{Request: r.ownerRequest(job, hopsLeft), Payload: make(chan verdict, 1)}
	r.mu.Lock()
	group := p.group(id, r.settings.Limits.Queue, r.engine)
	refusal := group.Enter(t, time.Now())
	r.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	patience := time.NewTimer(t.Saved)
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

func (r *Router) ownerRequest(job *Job, hopsLeft int) owner.Request {
	request := owner.Request{
		Flow:     job.Group.Name,
		Share:    job.Group.Share,
		Priority: job.Priority,
		Deadline: job.Deadline,
		Work:     job.work(),
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
		request.Saved = time.Duration(cached / s.Fleet.PrefillRate * float64(time.Second))
	}
	return request
}

func (r *Router) impatient(group *owner.Group[chan verdict], t *ticket) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return group.Impatient(t, time.Now())
}

// leave takes out a request whose caller left or whose deadline passed. It
// returns nil when the ticket got its verdict in this very moment.
func (r *Router) leave(ctx context.Context, group *owner.Group[chan verdict], t *ticket) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !group.Leave(t) {
		return nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return admission.Refuse(admission.DeadlineMiss, time.Second, "the deadline passed in the queue")
	}
	return admission.Refuse(admission.CallerGone, 0, "the caller went away")
}

func (r *Router) granted(job *Job, p *pool, group *owner.Group[chan verdict], t *ticket) (*visit, *admission.Refusal) {
	observe(r.metrics.Waited, t.Waited())
	r.mu.Lock()
	engine, listed := p.engines[t.Granted().Hash]
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
	group.Finish(t, whole, time.Now())
}

// visit sends the request to the engine that it was granted.
func (r *Router) visit(ctx context.Context, job *Job, v *visit, answer Answer) *admission.Refusal {
	request := dispatch.Request{
		Method:      http.MethodPost,
		Address:     v.engine.Address,
		Path:        job.Path,
		ContentType: "application/json",
		Body:        job.Body,
		Stream:      job.Stream,
	}
	named := &namedSink{Answer: answer, engine: v.engine.Name}
	outcome, refusal := r.dispatchOnce(ctx, job, v.engine, request, named)
	r.finish(v.group, v.ticket, refusal == nil && outcome.Whole)
	return refusal
}

// namedSink tells the answer its engine just before its head.
type namedSink struct {
	Answer
	engine string
}

// Head implements dispatch.Sink.
func (s *namedSink) Head(h dispatch.Head) error {
	if err := s.Served(s.engine); err != nil {
		return err
	}
	return s.Answer.Head(h)
}

// dispatchOnce sends a request to a target. One with a key is claimed first,
// so that it runs at most once whatever else holds the same key.
func (r *Router) dispatchOnce(ctx context.Context, job *Job, target fleet.Instance, request dispatch.Request, sink dispatch.Sink) (dispatch.Outcome, *admission.Refusal) {
	request.Attempt = dispatch.NewAttempt()
	if job.Key == "" {
		outcome := r.targets.Run(ctx, request, sink)
		return outcome, r.settle(ctx, job, target, outcome)
	}
	request.Key = callersKey(job.Key)
	claim, err := r.claims.Take(ctx, claimKey(job.Key), request.Attempt, job.Deadline)
	if err != nil {
		return dispatch.Outcome{}, r.claimRefusal(job, err)
	}
	if err := claim.MaySend(); err != nil {
		r.release(claim, job)
		return dispatch.Outcome{}, admission.Refuse(admission.DeadlineMiss, time.Second, "the deadline passed while the key was claimed")
	}
	outcome := r.targets.Run(ctx, request, sink)
	refusal := r.settle(ctx, job, target, outcome)
	switch {
	case outcome.NotRun:
		r.release(claim, job)
	case outcome.Whole:
		r.done(claim, job)
	}
	return outcome, refusal
}

// settle notes what an attempt showed of its target and turns a failure into a
// refusal.
func (r *Router) settle(ctx context.Context, job *Job, target fleet.Instance, outcome dispatch.Outcome) *admission.Refusal {
	if outcome.Resumed > 0 {
		r.metrics.Resumed.Inc(int64(outcome.Resumed))
		r.log.Write(event.StreamResumed, event.F("request", job.ID), event.F("target", target.Name), event.F("times", outcome.Resumed))
	}
	if outcome.Whole {
		return nil
	}
	switch {
	case outcome.Leaving:
		r.leaving(target.Name)
	case outcome.Unreachable:
		r.failed(target.Name, event.EngineSuspect, outcome.Err)
	case outcome.Reason == admission.Crossed:
		r.metrics.Crossed.Inc(1)
		r.log.Write(event.AnswerCrossed, event.F("request", job.ID), event.F("target", target.Name))
	case outcome.Reason == admission.CallerGone || errors.Is(ctx.Err(), context.Canceled):
		r.log.Write(event.CallerGone, event.F("request", job.ID))
		return &admission.Refusal{Reason: admission.CallerGone, NotRun: outcome.NotRun, Detail: "the caller went away"}
	default:
		r.metrics.Broken.Inc(1)
		r.log.Write(event.RequestBroken, event.F("request", job.ID), event.F("target", target.Name), event.F("error", outcome.Err))
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

// claimRefusal turns a claim's error into a refusal.
func (r *Router) claimRefusal(job *Job, err error) *admission.Refusal {
	switch {
	case errors.Is(err, once.ErrDone):
		return admission.Doubt(admission.AlreadyRan, "a request with this key has already run")
	case errors.Is(err, once.ErrHeld):
		return later(admission.Doubt(admission.ClaimHeld, "another request with this key is under way or its outcome is not known"))
	case errors.Is(err, once.ErrUnsettled):
		r.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
		return later(admission.Doubt(admission.ClaimUnknown, "the claim's outcome is not known; this attempt did not run"))
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

func (r *Router) release(claim *once.Claim, job *Job) {
	r.endClaim(claim.Release, job)
}

func (r *Router) done(claim *once.Claim, job *Job) {
	r.endClaim(claim.Done, job)
}

// endClaim writes the claim's end beside the answer, which does not wait for
// the service; a planned stop does.
func (r *Router) endClaim(end func(context.Context) error, job *Job) {
	r.inFlight.Go(func() { r.writeClaim(end, job) })
}

func (r *Router) writeClaim(end func(context.Context) error, job *Job) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	if err := end(ctx); err != nil {
		r.log.Write(event.ClaimUnsettled, event.F("request", job.ID), event.F("error", err))
	}
}

// confirmed checks a refusal of a request with a key: that it was not run is
// said only after its record was seen free. Without that look the refusal
// would be false whenever an earlier request with the same key has run.
func (r *Router) confirmed(ctx context.Context, job *Job, refusal *admission.Refusal) *admission.Refusal {
	if job.Key == "" || !refusal.NotRun {
		return refusal
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.settings.Platform.Timeout)
	defer cancel()
	err := r.claims.Peek(ctx, claimKey(job.Key))
	// Long after the deadline the record may have been forgotten.
	timely := time.Since(job.Deadline) < once.Retention/2
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

// serveForward serves a request that another router's edge sent here.
func (r *Router) serveForward(ctx context.Context, m *peerpb.ForwardRequest, send peer.Sender) error {
	refusal := r.serveForwarded(ctx, m, &remoteAnswer{send: send})
	end := &peerpb.End{Whole: refusal == nil}
	if refusal != nil {
		end.Reason = uint32(refusal.Reason)
		end.NotRun = refusal.NotRun
		end.RetryAfterMs = refusal.RetryAfter.Milliseconds()
		end.Detail = refusal.Detail
	}
	return send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_End{End: end}})
}

func (r *Router) serveForwarded(ctx context.Context, m *peerpb.ForwardRequest, answer Answer) *admission.Refusal {
	end, accepted := r.begin()
	if !accepted {
		return admission.Refuse(admission.Stopping, 0, "the engines' owner stops")
	}
	defer end()
	job := r.decodeJob(m)
	ctx, cancel := context.WithDeadline(ctx, job.Deadline)
	defer cancel()
	r.mu.Lock()
	p := r.pools[poolName{DataCentre: r.settings.DataCentre, Model: m.Model}]
	group := placement.None
	if p != nil {
		group = p.layout.Group(m.EngineGroup)
	}
	r.retries.Earn()
	r.mu.Unlock()
	if group == placement.None {
		return admission.Refuse(admission.NoEngine, 0, "the group of engines is not known here")
	}
	at := place{pool: p, choice: placement.Choice{Group: group}, self: true}
	return r.serveOwned(ctx, job, at, int(m.HopsLeft), answer)
}

// decodeJob reads a forwarded request. The group's parameters are this
// router's own; a group that it does not know yet gets the defaults.
func (r *Router) decodeJob(m *peerpb.ForwardRequest) *Job {
	group := &policy.Group{Name: m.Group, Organisation: m.Organisation, Parameters: policy.Defaults()}
	if s := r.adopted.Current(); s != nil && s.Groups[m.Group] != nil {
		group = s.Groups[m.Group]
	}
	return &Job{
		ID:           m.RequestId,
		Group:        group,
		Model:        m.Model,
		Adapter:      m.Adapter,
		Path:         m.Path,
		Body:         m.Body,
		Stream:       m.Stream,
		Priority:     int(m.Priority),
		Deadline:     time.Now().Add(time.Duration(m.DeadlineMs) * time.Millisecond),
		PromptTokens: int(m.PromptTokens),
		OutputTokens: int(m.OutputTokens),
		FreshTokens:  int(m.FreshTokens),
		Chat:         m.Chat,
		Prefix:       m.Prefix,
		Engine:       m.Engine,
		Key:          m.Key,
	}
}

// remoteAnswer sends an answer back to the edge.
type remoteAnswer struct {
	send   peer.Sender
	engine string
}

// Served implements Answer.
func (a *remoteAnswer) Served(engine string) error {
	a.engine = engine
	return nil
}

// Head implements dispatch.Sink.
func (a *remoteAnswer) Head(h dispatch.Head) error {
	head := &peerpb.Head{Engine: a.engine, Status: int32(h.Status), ContentType: h.ContentType}
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Head{Head: head}})
}

// Chunk implements dispatch.Sink.
func (a *remoteAnswer) Chunk(b []byte) error {
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: b}})
}
