package router

import (
	"cmp"
	"slices"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// State is a router's dump. Field names are stable; secrets are left out.
type State struct {
	Name          string          `json:"name"`
	DataCentre    string          `json:"data_centre"`
	Ready         bool            `json:"ready"`
	Draining      bool            `json:"draining"`
	Active        int64           `json:"active_requests"`
	ConfigVersion uint64          `json:"config_version"`
	Groups        []string        `json:"groups"`
	Pools         []PoolState     `json:"pools"`
	Instances     []InstanceState `json:"instances"`
	Peers         int             `json:"peers_heard"`
	Control       ControlState    `json:"control"`
	PlatformCalls uint64          `json:"platform_calls"`
	Demands       []DemandState   `json:"demands"`
}

// PoolState is one model in one data centre.
type PoolState struct {
	DataCentre string       `json:"data_centre"`
	Model      string       `json:"model"`
	MeanLoad   float64      `json:"mean_load"`
	Groups     []GroupState `json:"groups"`
}

// GroupState is one group of engines.
type GroupState struct {
	Owner   string        `json:"owner"`
	Load    float64       `json:"load"`
	Waiting int           `json:"waiting"`
	Engines []EngineState `json:"engines"`
}

// EngineState is one engine as this router sees it.
type EngineState struct {
	Name     string  `json:"name"`
	InFlight int     `json:"in_flight"`
	Foreign  int     `json:"foreign"`
	Closed   bool    `json:"closed"`
	Ramp     float64 `json:"ramp"`
}

// InstanceState is one row of the live view.
type InstanceState struct {
	Name    string `json:"name"`
	Role    string `json:"role"`
	Address string `json:"address"`
	Health  string `json:"health"`
}

// ControlState is what control traffic has cost so far.
type ControlState struct {
	SentBytes     uint64 `json:"sent_bytes"`
	ReceivedBytes uint64 `json:"received_bytes"`
	Calls         uint64 `json:"calls"`
}

// DemandState is what an organisation asks of this router.
type DemandState struct {
	Organisation string  `json:"organisation"`
	Demand       float64 `json:"demand"`
	Others       float64 `json:"others"`
}

// maxInstances bounds the dump.
const maxInstances = 10_000

// State returns the dump.
func (r *Router) State() State {
	sent, received := r.meter.Bytes()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	s := State{
		Name:          r.settings.Name,
		DataCentre:    r.settings.DataCentre,
		Ready:         r.Ready(),
		Draining:      r.draining.Load(),
		Active:        r.active.Load(),
		ConfigVersion: r.version(),
		Peers:         r.board.Len(),
		Control:       ControlState{SentBytes: sent, ReceivedBytes: received, Calls: r.meter.Calls()},
		PlatformCalls: r.platform.Calls(),
	}
	for _, p := range r.pools {
		s.Pools = append(s.Pools, r.poolState(p))
	}
	slices.SortFunc(s.Pools, func(a, b PoolState) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Model, b.Model))
	})
	r.view.ForEach(now, func(i fleet.Instance, health fleet.Health) {
		if len(s.Instances) < maxInstances {
			s.Instances = append(s.Instances, InstanceState{Name: i.Name, Role: string(i.Role), Address: i.Address, Health: health.String()})
		}
	})
	slices.SortFunc(s.Instances, func(a, b InstanceState) int { return cmp.Compare(a.Name, b.Name) })
	r.limits.VisitDemands(now, func(organisation string, demand float64) {
		s.Demands = append(s.Demands, DemandState{Organisation: organisation, Demand: demand, Others: r.board.OthersDemand(shortName(organisation))})
	})
	slices.SortFunc(s.Demands, func(a, b DemandState) int { return cmp.Compare(a.Organisation, b.Organisation) })
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

func (r *Router) poolState(p *pool) PoolState {
	state := PoolState{DataCentre: p.name.DataCentre, Model: p.name.Model, MeanLoad: p.layout.MeanLoad(p.loads)}
	for g, group := range p.layout.Groups {
		gs := GroupState{Load: p.loads[g]}
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

func (r *Router) engineState(p *pool, hash uint64) EngineState {
	state := EngineState{Name: p.engines[hash].Name}
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
