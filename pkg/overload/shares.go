package overload

import (
	"cmp"
	"math"
	"slices"
)

// shareDemand is what one share of a service asks for.
type shareDemand struct {
	offered, weight float64
}

// weightOf halves a share's part with each step of priority.
func weightOf(priority uint8) float64 { return math.Exp2(-float64(priority)) }

// demands returns the demand of each share of a service, those that ask for least by their
// weight first.
func (s *sums) demands(service uint32) []shareDemand {
	s.buffer = s.buffer[:0]
	for key, offered := range s.shares {
		if key.service == service {
			s.buffer = append(s.buffer, shareDemand{offered, weightOf(key.priority)})
		}
	}
	slices.SortFunc(s.buffer, func(a, b shareDemand) int {
		return cmp.Or(cmp.Compare(a.offered/a.weight, b.offered/b.weight), cmp.Compare(a.weight, b.weight))
	})
	return s.buffer
}

// fairLevel divides a limit by weighted max-min fairness: a share gets its demand, or its
// weight times the level if that is less. Demands are sorted by demand over weight. The level
// is infinite if the limit suffices for all.
func fairLevel(limit float64, demands []shareDemand) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if level := limit / weights; d.offered > d.weight*level {
			return level
		}
		limit -= d.offered
		weights -= d.weight
	}
	return math.Inf(1)
}
