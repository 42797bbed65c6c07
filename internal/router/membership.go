package router

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/roles"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

func (r *Router) takeList(list []fleet.Instance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view.SetList(list, steady.Now())
	r.routers = r.routers[:0]
	for _, i := range list {
		if i.Role == fleet.RoleRouter && i.Name != r.settings.Name && i.State == fleet.StateLive {
			r.routers = append(r.routers, i)
		}
	}
	sortInstances(r.routers)
	r.listChanged = true
	r.refreshView()
	r.listed.Store(true)
}

// refreshView brings the pools up to the live view. The caller holds the
// mutex. Pools are made anew only when the list or the set of live routers
// changed; at 8,000 instances that takes milliseconds, and it is asked for once
// a second and at each failure.
//
// Engines stay in the layout while they are suspect: taking them out would
// move other engines between groups each time one flaps. They are only closed.
func (r *Router) refreshView() {
	now := steady.Now()
	owners := r.ownersByCentre(now)
	if mark := markOf(owners); r.listChanged || mark != r.ownersMark {
		r.listChanged = false
		r.ownersMark = mark
		r.rebuildPools(r.enginesByPool(now), owners)
	}
	r.closeEngines(now)
}

// ownersByCentre returns the routers that may own groups, sorted by name.
func (r *Router) ownersByCentre(now time.Time) map[string][]fleet.Instance {
	owners := make(map[string][]fleet.Instance)
	add := func(i fleet.Instance) {
		if r.view.Health(i.Name, now) == fleet.Live && !r.stopping(i.Name) {
			owners[i.DataCentre] = append(owners[i.DataCentre], i)
		}
	}
	for _, i := range r.routers {
		add(i)
	}
	if self, listed := r.view.Get(r.settings.Name); listed {
		add(self)
	}
	for _, list := range owners {
		sortInstances(list)
	}
	return owners
}

// markOf sums the hashes of the owners' names and addresses, which tells two
// sets of them apart.
func markOf(owners map[string][]fleet.Instance) uint64 {
	mark := uint64(0)
	for _, list := range owners {
		for _, i := range list {
			mark += placement.Hash(i.Name + i.Address)
		}
	}
	return mark
}

func (r *Router) enginesByPool(now time.Time) map[poolName][]fleet.Instance {
	engines := make(map[poolName][]fleet.Instance)
	r.view.ForEach(now, func(i fleet.Instance, _ fleet.Health) {
		if i.Role != fleet.RoleEngine {
			return
		}
		for _, model := range i.Models {
			name := poolName{DataCentre: i.DataCentre, Model: model}
			engines[name] = append(engines[name], i)
		}
	})
	return engines
}

func (r *Router) stopping(name string) bool {
	if name == r.settings.Name {
		return r.draining.Load()
	}
	return r.board.Stopping(shortName(name))
}

func shortName(name string) fleet.ID { return fleet.ShortID(placement.Hash(name)) }

func (r *Router) rebuildPools(engines map[poolName][]fleet.Instance, routers map[string][]fleet.Instance) {
	groupSize := policy.DefaultGroupSize
	if s := r.adopted.Current(); s != nil {
		groupSize = s.Fleet.GroupSize
	}
	for name, list := range engines {
		p := r.pools[name]
		if p == nil {
			p = newPool(name)
			r.pools[name] = p
		}
		owners := routers[name.DataCentre]
		sortInstances(list)
		if p.layout != nil && sameInstances(list, p.engineList()) && sameInstances(owners, p.routers) {
			continue
		}
		p.lay(list, owners, groupSize, r.engine)
		p.refresh(r.board)
		r.noteOwners(p)
		r.log.Write(event.LayoutChanged, event.F("pool", name.String()), event.F("engines", len(list)), event.F("groups", len(p.layout.Groups)))
	}
	for name, p := range r.pools {
		if _, listed := engines[name]; !listed {
			p.lay(nil, nil, groupSize, r.engine)
			p.pump(steady.Now())
			delete(r.pools, name)
		}
	}
}

// noteOwners tells the handover who owns the pool's engines now, and has those
// that are new to this router asked what they run.
func (r *Router) noteOwners(p *pool) {
	now := steady.Now()
	for _, g := range p.layout.Groups {
		if g.Owner == placement.None {
			continue
		}
		owner := placement.Hash(p.routers[g.Owner].Name)
		for _, e := range g.Engines {
			hash := p.layout.Engines[e]
			if !r.handover.SetOwner(hash, owner, r.selfHash, now) {
				continue
			}
			select {
			case r.gained <- p.engines[hash]:
			default:
			}
		}
	}
}

func (p *pool) engineList() []fleet.Instance {
	list := make([]fleet.Instance, 0, len(p.engines))
	for _, e := range p.engines {
		list = append(list, e)
	}
	sortInstances(list)
	return list
}

func sameInstances(a, b []fleet.Instance) bool {
	return slices.EqualFunc(a, b, func(x, y fleet.Instance) bool {
		return x.Name == y.Name && x.Address == y.Address && slices.Equal(x.Adapters, y.Adapters)
	})
}

// engine returns the counts of an engine, which outlive layouts.
func (r *Router) engine(i fleet.Instance) *owner.Engine {
	hash := placement.Hash(i.Name)
	e := r.engines[hash]
	if e == nil {
		e = owner.NewEngine(hash, r.settings.Limits.Slots)
		r.engines[hash] = e
	}
	return e
}

// closeEngines closes the engines that are not to get new work, opens the
// others, and lets waiting requests at them.
func (r *Router) closeEngines(now time.Time) {
	listed := make(map[uint64]bool)
	r.view.ForEach(now, func(i fleet.Instance, health fleet.Health) {
		if i.Role != fleet.RoleEngine {
			return
		}
		e := r.engine(i)
		listed[e.Hash] = true
		e.Closed = health != fleet.Live
		e.Adapters = hashesOf(i.Adapters, e.Adapters[:0])
		e.Ramp = r.view.RampFactor(i.Name, now)
	})
	for hash, e := range r.engines {
		if !listed[hash] {
			e.Closed = true
			if e.InFlight == 0 {
				delete(r.engines, hash)
				r.handover.Forget(hash)
			}
		}
	}
	for _, p := range r.pools {
		p.pump(now)
	}
}

// liveRouters returns the live routers that among allows, from which roles are taken. The caller holds the
// mutex.
func (r *Router) liveRouters(among func(fleet.Instance) bool) roles.Routers {
	now := steady.Now()
	routers := roles.Routers{Self: r.selfHash}
	for _, other := range r.routers {
		if among(other) && r.view.Health(other.Name, now) == fleet.Live {
			routers.Live = append(routers.Live, other)
		}
	}
	return routers
}

// nearRouters returns the number of routers in this data centre and those that may hold a role in it.
func (r *Router) nearRouters() (size int, routers roles.Routers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fleetSize(), r.liveRouters(r.isNear)
}

// otherRouters returns the other routers of the fleet.
func (r *Router) otherRouters() []fleet.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.routers)
}

// isNear tells whether an instance is in this router's data centre.
func (r *Router) isNear(i fleet.Instance) bool { return i.DataCentre == r.settings.DataCentre }

func hashesOf(names []string, into []uint64) []uint64 {
	for _, name := range names {
		into = append(into, placement.Hash(name))
	}
	return into
}

// failed notes that a target or peer could not be reached.
func (r *Router) failed(name string, what event.ID, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	if r.view.Health(name, now) != fleet.Live {
		return
	}
	r.log.Write(what, event.F("name", name), event.F("error", err))
	r.view.MarkFailed(name, now)
	r.refreshView()
}

// reached notes that a target or peer answered.
func (r *Router) reached(name string, what event.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	if r.view.Health(name, now) == fleet.Suspect {
		r.log.Write(what, event.F("name", name))
		r.view.MarkReachable(name, now)
		r.refreshView()
	}
}

// leaving notes that a target said that it leaves; the digests tell the others.
func (r *Router) leaving(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	if _, known := r.leavingSeen[name]; !known {
		r.log.Write(event.TargetLeaving, event.F("name", name))
	}
	r.leavingSeen[name] = now
	r.view.MarkLeaving(name, now)
	r.closeEngines(now)
}

// jitter spreads a period by a fifth, so that routers do not act in step.
func (r *Router) jitter(d time.Duration) time.Duration {
	const spread = 0.2
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(float64(d) * (1 - spread/2 + spread*r.rnd.Float64()))
}
