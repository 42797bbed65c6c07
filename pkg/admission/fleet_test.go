package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// surgeFleet is routers that share one organisation's surge limit.
type surgeFleet struct {
	limits []*Limits
	limit  Limit
	now    time.Time
	// admitted is the work admitted in each step.
	admitted []float64
}

const (
	surgeStep  = 100 * time.Millisecond
	surgeSteps = 400
	// surgeRequest is the work of a request, surgeDemand that of a second.
	surgeRequest = 50.0
	surgeDemand  = 4000.0
)

func newSurgeFleet(routers int) *surgeFleet {
	f := &surgeFleet{limit: Limit{Rate: 1000, Burst: 5000}, now: time.Unix(1000, 0)}
	for range routers {
		f.limits = append(f.limits, NewLimits())
	}
	return f
}

// step lets each router get its part of the demand, and every second reports to it the demand at
// those of the others that it is connected to.
func (f *surgeFleet) step(n int, part func(router int) float64, connected func(a, b int) bool) {
	f.now = f.now.Add(surgeStep)
	sum := 0.0
	for i, l := range f.limits {
		for demand := surgeDemand * surgeStep.Seconds() * part(i); demand > 0; demand -= surgeRequest {
			work := min(demand, surgeRequest)
			if l.Admit(f.now, "o", f.limit, work, 1/float64(len(f.limits))) == nil {
				sum += work
			}
		}
	}
	f.admitted = append(f.admitted, sum)
	if n%10 != 0 {
		return
	}
	demands := make([]float64, len(f.limits))
	for i, l := range f.limits {
		demands[i] = l.Demand(f.now, "o")
	}
	for i, l := range f.limits {
		others, routers := 0.0, 1
		for j := range f.limits {
			if j != i && connected(i, j) {
				others += demands[j]
				routers++
			}
		}
		l.SetFraction(f.now, "o", others, routers)
	}
}

// greatestShare returns the greatest share of the limit that was admitted in any span.
func (f *surgeFleet) greatestShare() float64 {
	most := 0.0
	for from := range f.admitted {
		sum := 0.0
		for to := from; to < len(f.admitted); to++ {
			sum += f.admitted[to]
			most = max(most, sum/(f.limit.Burst+f.limit.Rate*surgeStep.Seconds()*float64(to-from+1)))
		}
	}
	return most
}

func all(int, int) bool { return true }

func oneIf(is bool) float64 {
	if is {
		return 1
	}
	return 0
}

// Guards against routers that together admit more of an organisation than its surge limit.
func TestFleetKeepsSurgeLimit(t *testing.T) {
	for name, part := range map[string]func(router, routers, step int) float64{
		"even":                    func(_, routers, _ int) float64 { return 1 / float64(routers) },
		"at one router":           func(r, _, _ int) float64 { return oneIf(r == 0) },
		"at another one each 5 s": func(r, routers, step int) float64 { return oneIf(r == step/50%routers) },
	} {
		for _, routers := range []int{3, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				f := newSurgeFleet(routers)
				for n := range surgeSteps {
					f.step(n, func(r int) float64 { return part(r, routers, n) }, all)
				}
				t.Logf("greatest share %.2f", f.greatestShare())
				assert.LessOrEqual(t, f.greatestShare(), 1+1e-9)
			})
		}
	}
}

// Guards against a limit that each side of a cut, and each process after a restart, has for itself.
func TestFleetKeepsSurgeLimitThroughCutsAndRestarts(t *testing.T) {
	const third = 3
	for name, test := range map[string]struct {
		restarts  bool
		connected func(routers int) func(a, b int) bool
	}{
		"all restart each 5 s": {true, func(int) func(a, b int) bool { return all }},
		"a third is cut off": {false, func(routers int) func(a, b int) bool {
			return func(a, b int) bool { return (a < routers/third) == (b < routers/third) }
		}},
	} {
		for _, routers := range []int{3, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				f := newSurgeFleet(routers)
				for n := range surgeSteps {
					if test.restarts && n%50 == 49 {
						f.limits = newSurgeFleet(routers).limits
					}
					f.step(n, func(int) float64 { return 1 / float64(routers) }, test.connected(routers))
				}
				t.Logf("greatest share %.2f", f.greatestShare())
				assert.LessOrEqual(t, f.greatestShare(), 1+1e-9)
			})
		}
	}
}

// startFull lets the routers begin with full buckets, as when the whole fleet starts for the first time.
func (f *surgeFleet) startFull() *surgeFleet {
	for _, l := range f.limits {
		l.StartFull()
	}
	return f
}

// Guards against restarted routers that add to what the fleet has just admitted from full buckets.
func TestFullBucketsAndRestartsKeepSurgeLimit(t *testing.T) {
	const lifeSteps = 50
	even := func(_, routers, _ int) float64 { return 1 / float64(routers) }
	moving := func(r, routers, step int) float64 { return oneIf(r == step/lifeSteps%routers) }
	one := func(r, _, _ int) float64 { return oneIf(r == 0) }
	halves := func(routers int) func(a, b int) bool {
		return func(a, b int) bool { return (a < routers/2) == (b < routers/2) }
	}
	connected := func(int) func(a, b int) bool { return all }
	none := func(int, int) (from, to int) { return 0, 0 }
	everyone := func(n, routers int) (from, to int) { return 0, routers * int(oneIf(n%lifeSteps == lifeSteps-1)) }
	inTurn := func(n, routers int) (from, to int) {
		return n * routers / lifeSteps % routers, (n + 1) * routers / lifeSteps % routers
	}
	first := func(n, _ int) (from, to int) { return 0, int(oneIf(n%lifeSteps == lifeSteps-1)) }
	for name, test := range map[string]struct {
		part      func(router, routers, step int) float64
		connected func(routers int) func(a, b int) bool
		restarts  func(step, routers int) (from, to int)
	}{
		"even":                               {even, connected, none},
		"at one router":                      {one, connected, none},
		"at another one each 5 s":            {moving, connected, none},
		"all restart":                        {even, connected, everyone},
		"one after another restarts":         {even, connected, inTurn},
		"all restart, demand moves":          {moving, connected, everyone},
		"one after another, demand moves":    {moving, connected, inTurn},
		"the one with the demand restarts":   {one, connected, first},
		"half is cut off":                    {even, halves, none},
		"half is cut off, all restart":       {even, halves, everyone},
		"half is cut off, one has all":       {one, halves, none},
		"half is cut off, one after another": {even, halves, inTurn},
	} {
		for _, routers := range []int{3, 30, 300} {
			t.Run(fmt.Sprintf("%s, %d routers", name, routers), func(t *testing.T) {
				f := newSurgeFleet(routers).startFull()
				for n := range surgeSteps {
					from, to := test.restarts(n, routers)
					for r := from; r < to; r++ {
						f.limits[r] = NewLimits()
					}
					f.step(n, func(r int) float64 { return test.part(r, routers, n) }, test.connected(routers))
				}
				t.Logf("greatest share %.2f", f.greatestShare())
				assert.LessOrEqual(t, f.greatestShare(), 1+1e-9)
			})
		}
	}
}
