package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
)

// poolName names the engines of one model in one data centre.
type poolName struct {
	DataCentre string
	Model      string
}

func (n poolName) String() string { return n.DataCentre + "/" + n.Model }

// ticket is a request at its owner; the channel gets its one verdict.
type ticket = owner.Ticket[chan verdict]

// verdict is a granted engine, or why there is none.
type verdict struct {
	refusal *admission.Refusal
}

// pool is the engines of one model in one data centre, divided into groups.
type pool struct {
	name    poolName
	layout  *placement.Layout
	engines map[uint64]fleet.Instance
	// routers are the possible owners; Group.Owner is an index into them.
	routers []fleet.Instance
	// index finds a group by the short ID that digests carry.
	index map[fleet.ID]int
	// adapters are the groups in which some engine holds an adapter, by its name.
	adapters map[string][]int
	// loads are the lagged loads of the groups, refreshed by digests.
	loads placement.Loads
	// owned holds the queues of the groups that this router has served.
	owned map[uint64]*owner.Group[chan verdict]
}

func newPool(name poolName) *pool {
	return &pool{name: name, owned: make(map[uint64]*owner.Group[chan verdict])}
}

// lay divides the pool anew and hands the groups that are in use here their
// engines.
func (p *pool) lay(engines, routers []fleet.Instance, groupSize int, state func(fleet.Instance) *owner.Engine) {
	hashes := make([]uint64, len(engines))
	p.engines = make(map[uint64]fleet.Instance, len(engines))
	for i, e := range engines {
		hashes[i] = placement.Hash(e.Name)
		p.engines[hashes[i]] = e
	}
	routerHashes := make([]uint64, len(routers))
	for i, router := range routers {
		routerHashes[i] = placement.Hash(router.Name)
	}
	p.routers = routers
	p.layout = placement.NewLayout(placement.Hash(p.name.String()), hashes, routerHashes, groupSize)
	p.index = make(map[fleet.ID]int, len(p.layout.Groups))
	p.loads = make(placement.Loads, len(p.layout.Groups))
	p.adapters = make(map[string][]int)
	for g, group := range p.layout.Groups {
		p.index[fleet.ShortID(group.ID)] = g
		p.loads[g] = -1
		p.noteAdapters(g)
	}
	for id, owned := range p.owned {
		owned.SetEngines(p.members(id, state))
	}
}

func (p *pool) noteAdapters(g int) {
	for _, at := range p.layout.Groups[g].Engines {
		for _, adapter := range p.engines[p.layout.Engines[at]].Adapters {
			if !slices.Contains(p.adapters[adapter], g) {
				p.adapters[adapter] = append(p.adapters[adapter], g)
			}
		}
	}
}

// eligible returns the groups that can serve a request with this adapter, nil
// for all when it needs none.
func (p *pool) eligible(adapter string) []int {
	if adapter == "" {
		return nil
	}
	if groups := p.adapters[adapter]; groups != nil {
		return groups
	}
	return []int{}
}

// members returns the engines of a group, none if the group is gone.
func (p *pool) members(id uint64, state func(fleet.Instance) *owner.Engine) []*owner.Engine {
	g := p.layout.GroupIndex(id)
	if g == placement.None {
		return nil
	}
	var engines []*owner.Engine
	for _, e := range p.layout.Groups[g].Engines {
		engines = append(engines, state(p.engines[p.layout.Engines[e]]))
	}
	return engines
}

// group returns the queue of a group, made on first use.
func (p *pool) group(id uint64, limit int, state func(fleet.Instance) *owner.Engine) *owner.Group[chan verdict] {
	group := p.owned[id]
	if group != nil {
		return group
	}
	group = owner.NewGroup(limit, owner.Hooks[chan verdict]{
		Grant:  func(t *ticket) { t.Payload <- verdict{} },
		Reject: func(t *ticket, refusal *admission.Refusal) { t.Payload <- verdict{refusal: refusal} },
	})
	group.SetEngines(p.members(id, state))
	p.owned[id] = group
	p.setMeans()
	return group
}

// owner returns the router that owns group g, preferring those that avoid does
// not name. found is false when nobody is left.
func (p *pool) owner(g int, avoid map[string]bool) (instance fleet.Instance, found bool) {
	if best := p.layout.Groups[g].Owner; best != placement.None && !avoid[p.routers[best].Name] {
		return p.routers[best], true
	}
	var left []fleet.Instance
	var hashes []uint64
	for _, router := range p.routers {
		if !avoid[router.Name] {
			left = append(left, router)
			hashes = append(hashes, placement.Hash(router.Name))
		}
	}
	best := placement.Owner(p.layout.Groups[g].ID, hashes)
	if best == placement.None {
		return fleet.Instance{}, false
	}
	return left[best], true
}

// refresh takes the loads of the groups from the board, and this router's own
// groups exactly.
func (p *pool) refresh(board *fleet.DigestTable) {
	for g := range p.loads {
		p.loads[g] = -1
	}
	board.AddGroupLoads(p.index, p.loads)
	for id, owned := range p.owned {
		if g := p.layout.GroupIndex(id); g != placement.None {
			p.loads[g] = max(p.loads[g], 0) + owned.Load()
		}
	}
	p.setMeans()
}

func (p *pool) setMeans() {
	mean := p.layout.MeanLoad(p.loads)
	for _, owned := range p.owned {
		owned.SetFleetMean(mean)
	}
}

// pump grants what waits after engines were opened or closed, and drops the
// queues of groups that are gone or idle.
func (p *pool) pump(now time.Time) {
	for id, owned := range p.owned {
		owned.Dispatch(now)
		if p.layout.GroupIndex(id) == placement.None {
			owned.Drain(admission.NoEngine, now)
			delete(p.owned, id)
		}
	}
}

func (p *pool) drain(reason admission.Reason, now time.Time) {
	for _, owned := range p.owned {
		owned.Drain(reason, now)
	}
}

// digest returns the load of the groups that this router has work in or owns.
func (p *pool) digest(self string) []fleet.GroupLoad {
	var loads []fleet.GroupLoad
	for _, group := range p.layout.Groups {
		mine := group.Owner != placement.None && p.routers[group.Owner].Name == self
		owned := p.owned[group.ID]
		if owned == nil && !mine {
			continue
		}
		load := fleet.GroupLoad{Group: fleet.ShortID(group.ID)}
		if owned != nil {
			load.Load = owned.Load()
		}
		if load.Load > 0 || mine {
			loads = append(loads, load)
		}
	}
	return loads
}

func sortInstances(list []fleet.Instance) {
	slices.SortFunc(list, func(a, b fleet.Instance) int { return cmp.Compare(a.Name, b.Name) })
}
