package records

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Two reads run beside each other, and the one that was answered first may be taken
// last.
func TestChangesThatComeLateTakeNothingBack(t *testing.T) {
	put := func(key string, revision uint64) Change { return Change{Record: Record{Key: key, Revision: revision}} }
	gone := func(key string, revision uint64) Change {
		return Change{Record: Record{Key: key, Revision: revision}, Gone: true}
	}
	all := []Change{put("b", 11), put("a", 12), gone("b", 13), put("c", 14)}
	tests := map[string][]int{
		"in order":         {2, 4},
		"the later first":  {4, 2},
		"one of them only": {4},
	}
	for name, order := range tests {
		t.Run(name, func(t *testing.T) {
			var k kept
			k.replace([]*Record{{Key: "a", Revision: 12}}, Origin{At: 10})
			for _, n := range order {
				k.apply(slices.Clone(all[:n]), Origin{At: all[n-1].Revision})
			}
			assert.Equal(t, []string{"a", "c"}, slices.Sorted(maps.Keys(k.records)))
			of, _ := k.since()
			assert.EqualValues(t, 14, of.At)
		})
	}
}
