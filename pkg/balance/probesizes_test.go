package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// Guards against routers that open more connections to replicas which they do not reach the more
// requests they have, and against many connections of each as soon as one replica is reached.
func TestProbesOfFleetThatLostItsPaths(t *testing.T) {
	const (
		replicas = 12
		period   = probeInterval
		periods  = 24
	)
	for name, requests := range map[string]func(router int) int{
		// requests is how many requests a router has in a period.
		"even":                    func(int) int { return 4 },
		"one router has the most": func(router int) int { return 2 + 200*max(1-router, 0) },
		"few for most routers":    func(router int) int { return 1 + 3*max(3-router, 0) },
	} {
		for _, size := range []int{3, 30, 300, 985} {
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				t.Parallel()
				var list []directory.Replica
				for _, r := range engines(replicas) {
					r.Service = "plain"
					list = append(list, r)
				}
				var routers []*Balancer
				for n := range size {
					b := New(uint64(n + 1))
					b.SetReplicas(list, start)
					b.SetLargeFleet(size > rumorPartners)
					routers = append(routers, b)
				}
				random := rand.New(rand.NewPCG(1, uint64(size)))
				most, total := 0, 0
				for p := range periods {
					now, at := start.Add(time.Duration(p)*period), make(map[string]int)
					for n, b := range routers {
						centre := fmt.Sprintf("dc%d", n%3)
						began := now.Add(time.Duration(random.Int64N(int64(period / 2))))
						for i := range requests(n) {
							sent := began.Add(period / 2 * time.Duration(i) / time.Duration(requests(n)))
							if c, found := b.Pick(Request{Service: "plain", DataCentre: centre}, sent); found && !c.Unreachable && !c.KeptOnly {
								b.RequestFailed(c.Replica.ID, Unreachable, centre, sent)
							}
						}
						probed := began.Add(period / 2)
						probes := b.PathProbes(probed)
						assert.LessOrEqual(t, len(probes), 1, "router %d", n)
						for _, r := range probes {
							at[r.ID]++
							total++
							b.ProbeFailed(r.ID, probed)
						}
					}
					for _, count := range at {
						most = max(most, count)
					}
				}
				t.Logf("%d probes of %d, at most %d of one replica in a period", total, size*periods, most)
				for _, b := range routers {
					back := start.Add((periods + 1) * period)
					b.Connected("i-0", back)
					assert.LessOrEqual(t, len(b.PathProbes(back)), maxPathProbes)
				}
			})
		}
	}
}
