// Package roles tells which of the routers hold a role that only a few are to hold, such as that of
// reading a list for all. They are the first by rendezvous on the role's key, so that none has to be told.
package roles

import (
	"cmp"
	"slices"

	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// Routers are the routers that may hold a role, as one of them knows them.
type Routers struct {
	// Self is the hash of the name of the router that asks, which may hold the role too.
	Self uint64
	// Live are the others that are live.
	Live []fleet.Instance
}

// Holds tells whether the router that asks is among the first n by rendezvous on key. Views that differ
// make them a few more than n for a while.
func (r Routers) Holds(key string, n int) bool {
	hash := placement.Hash(key)
	own := placement.Rank(hash, r.Self)
	before := 0
	for _, other := range r.Live {
		if placement.Rank(hash, placement.Hash(other.Name)) > own {
			before++
		}
	}
	return before < n
}

// Others returns the first n of the others by rendezvous on key, in the order in which the router that asks
// turns to them: each keeps to one while it answers, and they share the work.
func (r Routers) Others(key string, n int) []fleet.Instance {
	first := slices.SortedFunc(slices.Values(r.Live), byRank(placement.Hash(key)))
	first = first[:min(len(first), n)]
	slices.SortFunc(first, byRank(r.Self))
	return first
}

func byRank(key uint64) func(a, b fleet.Instance) int {
	return func(a, b fleet.Instance) int {
		return cmp.Compare(placement.Rank(key, placement.Hash(b.Name)), placement.Rank(key, placement.Hash(a.Name)))
	}
}
