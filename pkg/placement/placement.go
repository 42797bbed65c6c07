// Package placement decides which engine serves a request.
//
// Two routers that share no memory each make one half of the decision:
//
//	edge                               owner
//	token, prefix or chat              exact count of its engines' requests
//	  -> group (Layout.Choose)           -> engine (PickEngine)
//	  stale load of each group           maximum load of every engine
//
// The engines of one pool (one model in one data centre) are divided into
// groups of about ten, and each group is owned by one router. Both assignments
// use rendezvous hashing over the engines and routers that are alive, so routers
// agree on them without messages. Ownership only makes counts exact: when two
// routers both act as owner, nothing breaks, and each sees part of the load.
//
// If every edge picked engines by reported load, they would herd: all would read the
// same stale report and pick the same engine (docs/design/placement.md).
//
// The package does no I/O. The caller passes time and randomness.
package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// Hash maps a name to the 64-bit value from which all rendezvous scores are computed.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// score returns the rendezvous score of node for key: uniform and independent for
// each pair.
func score(key, node uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint64(pair[8:], node)
	return xxhash.Sum64(pair[:])
}

// weightedScore returns the score for weighted rendezvous hashing: a node has the
// highest score with a probability of its weight over the sum of all weights.
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

// Rank returns the rendezvous score of a node for a key. Nodes sorted by it, largest
// first, are in the order in which they should take the key's role.
func Rank(key, node uint64) uint64 {
	return score(key, node)
}
