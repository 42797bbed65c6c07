package balance

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against engines above what users allow, or late answers, since routers that start do not know
// what others run there. Requests of before run on. With LARGE_FLEETS=1 it plays 985 routers too.
func TestLoadAtTheEnginesThoughRoutersEnd(t *testing.T) {
	type size struct{ routers, lines, engines int }
	sizes := []size{{9, 1, 12}, {143, 12, 60}}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, size{985, 31, 240})
	}
	// Users allow 3 in 100 requests of any five seconds above twice the mean plus 3.
	const warm, length, maxOver = 4 * time.Second, 7 * time.Second, 0.03
	for _, s := range sizes {
		for name, ended := range map[string]int{"none ends": 0, "one ends": 1, "half of them end": s.routers / 2, "all end": s.routers} {
			t.Run(fmt.Sprintf("%s, %d routers", name, s.routers), func(t *testing.T) {
				t.Parallel()
				f := newEngineFleet(1, s.routers, s.lines, s.engines)
				f.after(warm+time.Second, func() {
					for router := range ended {
						f.routers[router] = New(uint64(router) + 7919)
						f.routers[router].SetLargeFleet(true)
					}
					f.list()
				})
				got := f.simulate(warm, length)
				t.Logf("%s: in time %.4f, above the limit %.4f, read again %d", t.Name(), float64(got.onTime)/float64(got.asked), got.worstOver(), got.reread)
				assert.LessOrEqual(t, got.worstOver(), maxOver)
			})
		}
	}
}

// probeLostPaths probes the replicas that a router lost the path to, as long as the fleet runs.
func (f *plainFleet) probeLostPaths(router int) {
	for _, r := range f.routers[router].PathProbes(f.now) {
		b, id := f.routers[router], r.ID
		if f.sameSide(router%f.centres, f.centreOf(id)) {
			b.Connected(id, f.now)
			continue
		}
		f.after(plainConnectTimeout, func() { b.ProbeFailed(id, f.now) })
	}
	f.after(probeInterval, func() { f.probeLostPaths(router) })
}

// dials returns the failed attempts to connect of all routers, and the most of one.
func (f *plainFleet) dials() (all, most int) {
	for _, n := range f.failedDials {
		all, most = all+n, max(most, n)
	}
	return all, most
}

// Guards against routers without a path to a service that, as they start, go on trying its replicas. With
// LARGE_FLEETS=1 it plays 985 routers too.
func TestLostPathsThoughRoutersEnd(t *testing.T) {
	type size struct{ routers, lines int }
	sizes := []size{{9, 1}, {143, 12}}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, size{985, 31})
	}
	const replicas, cut, ends, length = 10, time.Second, 5 * time.Second, 9 * time.Second
	for _, s := range sizes {
		for name, all := range map[string]bool{"none ends": false, "all end": true} {
			t.Run(fmt.Sprintf("%s, %d routers", name, s.routers), func(t *testing.T) {
				t.Parallel()
				f := newPlainFleet(1, s.routers, s.lines, replicas)
				f.handsOn = true
				for router := range f.routers {
					f.probeLostPaths(router)
				}
				f.after(cut, func() { f.isolated = 3 })
				before := 0
				f.after(ends, func() {
					var most int
					before, most = f.dials()
					t.Logf("%s: %d attempts to connect failed within %s after the cut, %d at most of a router", t.Name(), before, ends-cut, most)
					clear(f.failedDials)
					for router := range f.routers {
						if all {
							f.routers[router] = New(uint64(router) + 7919)
							f.routers[router].SetLargeFleet(s.routers > memberPartners+1)
						}
					}
					f.list()
				})
				f.after(0, f.arrive)
				f.run(length)
				after, most := f.dials()
				t.Logf("%s: %d within %s later, %d at most", t.Name(), after, length-ends, most)
				assert.LessOrEqual(t, after, before, "a start costs no more than the cut")
			})
		}
	}
}
