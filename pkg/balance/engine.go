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
		return cmp.Compare(mix(b.hash^key), mix(a.hash^key))
	})
}

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

// homeChoices is how many engines are weighed for a part that nobody holds. Two
// are enough to even out the reading, and keep routers that don't yet know of
// each other's choice together.
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
		if weighed++; weighed == homeChoices {
			break
		}
	}
	return best
}

func (b *Balancer) fits(r *replica, bound float64, now time.Time) bool {
	return !b.suspect(r, now) && b.load(r, now) < bound
}

// source returns where an engine can copy what it lacks of a prompt's shared
// parts from: an engine known to hold the longest beginning of them, else the
// one where they would lie if the chosen one had not been taken.
func (b *Balancer) source(chosen *replica, parts []Part, now time.Time) string {
	parts = shared(parts)
	for i := len(parts) - 1; i >= 0; i-- {
		if b.holders.holds(parts[i].ID, chosen.ID, now) {
			return ""
		}
		for _, id := range b.holders.list(parts[i].ID, now) {
			if r := b.replicas[id]; r != nil && r != chosen && !b.unreachable(r, now) {
				return r.Address
			}
		}
	}
	others := make([]*replica, 0, len(b.services[chosen.Service]))
	for _, r := range b.services[chosen.Service] {
		if r != chosen && !b.unreachable(r, now) {
			others = append(others, r)
		}
	}
	if len(others) == 0 {
		return ""
	}
	sortByHome(others, parts[len(parts)-1].ID)
	return others[0].Address
}

// unreachable tells whether a replica can't even be copied from.
func (b *Balancer) unreachable(r *replica, now time.Time) bool {
	return b.badness(r, now) >= badUnreachable
}
