package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// Guards against a replica getting its whole share at the moment its rest ends, and
// against it getting less for long.
func TestShareReturnsGraduallyAfterRest(t *testing.T) {
	tests := map[string]struct {
		parts []Part
		after time.Duration
		most  int
	}{
		"plain, at the end":  {nil, time.Millisecond, 1},
		"plain, soon after":  {nil, 2*resumeStep + time.Millisecond, 3},
		"plain, afterwards":  {nil, resumePeriod, 12},
		"prompt, at the end": {[]Part{{ID: 7, Tokens: 100}, {ID: 8, Tokens: 10}}, time.Millisecond, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := New(1)
			list := []directory.Replica{{ID: "a", Service: "s", Slots: 99}, {ID: "b", Service: "s", Slots: 99}}
			b.SetReplicas(list, start)
			end := start.Add(3 * time.Second)
			b.RestUntil("a", end)
			b.RestUntil("a", start.Add(time.Second))
			got := 0
			for range 24 {
				choice, found := b.Pick(Request{Service: "s", Parts: test.parts}, end.Add(test.after))
				assert.True(t, found)
				b.RequestStarted(choice.Replica.ID)
				if choice.Replica.ID == "a" {
					got++
				}
			}
			assert.LessOrEqual(t, got, test.most)
			assert.Positive(t, got)
		})
	}
}
