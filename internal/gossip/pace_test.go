package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// What a router sends in a round grows with the square root of the fleet: three times its
// budget at 985 routers. Lengths between two periods hold on average: rounded to periods, a few
// bytes more or less a round changed what is sent in a second by half.
func TestRoundsAreStretchedToTheBudget(t *testing.T) {
	const period = 300 * time.Millisecond
	budget := int(controlBudget * (largeRoundFactor * period).Seconds())
	for name, test := range map[string]struct {
		datagrams, bytes int
		soon, urgent     bool
		rounds           int
	}{
		"within the budget":                  {10, budget / 4, false, false, 30},
		"a tenth above the budget":           {0, budget * 11 / 10, false, false, 27},
		"a quarter above the budget":         {0, budget * 5 / 4, false, false, 24},
		"half above the budget":              {0, budget * 3 / 2, false, false, 20},
		"headers count":                      {budget / datagramOverhead * 2, 0, false, false, 15},
		"no further than counts are used":    {0, 10 * budget, false, false, 15},
		"as before while counts are urgent":  {0, 10 * budget, false, true, 30},
		"each one while capacity is reduced": {0, 10 * budget, true, false, 60},
	} {
		t.Run(name, func(t *testing.T) {
			var p roundPace
			due := 0
			for range 60 {
				if p.due(period, test.soon, test.urgent) {
					due++
					p.noteRound(test.datagrams, test.bytes)
				}
			}
			assert.InDelta(t, test.rounds, due, 1)
		})
	}
}
