package balance

import (
	"slices"
	"time"
)

// AvailableIn tells in what time a replica of a service is first to be given work again: 0
// if one may have it now. It returns false if no such time is known: none is listed,
// or all are in data centres that are silent, or excluded.
func (b *Balancer) AvailableIn(service string, excluded []string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, known := time.Duration(0), false
	for _, r := range b.services[service] {
		if b.silentCentres[r.DataCentre] || slices.Contains(excluded, r.ID) {
			continue
		}
		if in := b.remainingAvoidance(r, now); !known || in < first {
			first, known = in, true
		}
	}
	return first, known
}

// remainingAvoidance is how long a replica, or its data centre, is still to be avoided.
func (b *Balancer) remainingAvoidance(r *replica, now time.Time) time.Duration {
	until := r.health.avoidUntil
	if c := b.centreHealth[r.DataCentre]; c != nil && c.avoidUntil.After(until) {
		until = c.avoidUntil
	}
	return max(until.Sub(now), 0)
}
