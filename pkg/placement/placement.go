// Package placement decides which engine serves a request.
//
// The decision has two halves, made by two routers that share no memory:
//
//	edge                               owner
//	token, prefix or chat              exact count of its engines' requests
//	  -> group (Layout.Choose)           -> engine (PickEngine)
//	  lagged load of each group          hard bound on every engine
//
// The engines of one pool (one model in one data centre) are divided into
// groups of about ten, and each group is owned by one router. Both divisions
// are rendezvous hashing over what the router sees alive, so no message is
// needed to agree on them. Ownership is a hint for exactness: two routers that
// both believe they own a group are safe, and each just sees part of its load.
//
// Edges that each pick engines by reported load herd: all read the same lagged report
// and pick the same engine (docs/design/placement.md).
//
// The package does no I/O. Time and randomness come from the caller.
package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash maps a name to the 64 bit value that all rendezvous scores start from.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// score is the rendezvous weight of node for key: uniform and independent for
// each pair.
func score(key, node uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], node)
	return xxhash.Sum64(pair[:])
}

// weightedScore is rendezvous hashing with weights: the chance that a node has
// the highest score is its share of the sum of the weights.
func weightedScore(key, node uint64, weight float64) float64 {
	const top53 = 1 << 53
	uniform := (float64(score(key, node)>>11) + 0.5) / top53
	return -weight / math.Log(uniform)
}

// Owner returns the router that owns the group: the highest rendezvous score.
// It returns -1 for an empty list. routers holds hashes of router names.
func Owner(group uint64, routers []uint64) int {
	best := -1
	var bestScore uint64
	for i, router := range routers {
		s := score(group, router)
		if best < 0 || s > bestScore {
			best = i
			bestScore = s
		}
	}
	return best
}

// Rank is the rendezvous weight of a node for a key: sorting nodes by it,
// largest first, gives the order in which they are to take the key's role.
func Rank(key, node uint64) uint64 {
	return score(key, node)
}
