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
)

// brittleness is what the replicas of a service stated last.
type brittleness struct {
	// bears is how many rejections in a second a replica survives.
	bears float64
	// at is when they stated it; zero if an answer since did not.
	at time.Time
	// toldAt is when the last statement was made that other routers know.
	toldAt time.Time
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
		stated.at = time.Time{}
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
	stated.bears, stated.at = float64(s.Rejections), s.At
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
	for service := range b.brittle {
		if stated, holds := b.brittleOf(service, now); holds {
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
	stated.bears, stated.at = float64(s.Rejections), at
	b.brittle[s.Service] = stated
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
	return stated, found && now.Sub(stated.at) < brittleLifetime
}
