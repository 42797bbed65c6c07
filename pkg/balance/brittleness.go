package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

const (
	// brittleLifetime is how long a statement holds without a further one.
	brittleLifetime = 5 * time.Second
	// brittleRepeat is how much later than the last one a statement is told to other routers. What
	// is left of the last one's lifetime suffices for a rumor to reach all.
	brittleRepeat = 2 * time.Second
	// brittleForward is the same for forwarding what another router told. It is less, since routers
	// hear of the last one, of those that several told at once, at different times.
	brittleForward = brittleRepeat / 2
	// recentlyBrittle is for how long after the last statement it is to be recalled after a restart, and
	// recallTime how long a router that started waits for a first answer, which tells.
	recentlyBrittle = time.Minute
	recallTime      = 30 * time.Second
	// meetingTime is how long routers that all start at once need to know nearly all of each other,
	// and metFraction how many that are for each to know its rank.
	meetingTime = 10 * time.Second
	metFraction = 0.875
)

// brittleness is what the replicas of a service stated last.
type brittleness struct {
	// bears is how many rejections in a second a replica survives.
	bears float64
	// at is when they stated it; zero if an answer since did not.
	at time.Time
	// toldAt is when the last statement was made that other routers know.
	toldAt time.Time
	// lastAt is when they stated it last, whatever answers did since.
	lastAt time.Time
	// recalledUntil is until when they count as brittle because they stated it before this router
	// started; zero once an answer has told.
	recalledUntil time.Time
}

// BrittleStatement says how many requests a replica, and each other one of its service, may turn
// away in a second before it ends. At is on the monotonic clock of the router that stores it.
type BrittleStatement struct {
	Replica    uint32
	Rejections int
	At         time.Time
}

// BrittleReported records that an answer of a replica said that it is brittle, and how many
// requests it may turn away in a second. It speaks for all replicas of the service.
func (b *Balancer) BrittleReported(id string, rejections int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	statement := BrittleStatement{ReplicaHash(id), rejections, now}
	if b.recordBrittle(r.Service, statement, brittleRepeat) {
		b.queueBrittle(statement)
	}
}

// SturdyReported records that an answer of a replica did not say that it is brittle.
func (b *Balancer) SturdyReported(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	r.sturdyAt = now
	if stated, found := b.brittle[r.Service]; found {
		stated.at, stated.recalledUntil = time.Time{}, time.Time{}
		b.brittle[r.Service] = stated
	}
}

// recordBrittle records a statement and reports whether it is later than the last one that other
// routers know, by a time at least. b.mu is held.
func (b *Balancer) recordBrittle(service string, s BrittleStatement, later time.Duration) bool {
	stated := b.brittle[service]
	if s.At.Before(stated.at) {
		return false
	}
	stated.bears, stated.at, stated.lastAt, stated.recalledUntil = float64(s.Rejections), s.At, s.At, time.Time{}
	news := s.At.Sub(stated.toldAt) >= later
	if news {
		stated.toldAt = s.At
	}
	b.brittle[service] = stated
	return news
}

// BrittleService is what the replicas of a service stated, and until when that holds.
type BrittleService struct {
	Service    string
	Rejections int
	Until      time.Time
}

// BrittleServices returns the services whose replicas said that they are brittle, sorted.
func (b *Balancer) BrittleServices(now time.Time) []BrittleService {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []BrittleService
	for service, stated := range b.brittle {
		if now.Sub(stated.at) < brittleLifetime {
			list = append(list, BrittleService{service, int(stated.bears), stated.at.Add(brittleLifetime)})
		}
	}
	slices.SortFunc(list, func(x, y BrittleService) int { return cmp.Compare(x.Service, y.Service) })
	return list
}

// LearnBrittle records what replicas stated to another router, as this one starts. The first answer
// to this one replaces it.
func (b *Balancer) LearnBrittle(s BrittleService, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at := now.Add(min(s.Until.Sub(now), brittleLifetime) - brittleLifetime)
	stated := b.brittle[s.Service]
	if !stated.at.Before(at) || b.wasSturdyAfter(s.Service, at) {
		return
	}
	b.othersServe = b.othersServe || !stated.recalledUntil.IsZero()
	stated.bears, stated.at, stated.lastAt, stated.recalledUntil = float64(s.Rejections), at, at, time.Time{}
	b.brittle[s.Service] = stated
}

// RecentBrittle is which services had replicas that stated that they are brittle, and how many routers
// share them.
type RecentBrittle struct {
	// Services is sorted; Until of each is zero.
	Services []BrittleService
	Routers  int
}

// RecentlyBrittle returns the services whose replicas stated within the last minute that they are
// brittle, even if one has answered otherwise since: while the first replicas change, answers differ.
func (b *Balancer) RecentlyBrittle(now time.Time) RecentBrittle {
	b.mu.Lock()
	defer b.mu.Unlock()
	recent := RecentBrittle{Routers: b.routerCount()}
	for service, stated := range b.brittle {
		if now.Sub(stated.lastAt) < recentlyBrittle || now.Before(stated.recalledUntil) {
			recent.Services = append(recent.Services, BrittleService{Service: service, Rejections: int(stated.bears)})
		}
	}
	slices.SortFunc(recent.Services, func(x, y BrittleService) int { return cmp.Compare(x.Service, y.Service) })
	return recent
}

// RecallBrittle records, as a router starts, what was known before. The first answer of a service replaces
// it. Until this router knows as many routers as there were, the replicas are divided among these.
func (b *Balancer) RecallBrittle(recent RecentBrittle, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.firstListedAt.IsZero() && now.Sub(b.firstListedAt) > startupPeriod {
		return
	}
	for _, s := range recent.Services {
		if b.wasSturdyAfter(s.Service, time.Time{}) {
			continue
		}
		b.formerRouters, b.formerUntil = recent.Routers, now.Add(meetingTime)
		clear(b.slots)
		stated, found := b.brittle[s.Service]
		switch {
		case !found || !stated.recalledUntil.IsZero():
			b.brittle[s.Service] = brittleness{bears: float64(s.Rejections), recalledUntil: now.Add(recallTime)}
		case stated.toldAt.IsZero():
			// LearnBrittle came first: toldAt is set by this router's own answers and by rumors.
			b.othersServe = true
		}
	}
}

// forgetFormer ends the time for which replicas are divided as before the start, once it is over or
// as many routers are known. b.mu is held.
func (b *Balancer) forgetFormer(now time.Time) {
	if b.formerRouters > 0 && (len(b.coldShares.others)+1 >= b.formerRouters || !now.Before(b.formerUntil)) {
		b.formerRouters = 0
		clear(b.slots)
	}
}

// queueBrittle queues a statement for the next update. b.mu is held.
func (b *Balancer) queueBrittle(s BrittleStatement) {
	if len(b.pendingRumors.Brittle) < b.maxPending(maxPendingFailures) {
		b.pendingRumors.Brittle = append(b.pendingRumors.Brittle, s)
	}
}

// mergeBrittle takes a statement that another router was given. b.mu is held.
func (b *Balancer) mergeBrittle(s BrittleStatement, now time.Time) {
	r := b.byShortHash[s.Replica]
	if r == nil || b.disabled.Has(mechanism.Rumors) || now.Sub(s.At) >= brittleLifetime || b.wasSturdyAfter(r.Service, s.At) {
		return
	}
	if b.recordBrittle(r.Service, s, brittleForward) && b.largeFleet {
		b.queueBrittle(s)
	}
}

// wasSturdyAfter reports whether an answer since a time did not say that its replica is brittle.
func (b *Balancer) wasSturdyAfter(service string, at time.Time) bool {
	return slices.ContainsFunc(b.services[service], func(r *replica) bool { return r.sturdyAt.After(at) })
}

// brittleOf returns what the replicas of a service stated.
func (b *Balancer) brittleOf(service string, now time.Time) (brittleness, bool) {
	if len(b.brittle) == 0 {
		return brittleness{}, false
	}
	stated, found := b.brittle[service]
	return stated, found && (now.Sub(stated.at) < brittleLifetime || now.Before(stated.recalledUntil))
}
