package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newShortRequestFleet returns 65 routers in eight lines in front of 89 engines.
func newShortRequestFleet(seed uint64) *engineFleet {
	const routers, lines, engines = 65, 8, 89
	f := newEngineFleet(seed, routers, lines, 0)
	f.kinds = shortRequestKinds()
	f.readPerSecond, f.pause = 81900, 3.74e-3
	for i := range engines {
		f.add(fmt.Sprintf("e-%d", i), fmt.Sprintf("dc%d", i%centres))
	}
	f.list()
	return f
}

// Guards against avoiding so many engines for broken streams that the others are
// overloaded. With 89 engines that run two requests each on average, one in seven
// requests broke for six seconds, at most engines. 171 of 3,995 requests in five seconds
// reached engines above twice the mean plus 3, where 3 in 100 are allowed.
//
// 44 in 100 choices passed over a home that was avoided for breaks, up to 63 of 89
// engines, and the others, judged by counts up to 1.2 s old, were filled beyond their
// bound.
//
// The cause: in a large fleet any broken stream has its engine avoided by all routers,
// unless the service fails as a whole in the view of the router that saw it, which means
// a fifth of its own requests.
//
// The cases isolate the cause: with a release alone, where counts are as old, some 5 in
// 1,000 are above; with breaks alone 33 to 62. Engines that stand out are still passed
// over.
func TestLoadWhileStreamsBreakAtMostEngines(t *testing.T) {
	const warm, length = 6 * time.Second, 10 * time.Second
	release := func(f *engineFleet) { f.release(warm, 1200*time.Millisecond, 8) }
	breaks := func(f *engineFleet, engines, requests float64) {
		f.breakStreams(warm, warm+7*time.Second, engines, requests)
	}
	cases := map[string]struct {
		change func(f *engineFleet)
		seeds  uint64
		// broken is the largest allowed share of requests that break.
		broken float64
	}{
		"a release":             {release, 1, 0},
		"one in seven breaks":   {func(f *engineFleet) { breaks(f, 0.14, 0.45) }, 2, 0.02},
		"most break":            {func(f *engineFleet) { breaks(f, 0.65, 0.2) }, 3, 0.13},
		"a release, most break": {func(f *engineFleet) { release(f); breaks(f, 0.65, 0.2) }, 1, 0.13},
	}
	for name, c := range cases {
		for seed := range c.seeds {
			t.Run(fmt.Sprint(name, ", seed ", seed+1), func(t *testing.T) {
				t.Parallel()
				f := newShortRequestFleet(seed + 1)
				c.change(f)
				got := f.simulate(warm, length)
				t.Logf("above %.4f, asked %d, in time %.4f, broken %d, diverted %d, again %d, copied %d", got.worstOver(), got.asked,
					float64(got.onTime)/float64(got.asked), got.broken, got.diverted, got.reread, got.copied)
				assert.Less(t, got.worstOver(), 0.03)
				assert.LessOrEqual(t, float64(got.broken)/float64(got.asked), c.broken)
			})
		}
	}
}
