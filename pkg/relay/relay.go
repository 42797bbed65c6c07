// Package relay chooses the router that a request is handed to by a router that does not
// reach the replicas of its service.
//
//	Choose -> a router that is not known to be unable, in the own data centre first
//	Served, Full, Unable, Unreachable record what became of it
//
// Nothing is exchanged in advance: which routers reach a service is learned from their
// answers and forgotten soon, so that a router that was cut off is asked again. The package
// does no I/O; time and randomness come from the caller.
package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Router is another router.
type Router struct {
	// Address is where it takes relayed requests.
	Address string
	// DataCentre is its data centre, empty if unknown.
	DataCentre string
	// Leaving: it is stopping. It still serves for a time.
	Leaving bool
}

const (
	// unableTime is how long a router that did not reach a service is not asked again. It
	// says so within a round trip, and may be the only one that reaches the service at times.
	unableTime = 300 * time.Millisecond
	// unableRetryTime is the same while no other router is left.
	unableRetryTime = 10 * time.Millisecond
	// fullTime is how long a router without room for a request is not asked again by one that has
	// none itself.
	fullTime = 100 * time.Millisecond
	// unreachableTime is the same for a router that was not reached itself, which takes as
	// long to notice as a connection may take to open.
	unreachableTime = time.Second
	// unreachableRetryTime is the same while no other router is left: one that is short of processor
	// time fails some exchanges and serves others.
	unreachableRetryTime = 50 * time.Millisecond
	// servedTime is how long a router that served a request is preferred.
	servedTime = 2 * time.Second
	// enoughServing is how many routers must serve for the others not to be asked: fewer
	// would carry all that this router relays.
	enoughServing = 3
)

// Selector remembers which routers reach which services. It is safe for concurrent use.
type Selector struct {
	mu     sync.Mutex
	random *rand.Rand
	// services holds what is known of routers by service, unreachable by address alone.
	services    map[string]map[string]record
	unreachable map[string]unreachable
}

// unreachable is until when a router is probably not reached, and when it was last tried.
type unreachable struct{ until, triedAt time.Time }

// record is what became of the last requests that were handed to a router.
type record struct {
	// unableAt is when it was last unable, or was asked again since.
	unableAt, servedUntil time.Time
	// fullUntil is until when it probably has no room.
	fullUntil time.Time
}

func (r record) isUnable(now time.Time) bool { return now.Sub(r.unableAt) < unableTime }

// New returns a Selector. Its choices depend only on seed and on the calls made to it.
func New(seed uint64) *Selector {
	return &Selector{random: rand.New(rand.NewPCG(seed, seed)), services: make(map[string]map[string]record), unreachable: make(map[string]unreachable)}
}

// Request is a request that needs another router.
type Request struct {
	Service string
	// DataCentre is that of the router that asks.
	DataCentre string
	// Tried holds the addresses that must not be asked again.
	Tried []string
	// ForRoom: the router that asks reaches the service and has no room itself.
	ForRoom bool
}

// Choose returns a router to hand a request to. It returns false if none is left.
//
// Routers of the own data centre come first, unless one of them was unable and none served:
// what cuts a router off often strikes its whole data centre. Those that are stopping come
// last, after them the one that was unable longest ago, and after that the one that was not
// reached longest ago.
func (s *Selector) Choose(q Request, routers []Router, now time.Time) (Router, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isLeaving := func(r Router) bool { return r.Leaving }
	if r, found := s.choose(q, slices.DeleteFunc(slices.Clone(routers), isLeaving), now); found {
		return r, true
	}
	if r, found := s.choose(q, slices.DeleteFunc(slices.Clone(routers), func(r Router) bool { return !r.Leaving }), now); found {
		return r, true
	}
	if r, found := s.chooseUnable(q, routers, now); found {
		return r, true
	}
	return s.chooseUnreachable(q, routers, now)
}

// chooseUnable returns the router that was unable longest ago, for one request in
// unableRetryTime.
func (s *Selector) chooseUnable(q Request, routers []Router, now time.Time) (Router, bool) {
	known := s.services[q.Service]
	longest, found := Router{}, false
	for _, r := range routers {
		if s.isExcluded(q, r, now) || now.Sub(known[r.Address].unableAt) < unableRetryTime {
			continue
		}
		if !found || known[r.Address].unableAt.Before(known[longest.Address].unableAt) {
			longest, found = r, true
		}
	}
	if found {
		known[longest.Address] = record{unableAt: now}
	}
	return longest, found
}

// chooseUnreachable returns the router that was not reached longest ago, for one request in
// unreachableRetryTime.
func (s *Selector) chooseUnreachable(q Request, routers []Router, now time.Time) (Router, bool) {
	longest, found := Router{}, false
	for _, r := range routers {
		triedAt := s.unreachable[r.Address].triedAt
		if !s.isUnreachable(r, now) || s.isRefused(q, r, now) || now.Sub(triedAt) < unreachableRetryTime {
			continue
		}
		if !found || triedAt.Before(s.unreachable[longest.Address].triedAt) {
			longest, found = r, true
		}
	}
	if found {
		s.unreachable[longest.Address] = unreachable{s.unreachable[longest.Address].until, now}
	}
	return longest, found
}

// isExcluded reports whether a router was tried for the request or is not reached itself.
func (s *Selector) isExcluded(q Request, r Router, now time.Time) bool {
	return s.isRefused(q, r, now) || s.isUnreachable(r, now)
}

// isRefused reports whether a router was tried for the request or has no room for it.
func (s *Selector) isRefused(q Request, r Router, now time.Time) bool {
	full := q.ForRoom && now.Before(s.services[q.Service][r.Address].fullUntil)
	return full || slices.Contains(q.Tried, r.Address)
}

func (s *Selector) isUnreachable(r Router, now time.Time) bool {
	return now.Before(s.unreachable[r.Address].until)
}

func (s *Selector) choose(q Request, routers []Router, now time.Time) (Router, bool) {
	known := s.services[q.Service]
	var near, all []Router
	nearUnable, nearServes := false, false
	for _, r := range routers {
		own := r.DataCentre == q.DataCentre
		rec := known[r.Address]
		if rec.isUnable(now) {
			nearUnable = nearUnable || own
			continue
		}
		nearServes = nearServes || own && now.Before(rec.servedUntil)
		if s.isExcluded(q, r, now) {
			continue
		}
		all = append(all, r)
		if own {
			near = append(near, r)
		}
	}
	if len(near) > 0 && (nearServes || !nearUnable) {
		return s.draw(near, known, now), true
	}
	if len(all) == 0 {
		return Router{}, false
	}
	return s.draw(all, known, now), true
}

// draw draws one of the routers that served lately, or any if there are few.
func (s *Selector) draw(list []Router, known map[string]record, now time.Time) Router {
	var serving []Router
	for _, r := range list {
		if now.Before(known[r.Address].servedUntil) {
			serving = append(serving, r)
		}
	}
	if len(serving) >= min(enoughServing, len(list)) {
		list = serving
	}
	return list[s.random.IntN(len(list))]
}

// Served records that a router had a request of a service answered.
func (s *Selector) Served(service, address string, now time.Time) {
	s.change(service, address, now, record{servedUntil: now.Add(servedTime)})
}

// Takers returns among how many routers the requests of a service are spread: those that served
// some lately, or all that may if these are few.
func (s *Selector) Takers(service string, routers []Router, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	serving, able := 0, 0
	for _, r := range routers {
		rec := known[r.Address]
		if now.Before(rec.servedUntil) {
			serving++
		}
		if !r.Leaving && !rec.isUnable(now) && !s.isUnreachable(r, now) {
			able++
		}
	}
	if serving >= enoughServing {
		return serving
	}
	return max(serving, able)
}

// Full records that a router had no room for a request of a service.
func (s *Selector) Full(service, address string, now time.Time) {
	s.mu.Lock()
	old := s.services[service][address]
	s.mu.Unlock()
	old.fullUntil = now.Add(fullTime)
	s.change(service, address, now, old)
}

// Unable records that a router could not serve a request of a service.
func (s *Selector) Unable(service, address string, now time.Time) {
	s.change(service, address, now, record{unableAt: now})
}

func (s *Selector) change(service, address string, now time.Time, rec record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.services[service]
	if known == nil {
		known = make(map[string]record)
		s.services[service] = known
	}
	for other, r := range known {
		if !r.isUnable(now) && now.After(r.servedUntil) {
			delete(known, other)
		}
	}
	known[address] = rec
	// It answered.
	delete(s.unreachable, address)
}

// Unreachable records that a router was not reached, or broke off, and is not to be asked
// for a time, for any service.
func (s *Selector) Unreachable(address string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for other, u := range s.unreachable {
		if now.After(u.until) {
			delete(s.unreachable, other)
		}
	}
	s.unreachable[address] = unreachable{now.Add(unreachableTime), now}
}
