package router

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

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

func (r *Router) serveForwarded(ctx context.Context, m *peerpb.ForwardRequest, answer job.Answer) *admission.Refusal {
	end, accepted := r.begin()
	if !accepted {
		return admission.Refuse(admission.Stopping, 0, "the engines' owner stops")
	}
	defer end()
	job := r.decodeJob(m)
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

// decodeJob reads a forwarded request. The group's parameters are this
// router's own; a group that it does not know yet gets the defaults.
func (r *Router) decodeJob(m *peerpb.ForwardRequest) *job.Job {
	group := &policy.Group{Name: m.Group, Organisation: m.Organisation, Parameters: policy.Defaults()}
	if s := r.adopted.Current(); s != nil && s.Groups[m.Group] != nil {
		group = s.Groups[m.Group]
	}
	return &job.Job{
		ID:           m.RequestId,
		Group:        group,
		Model:        m.Model,
		Adapter:      m.Adapter,
		Path:         m.Path,
		Body:         m.Body,
		Stream:       m.Stream,
		Priority:     int(m.Priority),
		Deadline:     steady.Now().Add(time.Duration(m.DeadlineMs) * time.Millisecond),
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

// Served implements job.Answer.
func (a *remoteAnswer) Served(engine string) error {
	a.engine = engine
	return nil
}

// Head implements dispatch.Sink.
func (a *remoteAnswer) Head(h dispatch.Head) error {
	head := &peerpb.Head{Engine: a.engine, Status: int32(h.Status), ContentType: h.ContentType, Undelimited: h.Undelimited}
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Head{Head: head}})
}

// Chunk implements dispatch.Sink.
func (a *remoteAnswer) Chunk(b []byte) error {
	return a.send(&peerpb.ForwardEvent{Event: &peerpb.ForwardEvent_Chunk{Chunk: b}})
}
