package router

import (
	"errors"
	"fmt"

	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/router/report"
	"github.com/croftyard/croftyard/pkg/placement"
)

// ErrNoGroup: the configuration in force has no such research group.
var ErrNoGroup = errors.New("router: no such group")

// Explain works a decision out without making it.
func (r *Router) Explain(q report.Question) (report.Explanation, error) {
	snapshot := r.adopted.Current()
	if snapshot == nil || snapshot.Groups[q.Group] == nil {
		return report.Explanation{}, fmt.Errorf("%w: %s", ErrNoGroup, q.Group)
	}
	group := snapshot.Groups[q.Group]
	e := report.Explanation{Group: q.Group, Model: q.Model, Router: r.settings.Name, Bound: group.Bound, Token: "none"}
	if !group.AllowsModel(q.Model) {
		e.Refusal = fmt.Sprintf("group %s may not use %s", q.Group, q.Model)
		return e, nil
	}
	job := &job.Job{Group: group, Model: q.Model, Chat: placement.Hash(q.Group)}
	if q.Token != "" {
		keys := placement.TokenKeys{Current: snapshot.Fleet.ChatKey, Previous: snapshot.Fleet.PreviousChatKey}
		token, err := keys.Open(q.Token)
		e.Token = "valid"
		if err != nil || token.Group != placement.Hash(q.Group) || token.Model != placement.Hash(q.Model) {
			e.Token = "ignored: damaged, or of another group, model or key"
			token = placement.Token{}
		}
		job.Engine = token.Engine
		job.Chat = token.Chat
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.explain(&e, job)
	return e, nil
}

func (r *Router) explain(e *report.Explanation, job *job.Job) {
	p := r.poolFor(job.Model)
	if p == nil {
		e.Refusal = "no live engine serves " + job.Model
		return
	}
	e.Pool = p.name.String()
	e.Mean = p.layout.MeanLoad(p.loads)
	e.Target = max(job.Group.Bound*e.Mean, e.Mean+1)
	request := placement.Request{Chat: job.Chat, Engine: r.tokenEngine(p, job.Engine)}
	// A bound that nothing exceeds shows the group before any diversion.
	const unbounded = 1e9
	choice := p.layout.Choose(request, p.loads, unbounded, r.rnd)
	e.Origin = choice.Origin.String()
	if choice.Engine != placement.None {
		e.Engine = p.engines[p.layout.Engines[choice.Engine]].Name
	}
	for g, group := range p.layout.Groups {
		c := report.Candidate{Load: p.loads[g], Chosen: g == choice.Group}
		if group.Owner != placement.None {
			c.Owner = p.routers[group.Owner].Name
		}
		for _, at := range group.Engines {
			c.Engines = append(c.Engines, p.engines[p.layout.Engines[at]].Name)
		}
		if c.Chosen {
			e.Chosen = c.Owner
			e.Diverted = max(0, 1-e.Target/max(c.Load, e.Target))
		}
		e.Candidates = append(e.Candidates, c)
	}
}
