package placement

import (
	"cmp"
	"math"
	"slices"
)

// DefaultGroupSize is the number of engines in a group unless the operator sets one.
// Groups below about ten lose cache reuse: a chat whose engine is at its bound then
// finds too few other engines with free capacity.
const DefaultGroupSize = 10

// None marks the absence of an engine, a group or a token.
const None = -1

// Layout is the division of one pool's engines into groups. It is immutable;
// a change of the live engines or routers makes a new one.
//
//	Engines: e0 e1 e2 e3 ...      sorted by name hash
//	GroupOf:  1  0  1  2 ...      index into Groups
//	Groups[1].Engines = [0 2 ...] indexes into Engines
type Layout struct {
	Engines []uint64
	GroupOf []int
	Groups  []Group
}

// Group is a set of engines with one owner.
type Group struct {
	// ID is the same on every router that sees the same pool.
	ID uint64
	// Owner is an index into the routers given to NewLayout, or None.
	Owner int
	// Engines are indexes into Layout.Engines.
	Engines []int
}

// NewLayout divides engines (hashes of names) into groups of about groupSize
// and finds each group's owner among routers. pool is the hash of the pool's
// name. Two routers with the same lists get the same layout; lists that differ
// by one engine give layouts that differ by a few engines.
func NewLayout(pool uint64, engines, routers []uint64, groupSize int) *Layout {
	l := &Layout{
		Engines: slices.Clone(engines),
		GroupOf: make([]int, len(engines)),
		Groups:  make([]Group, groupCount(len(engines), groupSize)),
	}
	slices.Sort(l.Engines)
	for g := range l.Groups {
		l.Groups[g].ID = score(pool, uint64(g))
		l.Groups[g].Owner = Owner(l.Groups[g].ID, routers)
	}
	l.assignGroups()
	return l
}

func groupCount(engines, groupSize int) int {
	if engines == 0 {
		return 0
	}
	if groupSize <= 0 {
		groupSize = DefaultGroupSize
	}
	n := int(math.Round(float64(engines) / float64(groupSize)))
	return max(n, 1)
}

// sizeSlack is how many engines a group may have above the mean. One replaced
// engine of 400 moves 1.65 others at a slack of 1, 0.45 at 3 and 0.15 at 5, where
// the largest group has 15 engines.
const sizeSlack = 3

// assignGroups puts each engine into its highest-scoring group that is not full. Plain
// rendezvous hashing would leave groups of five and of twenty engines; an exactly even
// split would move many engines at each join, and after each move the owner's counts
// are inexact for seconds.
func (l *Layout) assignGroups() {
	if len(l.Groups) == 0 {
		return
	}
	maxSize := (len(l.Engines)+len(l.Groups)-1)/len(l.Groups) + sizeSlack
	for e, engine := range l.Engines {
		best := None
		var bestScore uint64
		for g := range l.Groups {
			if len(l.Groups[g].Engines) >= maxSize {
				continue
			}
			s := score(engine, l.Groups[g].ID)
			if best == None || s > bestScore {
				best = g
				bestScore = s
			}
		}
		l.GroupOf[e] = best
		l.Groups[best].Engines = append(l.Groups[best].Engines, e)
	}
}

// EngineIndex returns the index of the engine with this hash, or None.
func (l *Layout) EngineIndex(engine uint64) int {
	i, found := slices.BinarySearch(l.Engines, engine)
	if !found {
		return None
	}
	return i
}

// GroupIndex returns the index of the group with this ID, or None.
func (l *Layout) GroupIndex(id uint64) int {
	return slices.IndexFunc(l.Groups, func(g Group) bool { return g.ID == id })
}

// GroupForKey returns the group for key by rendezvous hashing, each group weighted by
// its number of engines. It returns None when there are no groups.
func (l *Layout) GroupForKey(key uint64) int {
	best := None
	bestScore := -1.0
	for g := range l.Groups {
		weight := float64(len(l.Groups[g].Engines))
		if s := weightedScore(key, l.Groups[g].ID, weight); s > bestScore {
			best = g
			bestScore = s
		}
	}
	return best
}

// maxSpread bounds the set of groups over which one shared prefix is spread.
const maxSpread = 64

// spreadSet writes the k highest-scoring groups for a prefix into set, best first.
func (l *Layout) spreadSet(prefix uint64, k int, set *[maxSpread]int) []int {
	k = min(k, len(l.Groups), maxSpread)
	found := set[:0]
	for g := range l.Groups {
		s := score(prefix, l.Groups[g].ID)
		at, _ := slices.BinarySearchFunc(found, s, func(other int, s uint64) int {
			return cmp.Compare(s, score(prefix, l.Groups[other].ID))
		})
		if at >= k {
			continue
		}
		if len(found) < k {
			found = append(found, 0)
		}
		copy(found[at+1:], found[at:])
		found[at] = g
	}
	return found
}
