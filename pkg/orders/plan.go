package orders

import (
	"cmp"
	"slices"

	"github.com/croftyard/croftyard/pkg/placement"
)

// Candidate is an engine that can be ordered to load an adapter.
type Candidate struct {
	// Hash identifies the engine.
	Hash uint64
	// Adapters are the adapters that the engine has loaded.
	Adapters []string
}

// EnginesToLoad returns the engines that must load the adapter so that copies
// engines have it. Rendezvous hashing ranks the engines, so that every lease holder
// chooses the same ones.
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

// Adapters returns the names in named except all, sorted, without duplicates.
func Adapters(named []string, all string) []string {
	list := slices.DeleteFunc(slices.Clone(named), func(name string) bool { return name == all })
	slices.Sort(list)
	return slices.Compact(list)
}
