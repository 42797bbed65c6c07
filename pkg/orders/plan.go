package orders

import (
	"cmp"
	"slices"

	"github.com/croftyard/croftyard/pkg/placement"
)

// Candidate is an engine that could be ordered to load an adapter.
type Candidate struct {
	// Hash names the engine.
	Hash uint64
	// Adapters are those that it holds.
	Adapters []string
}

// EnginesToLoad returns the engines that are to load an adapter so that copies of all
// hold it: the first by rendezvous, so that every holder of the right chooses
// alike.
func EnginesToLoad(open []Candidate, adapter string, copies int) []uint64 {
	key := placement.Hash(adapter)
	open = slices.Clone(open)
	slices.SortFunc(open, func(a, b Candidate) int {
		return cmp.Compare(placement.Rank(key, b.Hash), placement.Rank(key, a.Hash))
	})
	var missing []uint64
	for _, c := range open[:min(max(copies, 0), len(open))] {
		if !slices.Contains(c.Adapters, adapter) {
			missing = append(missing, c.Hash)
		}
	}
	return missing
}

// Adapters returns the names that stand for one adapter each, sorted, once.
func Adapters(named []string, all string) []string {
	list := slices.DeleteFunc(slices.Clone(named), func(name string) bool { return name == all })
	slices.Sort(list)
	return slices.Compact(list)
}
