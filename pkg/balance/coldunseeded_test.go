package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a bound that the sides of a cut use each for itself in a fleet without seeds, whose
// routers cannot tell a side from the whole.
func TestSidesWithoutSeedsKeepColdBound(t *testing.T) {
	for _, sides := range []int{2, 3} {
		t.Run(fmt.Sprint(sides), func(t *testing.T) {
			list, all := makeCold(engines(5), start.Add(time.Minute), 0, 1, 2, 3, 4), routerAddresses(300)
			var routers []*Balancer
			for side := range sides {
				members := all[len(all)*side/sides : len(all)*(side+1)/sides]
				for _, own := range members {
					routers = append(routers, settledBalancer(list, own, members))
				}
			}
			for id, got := range sendAll(t, routers, coldRequest(1), 4*time.Second) {
				assert.LessOrEqual(t, float64(got), maxColdPerSecond, id)
			}
		})
	}
}
