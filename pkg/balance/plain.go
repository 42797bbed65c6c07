package balance

import (
	"math"
	"slices"
	"time"
)

// pickPlain chooses a replica of a service that keeps no state between requests.
//
// Only this router's own requests are compared. What other routers and the replicas report is as old
// as a gossip round or an answer, and all routers act on it alike: they would fill the replicas that
// it shows as idle until the next report, and leave the others without work.
func (b *Balancer) pickPlain(q Request, left []*replica, now time.Time) (*replica, Reason) {
	// A random order lets routers with the same information choose differently.
	b.random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	if i := slices.IndexFunc(left, func(r *replica) bool { return r.reported.isAvoided(now) }); i >= 0 {
		b.verifyWanted(left[i], now)
	}
	sound := b.leastBad(left, now)
	weights, reason := b.plainWeights(q, sound, now)
	chosen := b.lighterOfTwo(sound, weights)
	if b.isSuspect(chosen, now) {
		reason = LastResort
	}
	return chosen, reason
}

// plainWeights returns the parts of the requests that replicas should get: by the rates at which
// they answer, or by their slots if these are not known.
func (b *Balancer) plainWeights(q Request, list []*replica, now time.Time) ([]float64, Reason) {
	if weights, known := b.targetRates(q, list, now); known {
		return weights, ByRate
	}
	weights := make([]float64, len(list))
	for i, r := range list {
		weights[i] = float64(max(r.Slots, 1))
	}
	return weights, LeastLoaded
}

// lighterOfTwo draws two replicas by weight and returns the one at which this router runs fewer
// requests for its weight.
func (b *Balancer) lighterOfTwo(list []*replica, weights []float64) *replica {
	first, second := b.draw(weights), b.draw(weights)
	if float64(list[second].running)/weights[second] < float64(list[first].running)/weights[first] {
		first = second
	}
	return list[first]
}

// leastBad returns the replicas with the lowest badness.
func (b *Balancer) leastBad(list []*replica, now time.Time) []*replica {
	var best []*replica
	least := math.MaxInt
	for _, r := range list {
		bad := b.badness(r, now)
		if bad < least {
			best, least = best[:0], bad
		}
		if bad == least {
			best = append(best, r)
		}
	}
	return best
}

// draw draws an index by weight.
func (b *Balancer) draw(weights []float64) int {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	point := b.random.Float64() * total
	for i, weight := range weights {
		if point -= weight; point < 0 {
			return i
		}
	}
	return len(weights) - 1
}
