package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestSearchFindsLeastDegree(t *testing.T) {
	tests := map[string]struct {
		// from is the least degree that does harm, plays how many degrees may be played.
		from  float64
		plays int
		want  finding
		cell  string
	}{
		"harm from the first degree on": {0, 9, finding{0, 0.125 / 8, outcome{}, true, true}, "0.0156"},
		"harm in between":               {0.3, 9, finding{0.28125, 0.3125, outcome{}, true, true}, "0.312"},
		"harm at the end":               {1, 9, finding{0.9375, 1, outcome{}, true, true}, "1"},
		"no harm":                       {2, 9, finding{1, 0, outcome{}, false, true}, "none up to 1"},
		"cut off before any harm":       {0.9, 2, finding{0.25, 0, outcome{}, false, false}, "none up to 0.25, cut off"},
		"cut off while halving":         {0.3, 4, finding{0.25, 0.375, outcome{}, true, false}, "0.375, cut off"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			plays := 0
			s := search{first: 0.125, halvings: 3, harm: func(o outcome) bool { return o.served < 1 }}
			s.play = func(degree float64) (outcome, bool) {
				if plays++; plays > test.plays {
					return outcome{}, false
				}
				if degree >= test.from {
					return outcome{}, true
				}
				return outcome{served: 1}, true
			}
			got := s.run()
			assert.Equal(t, test.want, got)
			assert.Equal(t, test.cell, got.String())
		})
	}
}
