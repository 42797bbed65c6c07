package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A cold replica is one that is slow for a time after its start and bears few requests
// a second. It gets nothing while a warm one has room. Beyond that, a few routers may
// send to it, found by rendezvous hashing over all that are known, those behind a cut
// included: a share of each of a large fleet would be a fraction of a request a second,
// and what many may save up in a second is more than it bears.

// ColdBounds are what the users allow all routers to send to a cold replica in any one
// second: Overage times the rate that it bears, and Allowance requests more.
type ColdBounds struct {
	Overage   float64
	Allowance float64
}

const (
	// membershipViews is how many groups of routers may hold different ones for those that
	// may send to a cold replica: before and after a change of the members, or on both
	// sides of a cut. Each group takes its part of the users' bound.
	membershipViews = 2
	// membershipSettleTime is for how long after its start a router sends nothing to cold
	// replicas, since it does not know the others: twice what the members take to be
	// told after a start.
	membershipSettleTime = 4 * time.Second
	// coldBurst is what a router may save up for a cold replica, in requests.
	coldBurst = 1
)

// coldShares is what it takes to divide a cold replica's rate among routers.
type coldShares struct {
	bounds ColdBounds
	// own and others are the hashes of the routers' addresses.
	own    uint64
	others []uint64
	// knownSince is when the routers were first told.
	knownSince time.Time
	// heldBack are the services whose cold replicas are heldBack back.
	heldBack map[string]bool
}

// tokenBucket holds requests that may be sent, up to coldBurst.
type tokenBucket struct {
	spent     float64
	updatedAt time.Time
}

// available returns the requests that may be sent at a time, at a rate a second.
func (u *tokenBucket) available(rate float64, now time.Time) float64 {
	return coldBurst - max(u.spent-rate*now.Sub(u.updatedAt).Seconds(), 0)
}

// take takes one request.
func (u *tokenBucket) take(rate float64, now time.Time) {
	u.spent = coldBurst - u.available(rate, now) + 1
	u.updatedAt = now
}

// SetColdBounds sets what the users allow to be sent to cold replicas.
func (b *Balancer) SetColdBounds(bounds ColdBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.bounds = bounds
}

// SetRouters takes the addresses of all routers that are known, the own one included.
func (b *Balancer) SetRouters(own string, known []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cold.knownSince.IsZero() {
		b.cold.knownSince = now
	}
	b.cold.own = hashString(own)
	b.cold.others = b.cold.others[:0]
	for _, address := range known {
		if address != own {
			b.cold.others = append(b.cold.others, hashString(address))
		}
	}
}

// senderCount is how many routers may send to one cold replica.
func (c *coldShares) senderCount() int {
	most := max(int(c.bounds.Allowance/(membershipViews*coldBurst)), 1)
	return min(most, len(c.others)+1)
}

// rate is what one of them may send in a second.
func (c *coldShares) rate(bears float64) float64 {
	return bears * c.bounds.Overage / float64(membershipViews*c.senderCount())
}

// isSender tells whether this router is one of those that may send to a cold replica.
func (c *coldShares) isSender(r *replica, now time.Time) bool {
	if c.knownSince.IsZero() || now.Sub(c.knownSince) < membershipSettleTime {
		return false
	}
	before := 0
	own := mixBits(c.own ^ r.rankHash)
	for _, other := range c.others {
		if mixBits(other^r.rankHash) > own {
			before++
		}
	}
	return before < c.senderCount()
}

// isCold tells whether a replica bears less than a warm one.
func isCold(r directory.Replica, q Request, now time.Time) bool {
	return q.ColdRate > 0 && now.Before(r.ColdUntil)
}

// candidates returns the replicas that may get a request: the warm ones, and where
// none of them has room also the cold ones to which this router may send one.
func (b *Balancer) candidates(q Request, all []*replica, bound float64, now time.Time) []*replica {
	left := make([]*replica, 0, len(all))
	var cold []*replica
	for _, r := range all {
		switch {
		case slices.Contains(q.Tried, r.ID):
		case isCold(r.Replica, q, now):
			b.cold.heldBack[q.Service] = true
			cold = append(cold, r)
		default:
			left = append(left, r)
		}
	}
	hasRoom := func(r *replica) bool { return b.isEligible(r, bound, now) }
	if len(cold) == 0 || slices.ContainsFunc(left, hasRoom) {
		return left
	}
	rate := b.cold.rate(q.ColdRate)
	for _, r := range cold {
		if r.allowance.available(rate, now) >= 1 && b.cold.isSender(r, now) {
			left = append(left, r)
		}
	}
	return left
}

// spendColdAllowance takes a request from the allowance of a chosen replica that is cold, and
// returns the reason of the choice.
func (b *Balancer) spendColdAllowance(chosen *replica, q Request, reason Reason, now time.Time) Reason {
	if !isCold(chosen.Replica, q, now) {
		return reason
	}
	chosen.allowance.take(b.cold.rate(q.ColdRate), now)
	return Cold
}

// maxIdleFraction is the part of the replicas beyond which idle ones strain the others.
const maxIdleFraction = 0.1

// CapacityReduced tells whether many replicas are idle, being evacuated or held back while they
// are cold, so that the others are nearer to the users' bound: routers are to know sooner
// what each runs.
func (b *Balancer) CapacityReduced(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	idle := 0
	for _, r := range b.replicas {
		if r.Evacuated || b.cold.heldBack[r.Service] && now.Before(r.ColdUntil) {
			idle++
		}
	}
	return float64(idle) > maxIdleFraction*float64(len(b.replicas))
}
