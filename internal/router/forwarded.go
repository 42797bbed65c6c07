package router

import (
	"context"

	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/forward"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/placement"
)

// serveForward serves a request that another router's edge sent here.
func (r *Router) serveForward(ctx context.Context, m *peerpb.ForwardRequest, send peer.Sender) error {
	refusal := r.serveForwarded(ctx, m, forward.NewAnswer(send))
	return send(forward.EndOf(refusal))
}

func (r *Router) serveForwarded(ctx context.Context, m *peerpb.ForwardRequest, answer job.Answer) *admission.Refusal {
	end, accepted := r.begin()
	if !accepted {
		return admission.Refuse(admission.Stopping, 0, "the engines' owner stops")
	}
	defer end()
	job := forward.Decode(m, r.adopted.Current())
	ctx, cancel := context.WithTimeout(ctx, steady.Until(job.Deadline))
	defer cancel()
	r.mu.Lock()
	p := r.pools[poolName{DataCentre: r.settings.DataCentre, Model: m.Model}]
	group := placement.None
	if p != nil {
		group = p.layout.GroupIndex(m.EngineGroup)
	}
	r.retries.Earn()
	r.mu.Unlock()
	if group == placement.None {
		return admission.Refuse(admission.NoEngine, 0, "the group of engines is not known here")
	}
	at := place{pool: p, group: m.EngineGroup, self: true}
	return r.serveOwned(ctx, job, at, int(m.HopsLeft), answer)
}
