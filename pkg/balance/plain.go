package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// remotePenalty is the cost of sending a request to another data centre, in requests.
const remotePenalty = 1.5

// pickPlain chooses a replica of a service that keeps no state between requests.
func (b *Balancer) pickPlain(q Request, left []*replica, now time.Time) (*replica, Reason) {
	// A random order lets routers with the same information choose differently.
	b.random.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	if i := slices.IndexFunc(left, func(r *replica) bool { return r.reported.isAvoided(now) }); i >= 0 {
		b.verifyWanted(left[i], now)
	}
	sound := b.leastBad(left, now)
	reason := ByRate
	chosen, known := b.drawByRate(q, sound, now)
	switch {
	case known:
	case b.largeFleet:
		chosen, reason = b.drawByLoad(q, sound, now), LeastLoaded
	default:
		chosen, reason = b.leastPlainLoad(q, sound, now), LeastLoaded
	}
	if b.isSuspect(chosen, now) {
		reason = LastResort
	}
	return chosen, reason
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

// plainLoad is a replica's load, with a penalty for another data centre.
func (b *Balancer) plainLoad(q Request, r *replica, now time.Time) float64 {
	if r.DataCentre != q.DataCentre {
		return math.Floor(b.load(r, now)) + remotePenalty
	}
	return math.Floor(b.load(r, now))
}

func (b *Balancer) leastPlainLoad(q Request, list []*replica, now time.Time) *replica {
	return slices.MinFunc(list, func(x, y *replica) int {
		return cmp.Compare(b.plainLoad(q, x, now), b.plainLoad(q, y, now))
	})
}

// drawByLoad draws a replica at random; less loaded ones are more likely. In a large
// fleet the counts of other routers are one gossip round old: if all routers took the
// least loaded replica, they would fill it, turn to the next, and fill that.
func (b *Balancer) drawByLoad(q Request, list []*replica, now time.Time) *replica {
	weights := make([]float64, len(list))
	for i, r := range list {
		weights[i] = 1 / (1 + b.plainLoad(q, r, now))
	}
	return b.draw(list, weights)
}

// draw draws a replica at random by weight.
func (b *Balancer) draw(list []*replica, weights []float64) *replica {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	point := b.random.Float64() * total
	for i, weight := range weights {
		if point -= weight; point < 0 {
			return list[i]
		}
	}
	return list[len(list)-1]
}
