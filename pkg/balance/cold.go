package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A cold replica is slow for a time after its start and can take only a few requests a
// second. It gets no requests while a warm replica has room. Beyond that, only a few
// routers may send to it, chosen by rendezvous hashing over all known routers, including
// those behind a network partition. If every router of a large fleet had a share, each
// would get a fraction of a request a second, and what all of them could save up in a
// second would exceed what the replica can take.

// ColdBounds limit what users allow all routers together to send to a cold replica in any
// one second: Overage times its rate, plus Allowance requests.
type ColdBounds struct {
	Overage   float64
	Allowance float64
}

const (
	// membershipViews is how many groups of routers may disagree on which routers send to
	// a cold replica: before and after a membership change, or on both sides of a network
	// partition. Each group gets its part of the users' bound.
	membershipViews = 2
	// membershipSettleTime is how long after its start a router sends nothing to cold
	// replicas, since it does not know the other routers yet: twice what the membership
	// takes to spread after a start.
	membershipSettleTime = 4 * time.Second
	// coldBurst is how many requests a router may save up for a cold replica.
	coldBurst = 1
)

// coldShares divides a cold replica's rate among routers.
type coldShares struct {
	bounds ColdBounds
	// own and others are the hashes of the routers' addresses.
	own    uint64
	others []uint64
	// ownRank is how many of the others have a lower hash.
	ownRank int
	// knownSince is when the routers were first set.
	knownSince time.Time
	// seedsKnown is how many of the seeds this router has known for membershipSettleTime; risesTo
	// is how many it knows now, of which it is sure at risesAt.
	seedsKnown, seeds int
	risesTo           int
	risesAt           time.Time
	// heldBack holds the services whose cold replicas are held back.
	heldBack map[string]bool
}

// tokenBucket limits requests to a rate, with a burst of coldBurst.
type tokenBucket struct {
	spent     float64
	updatedAt time.Time
}

// available returns how many requests may be sent now, given a rate per second.
func (u *tokenBucket) available(rate float64, now time.Time) float64 {
	return coldBurst - max(u.spent-rate*now.Sub(u.updatedAt).Seconds(), 0)
}

// take takes one request from the bucket.
func (u *tokenBucket) take(rate float64, now time.Time) {
	u.spent = coldBurst - u.available(rate, now) + 1
	u.updatedAt = now
}

// SetColdBounds sets what users allow to be sent to cold replicas.
func (b *Balancer) SetColdBounds(bounds ColdBounds) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldShares.bounds = bounds
}

// SetRouters sets the addresses of all known routers, including this one.
func (b *Balancer) SetRouters(own string, known []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.coldShares.knownSince.IsZero() {
		b.coldShares.knownSince = now
	}
	b.coldShares.own = hashString(own)
	b.coldShares.others, b.coldShares.ownRank = b.coldShares.others[:0], 0
	for _, address := range known {
		if address == own {
			continue
		}
		hash := hashString(address)
		b.coldShares.others = append(b.coldShares.others, hash)
		if hash < b.coldShares.own {
			b.coldShares.ownRank++
		}
	}
	b.forgetFormer(now)
}

// SetSeedsKnown sets how many of the seeds this router knows, itself included. What a greater number
// stands for takes effect once the other routers have learned of each other as well.
func (b *Balancer) SetSeedsKnown(known, seeds int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetFormer(now)
	c := &b.coldShares
	switch {
	case c.seeds != seeds || known <= c.seedsKnown:
		c.seedsKnown, c.risesTo = known, known
	case known != c.risesTo:
		c.risesTo, c.risesAt = known, now.Add(membershipSettleTime)
	case !now.Before(c.risesAt):
		c.seedsKnown = known
	}
	c.seeds = seeds
}

// part returns the part of the whole fleet that the routers which this one knows stand for.
// Others may be at work behind a partition if it does not know all seeds.
func (c *coldShares) part() float64 {
	if c.seeds == 0 {
		return 1
	}
	return float64(c.seedsKnown) / float64(c.seeds)
}

// senderCount returns how many routers may send to one cold replica.
func (c *coldShares) senderCount() int {
	most := max(int(c.part()*c.bounds.Allowance/(membershipViews*coldBurst)), 1)
	return min(most, len(c.others)+1)
}

// rate returns what one of them may send in a second, given the replica's rate.
func (c *coldShares) rate(replicaRate float64) float64 {
	senders, part := float64(c.senderCount()), c.part()
	total := part * replicaRate * c.bounds.Overage / membershipViews
	if part < 1 {
		// There may be a group for each seed, and each sender saves up a request.
		total = min(total, part*(replicaRate*c.bounds.Overage+c.bounds.Allowance)/membershipViews-senders*coldBurst)
	}
	return max(total, 0) / senders
}

// isSender reports whether this router is one of those that may send to a cold replica, at a rate.
func (c *coldShares) isSender(r *replica, rate float64, now time.Time) bool {
	if rate <= 0 || c.knownSince.IsZero() || now.Sub(c.knownSince) < membershipSettleTime {
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

// isCold reports whether a replica can take fewer requests than a warm one.
func isCold(r directory.Replica, q Request, now time.Time) bool {
	return q.ColdRate > 0 && now.Before(r.ColdUntil)
}

// candidates returns the replicas that may get a request: the warm ones and, if none of
// them has room, also the cold ones to which this router may send.
//
// A stream that goes on at its version is not held back from cold replicas: it has no others.
func (b *Balancer) candidates(q Request, all []*replica, bound float64, now time.Time) []*replica {
	left := make([]*replica, 0, len(all))
	var cold []*replica
	for _, r := range all {
		switch {
		case slices.Contains(q.Tried, r.ID), b.mustSpare(r, now):
		case isCold(r.Replica, q, now) && !q.OnlyVersion:
			b.coldShares.heldBack[q.Service] = true
			cold = append(cold, r)
		default:
			left = append(left, r)
		}
	}
	hasRoom := func(r *replica) bool { return b.isEligible(r, bound, now) }
	if len(cold) == 0 || slices.ContainsFunc(left, hasRoom) {
		return left
	}
	rate := b.coldShares.rate(q.ColdRate)
	for _, r := range cold {
		if r.allowance.available(rate, now) >= 1 && b.coldShares.isSender(r, rate, now) {
			left = append(left, r)
		}
	}
	return left
}

// spendColdAllowance takes a request from the allowance of the chosen replica if it is
// cold, and returns the reason for the choice.
func (b *Balancer) spendColdAllowance(chosen *replica, q Request, reason Reason, now time.Time) Reason {
	if !isCold(chosen.Replica, q, now) {
		return reason
	}
	chosen.allowance.take(b.coldShares.rate(q.ColdRate), now)
	return Cold
}

// maxIdleFraction is the fraction of idle replicas above which the others count as
// strained.
const maxIdleFraction = 0.1

// CapacityReduced reports whether many replicas are idle because they are evacuated, held
// back while cold, or of a version that gets little. The others are then closer to the users' bound, so routers must
// exchange their counts sooner.
func (b *Balancer) CapacityReduced(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	idle := b.evacuatedCount + b.idleVersions(now)
	for r := range b.cold {
		switch {
		case !now.Before(r.ColdUntil):
			delete(b.cold, r)
		case !r.Evacuated && b.coldShares.heldBack[r.Service]:
			idle++
		}
	}
	return float64(idle) > maxIdleFraction*float64(len(b.replicas))
}
