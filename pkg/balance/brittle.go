package balance

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// The replicas of a service may state that they are brittle: one that has to turn away more
// requests in a second than it states ends. How many it lets wait meanwhile is not known,
// so routers count on its slots only:
//
//	no more routers than slots -> each router uses its part of the slots of each replica
//	more routers than slots    -> each slot of the service belongs to one router, to which
//	    the others hand their requests
//	after a rejection          -> the replica gets nothing from this router until its part
//	    of the rejections that the replica bears allows for another one
//
// A router that reaches no replica lends its part to those that serve its requests.
//
// Counts of other routers are old: many that see the same idle slot would use it at once. So
// nothing rests on them.

const (
	// rejectionFraction is the part of the rejections that a replica bears that all routers
	// together may cause. The rest is for counts of routers that differ.
	rejectionFraction = 0.5
	// slotFraction is the part of the slots that is divided: requests that were given up may
	// take some for a moment longer.
	slotFraction = 0.8
	// sparePause is after what time a replica that is spared may have a free slot.
	sparePause = 10 * time.Millisecond
)

// SetLeavingRouters sets the addresses of the routers that announced their stop. Callers use
// open connections to them until they end, so their parts of brittle replicas stay theirs.
func (b *Balancer) SetLeavingRouters(addresses []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leavingRouters = b.leavingRouters[:0]
	for _, address := range addresses {
		if hash := hashString(address); !slices.Contains(b.coldShares.others, hash) {
			b.leavingRouters = append(b.leavingRouters, hash)
		}
	}
}

// routerCount returns the number of routers that share brittle replicas: those that this
// router knows, itself included, and those that are leaving; after a start not less than there
// were.
func (b *Balancer) routerCount() int {
	return max(len(b.coldShares.others)+len(b.leavingRouters)+1, b.formerRouters)
}

// routerRank returns how many of them come before this router.
func (b *Balancer) routerRank() int {
	if !b.hasMet() {
		return b.hashRank(b.coldShares.own)
	}
	rank := b.coldShares.ownRank
	for _, hash := range b.leavingRouters {
		if hash < b.coldShares.own {
			rank++
		}
	}
	return rank
}

// hasMet reports whether this router knows nearly all of those that were at work before its start.
func (b *Balancer) hasMet() bool {
	return float64(len(b.coldShares.others)+1) >= metFraction*float64(b.formerRouters)
}

// hashRank returns about how many routers come before one, by the hash of its address only: the others
// are not known yet.
func (b *Balancer) hashRank(hash uint64) int {
	rank, _ := bits.Mul64(hash, uint64(b.routerCount()))
	return int(rank)
}

// rejectionRate returns how many rejections in a second this router may cause at a replica.
func (b *Balancer) rejectionRate(stated brittleness) float64 {
	return stated.bears * rejectionFraction / float64(b.routerCount())
}

// mustSpare reports whether this router must not send a request to a brittle replica, since
// it might be turned away.
func (b *Balancer) mustSpare(r *replica, now time.Time) bool {
	stated, is := b.brittleOf(r.Service, now)
	if !is {
		return false
	}
	if !r.lastRejection.IsZero() && r.rejections.available(b.rejectionRate(stated), now) < 1 {
		return true
	}
	if r.Slots == 0 {
		return false
	}
	if now.Before(b.lentUntil[r.Service]) {
		return true
	}
	return float64(r.running) >= b.share(r, b.lentTo(r.Service, now))
}

// ShareUsed reports whether this router spares a brittle replica of a service only because its own
// part of the slots is in use. Other routers may have room there.
func (b *Balancer) ShareUsed(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, is := b.brittleOf(service, now); !is || now.Before(b.lentUntil[service]) {
		return false
	}
	return slices.ContainsFunc(b.services[service], func(r *replica) bool {
		return r.Slots > 0 && float64(r.running) >= b.share(r, b.lentTo(service, now))
	})
}

// OwnsRoom returns a function that reports whether slots of the brittle replicas of a service belong
// to another router, at an address. They do to all if there are as many slots as routers.
func (b *Balancer) OwnsRoom(service string) func(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slots, routers := b.slotsOf(service).total, b.routerCount()
	if !b.hasMet() {
		return func(address string) bool {
			first, end := slotRange(b.hashRank(hashString(address)), routers, slots)
			return first < end
		}
	}
	known := slices.Concat(b.coldShares.others, b.leavingRouters, []uint64{b.coldShares.own})
	slices.Sort(known)
	return func(address string) bool {
		rank, _ := slices.BinarySearch(known, hashString(address))
		first, end := slotRange(rank, routers, slots)
		return first < end
	}
}

// slotRange returns which of some slots belong to the router of a rank among others.
func slotRange(rank, routers, slots int) (first, end int) {
	return (rank*slots + routers - 1) / routers, ((rank+1)*slots + routers - 1) / routers
}

// ownSlots returns how many slots of a replica belong to this router. The slots of all
// replicas of the service, in the order of their ids, are divided evenly among the routers,
// in the order of the hashes of their addresses.
func (b *Balancer) ownSlots(r *replica) int {
	slots := b.slotsOf(r.Service)
	before := slots.before[r]
	first, end := slotRange(b.routerRank(), b.routerCount(), slots.total)
	return max(min(end, before+b.dividedSlots(r))-max(first, before), 0)
}

// loan is what a router lends its share of: to the other router, or from it. lentShare is the
// part of the share.
type (
	loan      struct{ service, router string }
	lentShare struct {
		part  float64
		until time.Time
	}
)

const (
	// loanTime is how long a share is lent with one request. Under load the next one follows
	// within some ms.
	loanTime = 200 * time.Millisecond
	// loanMargin is how much longer the lender does not use its share itself: a loan begins when
	// the request arrives, and what it let in takes some time to end.
	loanMargin = 100 * time.Millisecond
)

// LendShare records that this router leaves a part of its share of brittle replicas to another
// one, with a request that it relays, and uses the share no more itself. It returns the part
// that it can leave: its own requests that still run and the parts that others have take up
// the rest.
func (b *Balancer) LendShare(service, router string, part float64, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lentOut, func(_ loan, l lentShare) bool { return !now.Before(l.until) })
	free := b.unusedShare(service)
	for l, share := range b.lentOut {
		if l.service == service && l.router != router {
			free -= share.part
		}
	}
	part = min(part, max(free, 0))
	until := now.Add(loanTime + loanMargin)
	b.lentUntil[service] = until
	b.lentOut[loan{service, router}] = lentShare{part, until}
	return part
}

// unusedShare returns the part of this router's share that none of its requests uses, at the
// replica where it uses most.
func (b *Balancer) unusedShare(service string) float64 {
	unused := 1.0
	for _, r := range b.services[service] {
		if r.running == 0 || r.Slots == 0 {
			continue
		}
		unused = min(unused, 1-float64(r.running)/max(b.share(r, 0), float64(r.running)))
	}
	return unused
}

// share returns how many slots of a brittle replica this router may use, with a number of
// shares that are lent to it.
func (b *Balancer) share(r *replica, lent float64) float64 {
	routers := b.routerCount()
	if b.othersServe && !b.hasMet() {
		return 0
	}
	if routers <= r.Slots {
		divided := slotFraction * float64(r.Slots)
		// What is left over goes to other routers at each replica.
		rank := (b.routerRank() + int(r.rankHash%uint64(routers))) % routers
		first, end := slotRange(rank, routers, max(int(divided), routers))
		return float64(end - first + int(lent*divided/float64(routers)))
	}
	return float64(b.ownSlots(r) + int(lent*float64(r.Slots)/float64(routers)))
}

// ShareLent records that a router which reaches no replica of a service, and relays a request of
// it to this one, leaves a part of its share of brittle replicas to this one. A later part
// replaces it.
func (b *Balancer) ShareLent(service, router string, part float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lent, func(_ loan, l lentShare) bool { return !now.Before(l.until) })
	if part >= 0 && part <= 1 {
		b.lent[loan{service, router}] = lentShare{part, now.Add(loanTime)}
	}
}

// lentTo returns how many routers' shares of a service are lent to this one.
func (b *Balancer) lentTo(service string, now time.Time) float64 {
	sum := 0.0
	for l, share := range b.lent {
		if l.service == service && now.Before(share.until) {
			sum += share.part
		}
	}
	return min(sum, float64(b.routerCount()-1))
}

// serviceSlots are the slots of a service's replicas: before each of them, in the order of
// their ids, and in total.
type serviceSlots struct {
	before map[*replica]int
	total  int
}

// dividedSlots returns how many slots of a replica are divided among more routers than that. Until
// routers have met, some slots belong to several of them.
func (b *Balancer) dividedSlots(r *replica) int {
	if b.formerRouters > 0 {
		return (r.Slots + 1) / 2
	}
	return r.Slots
}

// slotsOf returns the slots of a service, which are kept until its replicas change.
func (b *Balancer) slotsOf(service string) serviceSlots {
	slots, known := b.slots[service]
	if known {
		return slots
	}
	slots.before = make(map[*replica]int)
	for _, r := range b.services[service] {
		slots.before[r] = slots.total
		slots.total += b.dividedSlots(r)
	}
	b.slots[service] = slots
	return slots
}

// recordRejection records that a replica turned a request of this router away.
func (b *Balancer) recordRejection(r *replica, now time.Time) {
	stated, is := b.brittleOf(r.Service, now)
	if !is {
		return
	}
	r.rejections.take(b.rejectionRate(stated), now)
	r.lastRejection = now
}
