// Package owner is the owner's half of a placement decision: it knows exactly
// what the engines of one group are running, holds what has to wait, and
// dispatches as late as it can.
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
// The package does no I/O and starts nothing: the caller tells it the time and
// calls Impatient when a ticket's patience is over. It is not safe for
// concurrent use.
package owner

import (
	"math"
	"time"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/placement"
)

// Request is what an owner knows of a request.
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
	// MaxCacheWait is the time that the token's engine saves by its cache: the longest
	// that it is worth waiting for it.
	MaxCacheWait time.Duration
	// Bound is the operator's c for this request.
	Bound float64
	// LastHop tells that no other group can be asked any more.
	LastHop bool
}

// Ticket is a request at its owner.
type Ticket[T any] struct {
	Request
	// Payload is the caller's.
	Payload T

	item    *admission.Item[*Ticket[T]]
	patient bool
	entered time.Time
	granted time.Time
	engine  *Engine
}

// GrantedEngine returns the engine that the ticket was granted, or nil.
func (t *Ticket[T]) GrantedEngine() *Engine { return t.engine }

// WaitsForCache tells whether the ticket waits for its token's engine.
func (t *Ticket[T]) WaitsForCache() bool { return t.patient }

// Hooks are called while a Group's method runs.
type Hooks[T any] struct {
	// Grant hands a ticket its engine.
	Grant func(*Ticket[T])
	// Reject ends a waiting ticket.
	Reject func(*Ticket[T], *admission.Refusal)
}

// Group is one group of engines at its owner.
type Group[T any] struct {
	hooks   Hooks[T]
	engines []*Engine
	queue   *admission.Queue[*Ticket[T]]
	// fleetMean is the mean load of all engines of the pool, as digests tell it.
	fleetMean float64
	// served measures work done a second; pace is seconds a token of work takes.
	served admission.Meter
	pace   float64
	states []placement.EngineState
}

// NewGroup returns a group without engines whose queue holds limit tickets.
func NewGroup[T any](limit int, hooks Hooks[T]) *Group[T] {
	return &Group[T]{hooks: hooks, queue: admission.NewQueue[*Ticket[T]](limit)}
}

// SetEngines replaces the engines, after a change of the live view.
func (g *Group[T]) SetEngines(engines []*Engine) {
	g.engines = engines
	g.states = make([]placement.EngineState, len(engines))
}

// SetFleetMean tells the mean load of the pool's engines.
func (g *Group[T]) SetFleetMean(mean float64) { g.fleetMean = mean }

// Waiting returns the number of tickets that wait.
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

// Enter takes a ticket in: it is granted an engine at once, waits, or is
// refused.
func (g *Group[T]) Enter(t *Ticket[T], now time.Time) *admission.Refusal {
	t.entered = now
	t.patient = t.Engine != 0 && t.MaxCacheWait > 0
	if g.queue.Len() == 0 && g.grantNow(t, now) {
		return nil
	}
	if !t.patient && g.full(t) {
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
		ServiceTime: g.leastService(t.Work),
		Work:        t.Work,
		Payload:     t,
	}
}

// leastService is half the time that this work took lately: a deadline that
// is closer than that is not worth a try.
func (g *Group[T]) leastService(work float64) time.Duration {
	const margin = 0.5
	return time.Duration(g.pace * work * margin * float64(time.Second))
}

func groupFull() *admission.Refusal {
	return admission.Refuse(admission.GroupFull, time.Second, "every engine of the group is at its bound")
}

// full tells whether the ticket had better ask another group.
func (g *Group[T]) full(t *Ticket[T]) bool {
	return !t.LastHop && g.pick(t) == nil
}

func (g *Group[T]) grantNow(t *Ticket[T], now time.Time) bool {
	e := g.pick(t)
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
	e.remember(t.Prefix)
	g.hooks.Grant(t)
}

// pick returns the engine for a ticket now, or nil.
func (g *Group[T]) pick(t *Ticket[T]) *Engine {
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
	if t.patient && token != placement.None && at != token {
		return nil
	}
	return g.engines[at]
}

// bounds are those of a ticket. On the last hop other groups were found full,
// so the mean in the digests is behind: the group's own mean counts too.
func (g *Group[T]) bounds(t *Ticket[T]) placement.Bounds {
	mean := g.fleetMean
	if t.LastHop {
		mean = max(mean, g.Load())
	}
	return placement.Bounds{LoadFactor: t.Bound, FleetMean: mean}
}

// Dispatch grants waiting tickets engines, in fair order, while there are free ones.
func (g *Group[T]) Dispatch(now time.Time) {
	for g.queue.Len() > 0 {
		var chosen *Engine
		item := g.queue.Next(now, func(item *admission.Item[*Ticket[T]]) bool {
			chosen = g.pick(item.Payload)
			return chosen != nil
		})
		if item == nil {
			return
		}
		g.grant(item.Payload, chosen, now)
	}
}

// EndCacheWait tells that a waiting ticket's patience is over: any engine of the
// group will do, and if none is free it is refused with GroupFull unless this
// is its last hop.
func (g *Group[T]) EndCacheWait(t *Ticket[T], now time.Time) *admission.Refusal {
	if t.item == nil || !t.patient {
		return nil
	}
	t.patient = false
	g.Dispatch(now)
	if t.item == nil || !g.full(t) {
		return nil
	}
	g.queue.Remove(t.item)
	t.item = nil
	return groupFull()
}

// Cancel takes a waiting ticket out. It returns false if it was not waiting.
func (g *Group[T]) Cancel(t *Ticket[T]) bool {
	if t.item == nil {
		return false
	}
	left := g.queue.Remove(t.item)
	t.item = nil
	return left
}

// Finish ends a granted ticket. whole tells that its work was really done.
func (g *Group[T]) Finish(t *Ticket[T], whole bool, now time.Time) {
	t.engine.InFlight--
	if whole {
		g.served.Add(now, t.Work)
		g.learnPace(now.Sub(t.granted).Seconds() / math.Max(t.Work, 1))
	}
	g.Dispatch(now)
}

func (g *Group[T]) learnPace(sample float64) {
	const weight = 0.05
	if g.pace == 0 {
		g.pace = sample
		return
	}
	g.pace += weight * (sample - g.pace)
}

// Drain rejects everything that waits, so that it goes to the next owner.
func (g *Group[T]) Drain(reason admission.Reason, now time.Time) {
	for _, item := range g.queue.Drain(now) {
		item.Payload.item = nil
		g.hooks.Reject(item.Payload, admission.Refuse(reason, 0, "the owner of the engines changes"))
	}
}

// WaitTime returns how long the ticket waited until it was granted an engine.
func (t *Ticket[T]) WaitTime() time.Duration { return t.granted.Sub(t.entered) }
