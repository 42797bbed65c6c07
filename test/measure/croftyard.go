package main

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
)

const (
	digestPeriod = time.Second
	pollEvery    = 10
	maxHops      = 3
	queueLimit   = 4096
	groupSize    = 10
	engineSlots  = 64
)

type ticket = owner.Ticket[*job]

// job is a request on its way.
type job struct {
	*request
	router *simRouter
	group  uint64
	hop    int
}

// croftyard runs the product's decisions on each of its routers.
type croftyard struct {
	w       *world
	routers []*simRouter
	hashes  []uint64
	byHash  map[uint64]*simRouter
	told    int
	// layouts holds the layout of each version of the list.
	layouts map[int]*placement.Layout
}

// simRouter is what one router knows.
type simRouter struct {
	policy  *croftyard
	index   int
	version int
	traffic *placement.PrefixTraffic
	engines map[uint64]*owner.Engine
	owned   map[uint64]*owner.Group[*job]
	loads   placement.Loads
	view    *fleet.View
	// told holds this router's last digests, newest last.
	told     [4][]fleet.GroupLoad
	handover *owner.Handover
	ticks    int
}

func newCroftyard(w *world) *croftyard {
	c := &croftyard{w: w, layouts: make(map[int]*placement.Layout), byHash: make(map[uint64]*simRouter)}
	for i := range w.spec.routers {
		c.hashes = append(c.hashes, placement.Hash(fmt.Sprintf("router-%d", i)))
		c.routers = append(c.routers, &simRouter{
			policy: c, index: i, version: -1,
			traffic:  placement.NewPrefixTraffic(),
			engines:  make(map[uint64]*owner.Engine),
			owned:    make(map[uint64]*owner.Group[*job]),
			view:     fleet.NewView(),
			handover: owner.NewHandover(),
		})
		c.byHash[c.hashes[i]] = c.routers[i]
	}
	return c
}

func (c *croftyard) start() {
	for _, r := range c.routers {
		r.look()
		offset := time.Duration(c.w.rnd.Int64N(int64(c.period())))
		c.w.after(offset, func() { c.w.every(c.period(), r.tick) })
	}
}

func (c *croftyard) period() time.Duration { return fleet.ScaledPeriod(digestPeriod, len(c.routers)) }

func (c *croftyard) layout(version int) *placement.Layout {
	l := c.layouts[version]
	if l == nil {
		l = placement.NewLayout(1, c.w.lists[version].engines, c.hashes, groupSize)
		c.layouts[version] = l
	}
	return l
}

// look takes the newest list that has reached the router.
func (r *simRouter) look() {
	version := r.policy.w.version(r.index)
	if version == r.version {
		return
	}
	r.version = version
	l := r.policy.layout(version)
	var instances []fleet.Instance
	for _, hash := range l.Engines {
		instances = append(instances, fleet.Instance{Name: name(hash), Role: fleet.RoleEngine, State: fleet.StateLive})
	}
	r.view.SetList(instances, r.policy.w.clock())
	r.loads = make(placement.Loads, len(l.Groups))
	r.own()
	for id, g := range r.owned {
		g.SetEngines(r.members(id))
	}
	r.refresh()
}

func name(hash uint64) string { return fmt.Sprintf("%016x", hash) }

func (r *simRouter) members(id uint64) []*owner.Engine {
	l := r.policy.layout(r.version)
	g := l.GroupIndex(id)
	if g == placement.None {
		return nil
	}
	var engines []*owner.Engine
	for _, e := range l.Groups[g].Engines {
		engines = append(engines, r.engine(l.Engines[e]))
	}
	return engines
}

func (r *simRouter) engine(hash uint64) *owner.Engine {
	e := r.engines[hash]
	if e == nil {
		e = owner.NewEngine(hash, engineSlots)
		r.engines[hash] = e
	}
	return e
}

func (r *simRouter) group(id uint64) *owner.Group[*job] {
	g := r.owned[id]
	if g == nil {
		g = owner.NewGroup(queueLimit, owner.Hooks[*job]{Grant: r.granted, Reject: r.rejected})
		g.SetEngines(r.members(id))
		r.owned[id] = g
		r.setMeans()
	}
	return g
}

// tick is what a router does once a digest period.
func (r *simRouter) tick() {
	r.look()
	l := r.policy.layout(r.version)
	var loads []fleet.GroupLoad
	for id, g := range r.owned {
		at := l.GroupIndex(id)
		if at == placement.None {
			continue
		}
		mine := l.Groups[at].Owner == r.index
		if load := g.Load(); load > 0 || mine {
			loads = append(loads, fleet.GroupLoad{Group: fleet.ShortID(id), Load: load})
		}
	}
	copy(r.told[:], r.told[1:])
	r.told[len(r.told)-1] = loads
	now := r.policy.w.clock()
	for hash, e := range r.engines {
		e.Closed = r.view.Health(name(hash), now) != fleet.Live
		e.Ramp = r.view.RampFactor(name(hash), now)
		e.ExpireCounts(now)
	}
	if r.policy.w.spec.policy != noHandover {
		r.poll()
		r.tell()
	}
	r.refresh()
	for _, g := range r.owned {
		g.Dispatch(now)
	}
}

// refresh reads the others' digests, each as old as its way takes: up to a
// period between few routers, up to two in a grid.
func (r *simRouter) refresh() {
	l := r.policy.layout(r.version)
	index := make(map[fleet.ID]int, len(l.Groups))
	for g := range l.Groups {
		index[fleet.ShortID(l.Groups[g].ID)] = g
		r.loads[g] = -1
	}
	for _, other := range r.policy.routers {
		if other == r {
			continue
		}
		age := 0
		if len(r.policy.routers) > 16 {
			age = (r.index + other.index) % 2
		}
		for _, load := range other.told[len(other.told)-1-age] {
			if at, known := index[load.Group]; known {
				r.loads[at] = max(r.loads[at], 0) + load.Load
			}
		}
	}
	for id, g := range r.owned {
		if at := l.GroupIndex(id); at != placement.None {
			r.loads[at] = max(r.loads[at], 0) + g.Load()
		}
	}
	r.setMeans()
}

func (r *simRouter) setMeans() {
	mean := r.policy.layout(r.version).MeanLoad(r.loads)
	for _, g := range r.owned {
		g.SetFleetMean(mean)
	}
}

// own notes the owners in the newest layout and asks the engines that are new
// here what they run; a report is up to reportLag old.
func (r *simRouter) own() {
	l := r.policy.layout(r.version)
	now := r.policy.w.clock()
	for _, g := range l.Groups {
		for _, at := range g.Engines {
			hash := l.Engines[at]
			gained := r.handover.SetOwner(hash, r.policy.hashes[g.Owner], r.hash(), now)
			if gained && r.policy.w.spec.policy != noHandover {
				r.ask(hash)
			}
		}
	}
}

func (r *simRouter) hash() uint64 { return r.policy.hashes[r.index] }

func (r *simRouter) ask(hash uint64) {
	w := r.policy.w
	truth := w.byHash[hash]
	if truth.down {
		r.view.MarkFailed(name(hash), w.clock())
		return
	}
	r.engine(hash).ObserveReport(w.report(truth, r.index), w.clock())
}

// poll asks each owned engine now and then.
func (r *simRouter) poll() {
	l := r.policy.layout(r.version)
	r.ticks++
	for _, g := range l.Groups {
		for _, at := range g.Engines {
			if hash := l.Engines[at]; g.Owner == r.index && (r.ticks+int(hash%pollEvery))%pollEvery == 0 {
				r.ask(hash)
			}
		}
	}
}

// tell gives other routers this one's count at engines that they own or owned.
func (r *simRouter) tell() {
	now := r.policy.w.clock()
	for hash, e := range r.engines {
		r.handover.NotifyOwners(hash, r.hash(), now, func(router uint64) {
			if e.InFlight == 0 {
				return
			}
			r.policy.told++
			r.policy.byHash[router].engine(hash).ObservePeerCount(r.hash(), e.InFlight, now)
		})
	}
}

func (c *croftyard) route(q *request) {
	c.choose(&job{request: q}, placement.None)
}

// choose is the edge's half: a group, and its owner.
func (c *croftyard) choose(j *job, from int) {
	edge := c.routers[j.request.router]
	edge.look()
	l := c.layout(edge.version)
	var choice placement.Choice
	if from != placement.None {
		c.w.figures.passed++
		choice = l.Reroute(from, nil, edge.loads, c.w.rnd)
	} else {
		engine := placement.None
		if j.chat.engine != 0 {
			engine = l.EngineIndex(j.chat.engine)
		}
		share := edge.traffic.Record(j.chat.prefix, c.w.clock())
		choice = l.Choose(placement.Request{Chat: j.chat.id, Prefix: j.chat.prefix, PrefixShare: share, Engine: engine}, edge.loads, c.w.spec.bound, c.w.rnd)
		if choice.Origin == placement.FromDiversion && c.w.now >= warmUp {
			c.w.figures.diverted++
		}
	}
	j.group = l.Groups[choice.Group].ID
	j.router = c.routers[l.Groups[choice.Group].Owner]
	j.hop++
	c.enter(j)
}

// enter is the owner's half.
func (c *croftyard) enter(j *job) {
	r := j.router
	r.look()
	if c.layout(r.version).GroupIndex(j.group) == placement.None {
		c.passOn(j)
		return
	}
	t := &ticket{Payload: j, Request: owner.Request{
		Flow:     "group",
		Share:    1,
		Deadline: c.w.clock().Add(time.Minute),
		Work:     admission.EstimateWork(j.prompt(), j.prompt()-j.fresh, j.output),
		Engine:   j.chat.engine,
		Prefix:   j.chat.prefix,
		Bound:    c.w.spec.bound,
		LastHop:  j.hop == maxHops,
	}}
	if t.Engine != 0 && c.w.spec.policy != noWait {
		t.MaxCacheWait = time.Duration(float64(j.prompt()-j.fresh) / prefillRate * float64(time.Second))
	}
	if refusal := r.group(j.group).Enter(t, c.w.clock()); refusal != nil {
		c.refused(j, refusal)
		return
	}
	if t.GrantedEngine() == nil && t.WaitsForCache() {
		c.w.after(t.MaxCacheWait, func() {
			if refusal := r.group(j.group).EndCacheWait(t, c.w.clock()); refusal != nil {
				c.refused(j, refusal)
			}
		})
	}
}

func (c *croftyard) refused(j *job, refusal *admission.Refusal) {
	if refusal.Reason == admission.GroupFull && j.hop < maxHops {
		c.passOn(j)
		return
	}
	c.w.figures.refused++
}

func (c *croftyard) passOn(j *job) {
	edge := c.routers[j.request.router]
	c.choose(j, c.layout(edge.version).GroupIndex(j.group))
}

func (r *simRouter) rejected(t *ticket, refusal *admission.Refusal) {
	r.policy.refused(t.Payload, refusal)
}

// granted sends the request to its engine.
func (r *simRouter) granted(t *ticket) {
	w := r.policy.w
	e := t.GrantedEngine()
	truth := w.byHash[e.Hash]
	group := r.group(t.Payload.group)
	served := !truth.leaving && w.run(truth, t.Payload.request, func() { group.Finish(t, true, w.clock()) })
	if served {
		return
	}
	// Refused or leaving: nothing ran, so the owner tries again at once.
	w.after(time.Millisecond, func() {
		if truth.leaving {
			r.view.MarkLeaving(name(e.Hash), w.clock())
		} else {
			r.view.MarkFailed(name(e.Hash), w.clock())
		}
		e.Closed = true
		group.Finish(t, false, w.clock())
		r.policy.enter(t.Payload)
	})
}
