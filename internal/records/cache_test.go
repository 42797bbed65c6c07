package records

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against reverting newer records: of two concurrent reads, the one that was
// answered first may be applied last.
func TestLateChangesDoNotRevertNewerRecords(t *testing.T) {
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
			var k recordCache
			k.replace([]*Record{{Key: "a", Revision: 12}}, Origin{At: 10})
			for _, n := range order {
				k.apply(slices.Clone(all[:n]), Origin{At: all[n-1].Revision})
			}
			assert.Equal(t, []string{"a", "c"}, slices.Sorted(maps.Keys(k.records)))
			origin, _ := k.origin()
			assert.EqualValues(t, 14, origin.At)
		})
	}
}
