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

// Property tests draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261202") }

func TestListDelta(t *testing.T) {
	before := []Instance{{Name: "a"}, {Name: "b", Adapters: []string{"x"}}}
	after := []Instance{{Name: "b", Adapters: []string{"x", "y"}}, {Name: "c"}}
	d := DeltaOf(before, after)
	assert.Equal(t, ListDelta{Put: after, Removed: []string{"a"}}, d)
	assert.Equal(t, MarkOf(after), MarkOf(d.Apply(before)))
	assert.Equal(t, MarkOf(before), MarkOf([]Instance{before[1], before[0]}), "the order does not matter")
	assert.NotEqual(t, MarkOf(before), MarkOf(after))
}

func TestHistoryForgets(t *testing.T) {
	var h ListHistory
	first := []Instance{{Name: "0"}}
	h.Take(first)
	for i := range historySteps {
		require.True(t, h.Take([]Instance{{Name: fmt.Sprint(i + 1)}}))
	}
	_, known := h.Since(MarkOf(first))
	assert.True(t, known)
	h.Take(nil)
	_, known = h.Since(MarkOf(first))
	assert.False(t, known)
	assert.False(t, h.Take(nil), "nothing new")
}

// TestHistoryLeadsFromAnyVersionToTheNewest changes a list at random.
func TestHistoryLeadsFromAnyVersionToTheNewest(t *testing.T) {
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
			h.Take(list)
			versions = append(versions, list)
		}
		for _, version := range versions {
			d, known := h.Since(MarkOf(version))
			require.True(t, known)
			require.Equal(t, h.Mark(), MarkOf(d.Apply(version)))
		}
	})
}
