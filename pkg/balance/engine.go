package balance

import (
	"cmp"
	"slices"
	"time"
)

// shared returns the parts of a prompt that other requests have too.
func shared(parts []Part) []Part {
	if len(parts) > 1 {
		return parts[:len(parts)-1]
	}
	return parts
}

// homeKey names what a prompt's home is chosen by: its last shared part.
func homeKey(parts []Part) uint64 {
	parts = shared(parts)
	return parts[len(parts)-1].ID
}

// sortByHome orders engines for a part: highest random weight first.
func sortByHome(list []*replica, key uint64) {
	slices.SortFunc(list, func(a, b *replica) int {
		return cmp.Compare(homeRank(b, key), homeRank(a, key))
	})
}

// homeRank is the weight of an engine for a part. The highest is its home.
func homeRank(r *replica, key uint64) uint64 { return mix(r.hash ^ key) }

// pickEngine prefers an engine that is known to hold the prompt's shared parts,
// in the common order; else the first in that order. Preferring holders lets
// parts stay where they are when engines join.
func (b *Balancer) pickEngine(q Question, left []*replica, bound float64, now time.Time) (*replica, Reason) {
	key := homeKey(q.Parts)
	sortByHome(left, key)
	for i, r := range left {
		if !b.holders.holds(key, r.ID, now) || !b.fits(r, bound, now) {
			continue
		}
		if i == 0 {
			return r, Home
		}
		return r, Holder
	}
	if r := b.firstHome(left, bound, now); r == left[0] {
		return r, Home
	} else if r != nil {
		return r, Diverted
	}
	return b.leastBad(left, now), LastResort
}

// homeChoices is how many engines are weighed for a part of which no holder is
// known. Two are enough to even out the reading; more would spread the part.
//
// That pays only while all routers hear of each other's choice within a round of
// telling. In a larger fleet a holder is mostly unknown because the news has not
// come yet, and each home that a part goes to reads it again.
const (
	homeChoices = 2
	// muchToRead is by how many tokens the first must be behind: about a tenth
	// of a second of an engine's reading.
	muchToRead = 4096
)

// firstHome chooses where a part is read first: of the first engines in the
// common order, the one that has the least to read.
func (b *Balancer) firstHome(ordered []*replica, bound float64, now time.Time) *replica {
	var best *replica
	least, weighed := 0, 0
	for _, r := range ordered {
		if !b.fits(r, bound, now) {
			continue
		}
		reading := r.reading + b.others(r.short, now).Reading
		if best == nil || reading+muchToRead < least {
			best, least = r, reading
		}
		if weighed++; weighed == homeChoices || b.scarce() {
			break
		}
	}
	return best
}

func (b *Balancer) fits(r *replica, bound float64, now time.Time) bool {
	return !b.suspect(r, now) && b.load(r, now) < bound
}

// source returns where an engine can copy what it lacks of a prompt's shared
// parts from, or an empty text where there is nothing to copy.
func (b *Balancer) source(chosen *replica, parts []Part, now time.Time) string {
	parts = shared(parts)
	last := len(parts) - 1
	if b.holders.holds(parts[last].ID, chosen.ID, now) {
		return ""
	}
	if r := b.holderOtherThan(chosen, parts[last].ID, now); r != nil {
		return r.Address
	}
	// No holder is known, though there may be one. The first home is the likely
	// one; for the first home itself that is the next one, if it joined a moment
	// ago.
	likely := b.likelyHolder(chosen, parts[last].ID, now)
	isFirstHome := likely == nil || homeRank(chosen, parts[last].ID) > homeRank(likely, parts[last].ID)
	if likely != nil && (b.scarce() && !isFirstHome || chosen.isNew(now)) {
		return likely.Address
	}
	// The part is new to all, it seems: what comes before it may be there.
	for i := last - 1; i >= 0; i-- {
		if b.holders.holds(parts[i].ID, chosen.ID, now) {
			return ""
		}
		if r := b.holderOtherThan(chosen, parts[i].ID, now); r != nil {
			return r.Address
		}
	}
	if likely == nil {
		return ""
	}
	return likely.Address
}

// holderOtherThan returns the engine that was last known to read a part, other
// than one and within reach, or nil.
func (b *Balancer) holderOtherThan(chosen *replica, part uint64, now time.Time) *replica {
	for _, id := range b.holders.list(part, now) {
		if r := b.replicas[id]; r != nil && r != chosen && !b.unreachable(r, now) {
			return r
		}
	}
	return nil
}

// likelyHolder returns the first home of a part, other than one and within
// reach, or nil. One that drains was the home until a moment ago.
func (b *Balancer) likelyHolder(chosen *replica, part uint64, now time.Time) *replica {
	var first *replica
	for _, r := range b.replicas {
		if r == chosen || r.Service != chosen.Service || b.unreachable(r, now) {
			continue
		}
		if first == nil || homeRank(r, part) > homeRank(first, part) {
			first = r
		}
	}
	return first
}

// unreachable tells whether a replica can't even be copied from.
func (b *Balancer) unreachable(r *replica, now time.Time) bool {
	return b.badness(r, now) >= badUnreachable
}
