package fleet

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A fixed seed makes property tests draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261202") }

func TestListDelta(t *testing.T) {
	before := []Instance{{Name: "a"}, {Name: "b", Adapters: []string{"x"}}}
	after := []Instance{{Name: "b", Adapters: []string{"x", "y"}}, {Name: "c"}}
	d := DeltaOf(before, after)
	assert.Equal(t, ListDelta{Put: after, Removed: []string{"a"}}, d)
	assert.Equal(t, FingerprintOf(after), FingerprintOf(d.Apply(before)))
	assert.Equal(t, FingerprintOf(before), FingerprintOf([]Instance{before[1], before[0]}), "the order does not matter")
	assert.NotEqual(t, FingerprintOf(before), FingerprintOf(after))
}

func TestHistoryBounded(t *testing.T) {
	var h ListHistory
	first := []Instance{{Name: "0"}}
	h.Update(first)
	for i := range maxHistorySteps {
		require.True(t, h.Update([]Instance{{Name: fmt.Sprint(i + 1)}}))
	}
	_, known := h.DeltaSince(FingerprintOf(first))
	assert.True(t, known)
	h.Update(nil)
	_, known = h.DeltaSince(FingerprintOf(first))
	assert.False(t, known)
	assert.False(t, h.Update(nil), "nothing new")
}

// Applies random changes and checks the delta from each version to the newest.
func TestHistoryDeltaFromEveryVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h ListHistory
		versions := [][]Instance{nil}
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			list := slices.Clone(h.List())
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "name")
			list = slices.DeleteFunc(list, func(i Instance) bool { return i.Name == name })
			if rapid.Bool().Draw(t, "put") {
				list = append(list, Instance{Name: name, Address: fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "address"))})
			}
			h.Update(list)
			versions = append(versions, list)
		}
		for _, version := range versions {
			d, known := h.DeltaSince(FingerprintOf(version))
			require.True(t, known)
			require.Equal(t, h.Fingerprint(), FingerprintOf(d.Apply(version)))
		}
	})
}
