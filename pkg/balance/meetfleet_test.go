package balance

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/membership"
)

// Guards against routers that do not find each other after all ended, since some of the seeds are gone.
// With LARGE_FLEETS=1 it plays 985 routers too.
func TestRoutersMeetAgainByTheSeedsThatAreLeft(t *testing.T) {
	sizes := []int{9, 143}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, 985)
	}
	const rounds, seeds = 16, 3
	for _, size := range sizes {
		for left := range seeds {
			t.Run(fmt.Sprintf("%d routers, %d seeds are left", size, left+1), func(t *testing.T) {
				t.Parallel()
				f := newMemberFleet("r0", "r1", "r2")
				for n := seeds - 1 - left; n < size+seeds-1-left; n++ {
					f.order = append(f.order, fmt.Sprint("r", n))
				}
				for _, address := range f.order {
					f.start(address)
				}
				met, now := 0, start
				for round := range rounds {
					least, sum, known, listed := size, 0, 0, 0
					f.round(now, func(_ string, table *membership.Table) {
						n := len(table.KnownAddresses())
						least, sum = min(least, n), sum+n
						known, listed = table.SeedsKnown()
					})
					if met == 0 && float64(sum) >= metFraction*float64(size*size) {
						met = round
					}
					if round == rounds-1 {
						t.Logf("%s: met after %d rounds; %d known at least and %d on average at the end, %d of %d seeds", t.Name(), met, least, sum/size, known, listed)
					}
					now = now.Add(gossipRound)
				}
				assert.NotZero(t, met)
			})
		}
	}
}

// Guards against routers that find no seed, and each use what all share: they can't tell seeds that are
// gone from ones that are cut off.
func TestRoutersWithoutSeedsShareNothing(t *testing.T) {
	f := newColdFleet(9, "gone")
	f.play(membershipSettleTime + 20*time.Second)
	most, _ := f.most(start)
	assert.Zero(t, most, "cold replicas get nothing")
	for _, address := range f.order {
		assert.Zero(t, f.tables[address].Routers(f.now), "retries are not shared by a number that is not known")
	}
}
