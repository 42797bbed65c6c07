package router

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/router/forward"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// maxHops bounds the groups that are asked in turn.
const maxHops = 3

// Serve takes a request from the edge to an engine and its answer back. It
// returns nil once the answer is whole, or a refusal; answer may then have
// begun.
func (r *Router) Serve(ctx context.Context, job *job.Job, answer job.Answer) *admission.Refusal {
	end, accepted := r.begin()
	if !accepted {
		return r.claims.Confirm(ctx, job, admission.Refuse(admission.Stopping, time.Second, "this router stops"))
	}
	defer end()
	started := steady.Now()
	ctx, cancel := context.WithTimeout(ctx, steady.Until(job.Deadline))
	defer cancel()
	refusal := r.admit(job)
	if refusal == nil {
		refusal = r.route(ctx, job, answer)
	}
	if refusal != nil {
		refusal = r.claims.Confirm(ctx, job, refusal)
		r.refused(job, refusal)
		return refusal
	}
	r.metrics.Served.Inc(1)
	metrics.Observe(r.metrics.Total, steady.Since(started))
	r.log.Write(event.RequestServed, event.F("request", job.ID), event.F("group", job.Group.Name))
	return nil
}

func (r *Router) refused(job *job.Job, refusal *admission.Refusal) {
	r.metrics.Refused(refusal.Reason)
	r.log.Write(event.RequestRefused, event.F("request", job.ID), event.F("group", job.Group.Name),
		event.F("reason", refusal.Reason.String()), event.F("not_run", refusal.NotRun), event.F("detail", refusal.Detail))
}

// admit draws the request's work from the organisation's surge limit.
func (r *Router) admit(job *job.Job) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := admission.Limit{Rate: job.Group.Rate, Burst: job.Group.Burst}
	r.retries.Earn()
	return r.limits.Admit(steady.Now(), job.Group.Organisation, limit, job.Work(), 1/float64(r.fleetSize()))
}

// place is the edge's decision for one hop. It names the group by its ID: the
// pool may be divided anew as soon as the mutex is released.
type place struct {
	pool  *pool
	group uint64
	owner fleet.Instance
	// self tells that this router serves the group, as owner or alone.
	self bool
}

// route asks groups in turn until one serves the request or says that it
// cannot be served. Another is asked only while nothing can have run.
func (r *Router) route(ctx context.Context, job *job.Job, answer job.Answer) *admission.Refusal {
	avoid := make(map[string]bool)
	var last *admission.Refusal
	full := uint64(0)
	for hop := 1; hop <= maxHops; hop++ {
		at, found := r.choose(job, full, avoid)
		if !found {
			return admission.Refuse(admission.NoEngine, time.Second, "no live engine serves "+job.Wanted())
		}
		refusal := r.hop(ctx, job, at, maxHops-hop, answer)
		if refusal == nil || !refusal.NotRun || !passable(refusal.Reason) {
			return refusal
		}
		last = refusal
		switch refusal.Reason {
		case admission.HopBroken, admission.Stopping:
			avoid[at.owner.Name] = true
		case admission.GroupFull:
			r.metrics.PassedOn.Inc(1)
			full = at.group
		}
	}
	return last
}

// passable tells whether another group or owner may do better.
func passable(reason admission.Reason) bool {
	switch reason {
	case admission.GroupFull, admission.HopBroken, admission.Stopping, admission.NoEngine:
		return true
	}
	return false
}

// choose picks the group and its owner. full is the ID of the group that passed
// the request on, or 0.
func (r *Router) choose(job *job.Job, full uint64, avoid map[string]bool) (place, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.poolFor(job.Model)
	if p == nil {
		return place{}, false
	}
	choice := r.chooseGroup(p, job, full)
	if choice.Group == placement.None {
		return place{}, false
	}
	r.metrics.Placed(choice.Origin)
	owner, found := p.owner(choice.Group, avoid)
	if p.name.DataCentre != r.settings.DataCentre && !found {
		return place{}, false
	}
	at := place{pool: p, group: p.layout.Groups[choice.Group].ID, owner: owner}
	// Without any owner within reach this router dispatches itself.
	at.self = !found || owner.Name == r.settings.Name
	if !found {
		r.metrics.Alone.Inc(1)
	}
	return at, true
}

func (r *Router) chooseGroup(p *pool, job *job.Job, full uint64) placement.Choice {
	if from := p.layout.GroupIndex(full); full != 0 && from != placement.None {
		return p.layout.Reroute(from, p.eligible(job.Adapter), p.loads, r.rnd)
	}
	return p.layout.Choose(r.request(p, job), p.loads, job.Group.Bound, r.rnd)
}

func (r *Router) request(p *pool, job *job.Job) placement.Request {
	return placement.Request{
		Chat:           job.Chat,
		Prefix:         job.Prefix,
		PrefixShare:    r.traffic.Record(job.Prefix, steady.Now()),
		Engine:         r.tokenEngine(p, job.Engine),
		EligibleGroups: p.eligible(job.Adapter),
	}
}

// tokenEngine finds the token's engine in the pool's layout, unless it gets no
// new work.
func (r *Router) tokenEngine(p *pool, hash uint64) int {
	if e := r.engines[hash]; hash == 0 || e == nil || e.Closed {
		return placement.None
	}
	return p.layout.EngineIndex(hash)
}

// poolFor returns the model's pool in this data centre, or, when that has no
// open engine, the one in the data centre that comes first by rendezvous.
func (r *Router) poolFor(model string) *pool {
	own := r.pools[poolName{DataCentre: r.settings.DataCentre, Model: model}]
	if own != nil && r.open(own) {
		return own
	}
	var best *pool
	var bestRank uint64
	key := placement.Hash(model)
	for name, p := range r.pools {
		if name.Model != model || !r.open(p) {
			continue
		}
		if rank := placement.Rank(key, placement.Hash(name.DataCentre)); best == nil || rank > bestRank {
			best = p
			bestRank = rank
		}
	}
	return best
}

func (r *Router) open(p *pool) bool {
	for hash := range p.engines {
		if e := r.engines[hash]; e != nil && !e.Closed {
			return true
		}
	}
	return false
}

// hop has one group serve the request.
func (r *Router) hop(ctx context.Context, job *job.Job, at place, hopsLeft int, answer job.Answer) *admission.Refusal {
	if at.self {
		return r.serveOwned(ctx, job, at, hopsLeft, answer)
	}
	r.metrics.Forwarded.Inc(1)
	f := forward.NewReceiver(answer)
	err := r.peers.Forward(ctx, at.owner.Address, forward.Encode(job, at.group, hopsLeft), f.Receive)
	switch {
	case f.End() != nil:
		r.reached(at.owner.Name, event.PeerBack)
		return forward.RefusalOf(f.End())
	case errors.Is(err, peer.ErrUnreachable) && ctx.Err() == nil:
		r.failed(at.owner.Name, event.PeerLost, err)
		return admission.Refuse(admission.HopBroken, time.Second, "the engines' owner cannot be reached")
	case errors.Is(err, peer.ErrUnreachable):
		return admission.Refuse(admission.DeadlineMiss, 0, "the deadline passed before the request was sent")
	case errors.Is(err, dispatch.ErrCallerGone) || errors.Is(ctx.Err(), context.Canceled):
		return admission.RefusePossiblyRun(admission.CallerGone, "the caller went away")
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return admission.RefusePossiblyRun(admission.DeadlineMiss, "the deadline passed while the request ran")
	}
	r.failed(at.owner.Name, event.PeerLost, err)
	return admission.RefusePossiblyRun(admission.HopBroken, "the connection to the engines' owner broke")
}
