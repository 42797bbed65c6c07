// Package owner makes the owner's half of a placement decision: it has exact counts of
// the requests at the engines of one group, queues what has to wait, and dispatches as
// late as it can.
//
//	Enter ──> engine free? ──yes──> grant
//	             │no
//	             ├─ the token's engine is at its bound, and waiting for its cache
//	             │  costs less than computing the prompt anew: wait for it
//	             ├─ every engine is at the hard bound: GroupFull, the edge
//	             │  asks another group, unless this is the request's last hop
//	             └─ wait in the fair queue
//	Finish ─> the queue's next in fair order that has a free engine: grant
//
// The package does no I/O and starts no goroutines: the caller passes the time, and calls
// EndCacheWait when a ticket has waited for its engine's cache for long enough. It is not
// safe for concurrent use.
package owner

import (
	"math"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/placement"
)

// Request is what an owner knows about a request.
type Request struct {
	// Flow is the research group, Share its weight.
	Flow     string
	Share    float64
	Priority int
	Deadline time.Time
	// Work is the estimate of its work in tokens.
	Work float64
	// Engine is the token's engine, or 0.
	Engine uint64
	// Prefix is the shared prefix's hash, or 0.
	Prefix uint64
	// Adapter is the hash of the adapter that the engine must hold, or 0.
	Adapter uint64
	// MaxCacheWait is the time that the cache of the token's engine saves: the longest
	// wait for that engine that pays off.
	MaxCacheWait time.Duration
	// Bound is the operator's c for this request.
	Bound float64
	// LastHop is set if no other group can be asked any more.
	LastHop bool
}

// Ticket is a request that entered a group.
type Ticket[T any] struct {
	Request
	// Payload is the caller's data.
	Payload T

	item          *admission.Item[*Ticket[T]]
	waitsForCache bool
	entered       time.Time
	granted       time.Time
	engine        *Engine
}

// GrantedEngine returns the engine that the ticket was granted, or nil.
func (t *Ticket[T]) GrantedEngine() *Engine { return t.engine }

// WaitsForCache reports whether the ticket waits for its token's engine only.
func (t *Ticket[T]) WaitsForCache() bool { return t.waitsForCache }

// Hooks are called from within a Group's methods.
type Hooks[T any] struct {
	// Grant is called when a ticket gets its engine.
	Grant func(*Ticket[T])
	// Reject is called when a waiting ticket is refused.
	Reject func(*Ticket[T], *admission.Refusal)
}

// Group is the owner's state of one group of engines.
type Group[T any] struct {
	hooks   Hooks[T]
	engines []*Engine
	queue   *admission.Queue[*Ticket[T]]
	// fleetMean is the mean load of all engines of the pool, as reported in digests.
	fleetMean float64
	// served measures the work done per second; pace is the seconds that a token of work
	// takes.
	served admission.Meter
	pace   float64
	states []placement.EngineState
}

// NewGroup returns a group without engines whose queue holds limit tickets.
func NewGroup[T any](limit int, hooks Hooks[T]) *Group[T] {
	return &Group[T]{hooks: hooks, queue: admission.NewQueue[*Ticket[T]](limit)}
}

// SetEngines replaces the engines after a change of the live view.
func (g *Group[T]) SetEngines(engines []*Engine) {
	g.engines = engines
	g.states = make([]placement.EngineState, len(engines))
}

// SetFleetMean sets the mean load of the pool's engines.
func (g *Group[T]) SetFleetMean(mean float64) { g.fleetMean = mean }

// Waiting returns the number of waiting tickets.
func (g *Group[T]) Waiting() int { return g.queue.Len() }

// Load returns the requests queued and in flight per engine.
func (g *Group[T]) Load() float64 {
	if len(g.engines) == 0 {
		return 0
	}
	sum := g.queue.Len()
	for _, e := range g.engines {
		sum += e.InFlight
	}
	return float64(sum) / float64(len(g.engines))
}

// Size returns the number of engines.
func (g *Group[T]) Size() int { return len(g.engines) }

// Enter adds a ticket: it is granted an engine at once, waits, or is refused.
func (g *Group[T]) Enter(t *Ticket[T], now time.Time) *admission.Refusal {
	t.entered = now
	t.waitsForCache = t.Engine != 0 && t.MaxCacheWait > 0
	if g.queue.Len() == 0 && g.tryGrant(t, now) {
		return nil
	}
	if !t.waitsForCache && g.isFull(t) {
		return groupFull()
	}
	t.item = g.newItem(t)
	refusal, displaced := g.queue.Push(t.item, now, g.served.Rate(now))
	if refusal != nil {
		return refusal
	}
	if displaced != nil {
		displaced.Payload.item = nil
		refusal := admission.Refuse(admission.Displaced, time.Second, "the queue filled up with groups further below their share")
		g.hooks.Reject(displaced.Payload, refusal)
	}
	g.Dispatch(now)
	return nil
}

func (g *Group[T]) newItem(t *Ticket[T]) *admission.Item[*Ticket[T]] {
	return &admission.Item[*Ticket[T]]{
		Flow:        t.Flow,
		Share:       t.Share,
		Priority:    t.Priority,
		Deadline:    t.Deadline,
		ServiceTime: g.minServiceTime(t.Work),
		Work:        t.Work,
		Payload:     t,
	}
}

// minServiceTime returns half the time that such work took lately: a closer deadline is
// not worth an attempt.
func (g *Group[T]) minServiceTime(work float64) time.Duration {
	const margin = 0.5
	return time.Duration(g.pace * work * margin * float64(time.Second))
}

func groupFull() *admission.Refusal {
	return admission.Refuse(admission.GroupFull, time.Second, "every engine of the group is at its bound")
}

// isFull reports whether the ticket should try another group.
func (g *Group[T]) isFull(t *Ticket[T]) bool {
	return !t.LastHop && g.pickEngine(t) == nil
}

func (g *Group[T]) tryGrant(t *Ticket[T], now time.Time) bool {
	e := g.pickEngine(t)
	if e == nil {
		return false
	}
	g.queue.Charge(t.Flow, t.Work, t.Share)
	g.grant(t, e, now)
	return true
}

func (g *Group[T]) grant(t *Ticket[T], e *Engine, now time.Time) {
	t.engine = e
	t.item = nil
	t.granted = now
	e.InFlight++
	e.addPrefix(t.Prefix)
	g.hooks.Grant(t)
}

// pickEngine returns the engine for a ticket now, or nil.
func (g *Group[T]) pickEngine(t *Ticket[T]) *Engine {
	token := placement.None
	for i, e := range g.engines {
		g.states[i] = e.state(t.Prefix, t.Adapter)
		if t.Engine != 0 && e.Hash == t.Engine && !g.states[i].Ineligible {
			token = i
		}
	}
	at := placement.PickEngine(g.states, token, g.bounds(t))
	if at == placement.None {
		return nil
	}
	if t.waitsForCache && token != placement.None && at != token {
		return nil
	}
	return g.engines[at]
}

// bounds returns the bounds for a ticket. On the last hop other groups were found full,
// so the mean from the digests is outdated: the group's own mean counts too.
func (g *Group[T]) bounds(t *Ticket[T]) placement.Bounds {
	mean := g.fleetMean
	if t.LastHop {
		mean = max(mean, g.Load())
	}
	return placement.Bounds{LoadFactor: t.Bound, FleetMean: mean}
}

// Dispatch grants engines to waiting tickets in fair order, as long as any are free.
func (g *Group[T]) Dispatch(now time.Time) {
	for g.queue.Len() > 0 {
		var chosen *Engine
		item := g.queue.Next(now, func(item *admission.Item[*Ticket[T]]) bool {
			chosen = g.pickEngine(item.Payload)
			return chosen != nil
		})
		if item == nil {
			return
		}
		g.grant(item.Payload, chosen, now)
	}
}

// EndCacheWait ends a ticket's wait for its engine's cache: any engine of the group will
// do, and if none is free the ticket is refused with GroupFull unless this is its last
// hop.
func (g *Group[T]) EndCacheWait(t *Ticket[T], now time.Time) *admission.Refusal {
	if t.item == nil || !t.waitsForCache {
		return nil
	}
	t.waitsForCache = false
	g.Dispatch(now)
	if t.item == nil || !g.isFull(t) {
		return nil
	}
	g.queue.Remove(t.item)
	t.item = nil
	return groupFull()
}

// Cancel removes a waiting ticket. It returns false if the ticket was not waiting.
func (g *Group[T]) Cancel(t *Ticket[T]) bool {
	if t.item == nil {
		return false
	}
	left := g.queue.Remove(t.item)
	t.item = nil
	return left
}

// Finish ends a granted ticket. whole reports whether its work was really done.
func (g *Group[T]) Finish(t *Ticket[T], whole bool, now time.Time) {
	t.engine.InFlight--
	if whole {
		g.served.Add(now, t.Work)
		g.updatePace(now.Sub(t.granted).Seconds() / math.Max(t.Work, 1))
	}
	g.Dispatch(now)
}

func (g *Group[T]) updatePace(sample float64) {
	const weight = 0.05
	if g.pace == 0 {
		g.pace = sample
		return
	}
	g.pace += weight * (sample - g.pace)
}

// Drain rejects all waiting tickets, so that they go to the next owner.
func (g *Group[T]) Drain(reason admission.Reason, now time.Time) {
	for _, item := range g.queue.Drain(now) {
		item.Payload.item = nil
		g.hooks.Reject(item.Payload, admission.Refuse(reason, 0, "the owner of the engines changes"))
	}
}

// WaitTime returns how long the ticket waited until it was granted an engine.
func (t *Ticket[T]) WaitTime() time.Duration { return t.granted.Sub(t.entered) }
