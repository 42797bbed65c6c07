package router

import (
	"cmp"
	"slices"

	"github.com/croftyard/croftyard/internal/router/report"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// maxInstances bounds the dump.
const maxInstances = 10_000

// State returns the dump.
func (r *Router) State() report.State {
	sent, received := r.meter.Bytes()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	s := report.State{
		Name:          r.settings.Name,
		DataCentre:    r.settings.DataCentre,
		Ready:         r.Ready(),
		Draining:      r.draining.Load(),
		Active:        r.active.Load(),
		ConfigVersion: r.config.Version(),
		Peers:         r.board.Len(),
		Control:       report.Control{SentBytes: sent, ReceivedBytes: received, Calls: r.meter.Calls()},
		PlatformCalls: r.platform.Calls(),
	}
	for _, p := range r.pools {
		s.Pools = append(s.Pools, r.poolState(p))
	}
	slices.SortFunc(s.Pools, func(a, b report.Pool) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Model, b.Model))
	})
	r.view.ForEach(now, func(i fleet.Instance, health fleet.Health) {
		if len(s.Instances) < maxInstances {
			s.Instances = append(s.Instances, report.Instance{Name: i.Name, Role: string(i.Role), Address: i.Address, Health: health.String()})
		}
	})
	slices.SortFunc(s.Instances, func(a, b report.Instance) int { return cmp.Compare(a.Name, b.Name) })
	r.limits.VisitDemands(now, func(organisation string, demand float64) {
		s.Demands = append(s.Demands, report.Demand{Organisation: organisation, Demand: demand, Others: r.board.OthersDemand(shortName(organisation))})
	})
	slices.SortFunc(s.Demands, func(a, b report.Demand) int { return cmp.Compare(a.Organisation, b.Organisation) })
	s.Groups = r.groupNames()
	return s
}

func (r *Router) groupNames() []string {
	var names []string
	if snapshot := r.adopted.Current(); snapshot != nil {
		for name := range snapshot.Groups {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (r *Router) poolState(p *pool) report.Pool {
	state := report.Pool{DataCentre: p.name.DataCentre, Model: p.name.Model, MeanLoad: p.layout.MeanLoad(p.loads)}
	for g, group := range p.layout.Groups {
		gs := report.Group{Load: p.loads[g]}
		if group.Owner != placement.None {
			gs.Owner = p.routers[group.Owner].Name
		}
		if owned := p.owned[group.ID]; owned != nil {
			gs.Waiting = owned.Waiting()
		}
		for _, e := range group.Engines {
			gs.Engines = append(gs.Engines, r.engineState(p, p.layout.Engines[e]))
		}
		state.Groups = append(state.Groups, gs)
	}
	return state
}

func (r *Router) engineState(p *pool, hash uint64) report.Engine {
	state := report.Engine{Name: p.engines[hash].Name}
	if e := r.engines[hash]; e != nil {
		state.InFlight = e.InFlight
		state.Foreign = e.ForeignInFlight()
		state.Closed = e.Closed
		state.Ramp = e.Ramp
	}
	return state
}

// Models returns the models that some engine serves, sorted.
func (r *Router) Models() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name := range r.pools {
		names = append(names, name.Model)
	}
	slices.Sort(names)
	return slices.Compact(names)
}
