package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// sharedParts returns the parts of a prompt that other requests have too.
func sharedParts(parts []Part) []Part {
	if len(parts) > 1 {
		return parts[:len(parts)-1]
	}
	return parts
}

// homeKey returns the key that determines a prompt's home: its last shared part.
func homeKey(parts []Part) uint64 {
	parts = sharedParts(parts)
	return parts[len(parts)-1].ID
}

// homeRank is the weight of an engine for a part. The engine with the highest is its
// home.
func homeRank(r *replica, key uint64) uint64 { return mixBits(r.rankHash ^ key) }

// firstByRank returns the engine with the highest rank for a part among those for which
// wanted is true, or nil. It calls wanted for few engines only.
func firstByRank(list []*replica, key uint64, wanted func(*replica) bool) *replica {
	var first *replica
	var rank uint64
	for _, r := range list {
		own := homeRank(r, key)
		if (first == nil || own > rank) && wanted(r) {
			first, rank = r, own
		}
	}
	return first
}

// pickEngine prefers an engine that is known to hold the prompt's shared parts, in rank
// order, and otherwise takes the first in rank order. Preferring holders lets parts stay
// where they are when engines join. home is the first in rank order. A holder in the
// router's own data centre comes first, and a small prompt is kept in each data centre.
//
// If no engine is both healthy and below the bound, the choice among the engines of last
// resort is made in the same way, with a bound of their own: parts spread over all of them
// by load alone would have to be copied or read again. chosen is nil if all are full.
func (b *Balancer) pickEngine(q Request, left []*replica, bound float64, now time.Time) (chosen, home *replica, reason Reason) {
	key := homeKey(q.Parts)
	home = firstByRank(left, key, func(*replica) bool { return true })
	fits := func(r *replica) bool { return b.isEligible(r, bound, now) && !b.isFull(r, now) }
	lastResort := !slices.ContainsFunc(left, fits)
	if lastResort {
		if left = b.lastResortEngines(left, bound, now); len(left) == 0 {
			return nil, home, LastResort
		}
		if b.disabled.Has(mechanism.LastResort) {
			return b.leastLoaded(left, now), home, LastResort
		}
		own := b.boundAmong(left, now)
		fits = func(r *replica) bool { return b.load(r, now) < own }
	}
	var near []*replica
	for _, r := range left {
		if r.DataCentre == q.DataCentre {
			near = append(near, r)
		}
	}
	if !lastResort && !b.prefersNear(near, left, bound, now) {
		near = nil
	}
	chosen, held := b.pickHolderOrHome(near, key, fits, bound, now)
	if (held || chosen != nil && keptPerDataCentre(q.Parts)) && !b.disabled.Has(mechanism.Near) {
		return chosen, home, reasonFor(chosen, home, Near, lastResort)
	}
	chosen, held = b.pickHolderOrHome(left, key, fits, bound, now)
	if held {
		return chosen, home, reasonFor(chosen, home, Holder, lastResort)
	}
	return chosen, home, reasonFor(chosen, home, Diverted, lastResort)
}

// pickHolderOrHome returns the first eligible engine that is known to hold a part, else
// the first eligible one, or nil; if the part is spread, one of the next ones. held
// reports whether a holder was found.
//
// A part without a known holder goes to its first home only: a second home would read it
// again, which costs more than waiting for the first reading.
func (b *Balancer) pickHolderOrHome(list []*replica, key uint64, fits func(*replica) bool, bound float64, now time.Time) (first *replica, held bool) {
	first = firstByRank(list, key, func(r *replica) bool {
		return b.holders.holds(key, r.ID, now) && fits(r)
	})
	held = first != nil
	if !held {
		first = firstByRank(list, key, fits)
	}
	return b.pickAmongHomes(list, key, fits, first, bound, now), held
}

// leastLoaded returns the replica with the least load.
func (b *Balancer) leastLoaded(list []*replica, now time.Time) *replica {
	return slices.MinFunc(list, func(x, y *replica) int {
		return cmp.Compare(b.load(x, now), b.load(y, now))
	})
}

// reasonFor returns why an engine was chosen: as a last resort, as the first in rank
// order, or for another reason.
func reasonFor(chosen, home *replica, other Reason, lastResort bool) Reason {
	switch {
	case lastResort:
		return LastResort
	case chosen == home:
		return Home
	}
	return other
}

// lastResortEngines returns the engines to choose among if none is both healthy and below
// the bound: the least bad ones of which some are below it, or else all that are within
// reach, but none that is full.
func (b *Balancer) lastResortEngines(list []*replica, bound float64, now time.Time) []*replica {
	list = slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return b.isFull(r, now) })
	below := slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return b.load(r, now) >= bound })
	if group := b.leastBad(below, now); len(group) > 0 && b.badness(group[0], now) < badUnreachable {
		return group
	}
	if reached := slices.DeleteFunc(slices.Clone(list), func(r *replica) bool { return b.badness(r, now) >= badUnreachable }); len(reached) > 0 {
		return reached
	}
	return b.leastBad(list, now)
}

// fullFactor is how many requests for each of its slots make an engine full: what waits
// beyond that takes about as long to begin as a quarter of a request takes to run.
const fullFactor = 1.25

// isFull reports whether an engine has no room for a further request.
func (b *Balancer) isFull(r *replica, now time.Time) bool {
	return r.Slots > 0 && b.load(r, now) >= fullFactor*float64(r.Slots)
}

func (b *Balancer) isEligible(r *replica, bound float64, now time.Time) bool {
	return !b.isSuspect(r, now) && b.load(r, now) < bound
}

// copySource returns the address from which an engine can copy what it lacks of a
// prompt's shared parts, or "" if there is nothing to copy.
func (b *Balancer) copySource(chosen *replica, parts []Part, now time.Time) string {
	parts = sharedParts(parts)
	last := len(parts) - 1
	if b.holders.holds(parts[last].ID, chosen.ID, now) {
		return ""
	}
	if r := b.otherHolder(chosen, parts[last].ID, now); r != nil {
		return r.Address
	}
	// No holder is known, though there may be one. Most likely it is the first home or,
	// if the first home itself was chosen and has joined recently, the next one.
	likely := b.likelyHolder(chosen, parts[last].ID, now)
	isFirstHome := likely == nil || homeRank(chosen, parts[last].ID) > homeRank(likely, parts[last].ID)
	if likely != nil && (b.holdersUnknown() && !isFirstHome || chosen.joinedRecently(now)) {
		return likely.Address
	}
	// The part seems to be new to all engines, but the parts before it may be held.
	for i := last - 1; i >= 0; i-- {
		if b.holders.holds(parts[i].ID, chosen.ID, now) {
			return ""
		}
		if r := b.otherHolder(chosen, parts[i].ID, now); r != nil {
			return r.Address
		}
	}
	if likely == nil {
		return ""
	}
	return likely.Address
}

// otherHolder returns the reachable engine, other than chosen, that was last known to
// read a part, or nil. Listed engines come first.
func (b *Balancer) otherHolder(chosen *replica, part uint64, now time.Time) *replica {
	var left *replica
	for _, id := range b.holders.list(part, now) {
		r := b.copyableReplica(id, now)
		switch {
		case r == nil || r == chosen:
		case b.replicas[id] != nil:
			return r
		case left == nil:
			left = r
		}
	}
	return left
}

// likelyHolder returns the reachable engine, other than chosen, that ranks first for a
// part, or nil. Draining engines count, since one may have been the home until recently.
func (b *Balancer) likelyHolder(chosen *replica, part uint64, now time.Time) *replica {
	var first *replica
	var rank uint64
	for _, r := range b.replicas {
		if r == chosen || r.Service != chosen.Service {
			continue
		}
		if own := homeRank(r, part); (first == nil || own > rank) && !b.isUnreachable(r, now) {
			first, rank = r, own
		}
	}
	return first
}

// isUnreachable reports whether a replica can't even be copied from. It is equivalent to
// a badness of at least badUnreachable, but it is evaluated for all replicas of a service
// on each choice.
func (b *Balancer) isUnreachable(r *replica, now time.Time) bool {
	return r.health.kind >= Refused && r.health.isAvoided(now) || r.isCutOff(now)
}
