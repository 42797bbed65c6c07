package balance

import (
	"slices"
	"time"
)

// AvailableIn returns how long it takes until a replica of a service may get work again:
// 0 if one may have it now. It returns false if that time is unknown: no replica is
// listed, or all are excluded or in silent data centres.
func (b *Balancer) AvailableIn(service string, excluded []string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, known := time.Duration(0), false
	for _, r := range b.services[service] {
		if r.centre.silent || slices.Contains(excluded, r.ID) {
			continue
		}
		if in := b.remainingAvoidance(r, now); !known || in < first {
			first, known = in, true
		}
	}
	return first, known
}

// remainingAvoidance returns how long a replica or its data centre is still avoided.
func (b *Balancer) remainingAvoidance(r *replica, now time.Time) time.Duration {
	until := r.health.avoidUntil
	if r.reported.avoidUntil.After(until) {
		until = r.reported.avoidUntil
	}
	if c := r.centre.health.avoidUntil; c.After(until) {
		until = c
	}
	least := time.Duration(0)
	if b.mustSpare(r, now) {
		least = sparePause
	}
	return max(until.Sub(now), least)
}
