package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// newPalletFleet is 65 routers in eight lines before 89 engines.
func newPalletFleet(seed uint64) *engineFleet {
	const routers, lines, engines = 65, 8, 89
	f := newEngineFleet(seed, routers, lines, 0)
	f.kinds = palletKinds()
	f.readPerSecond, f.pause = 81900, 3.74e-3
	for i := range engines {
		f.add(fmt.Sprintf("e-%d", i), fmt.Sprintf("dc%d", i%centres))
	}
	f.list()
	return f
}

// Seen on a day before 89 engines that run two requests each in the mean: for six seconds one in
// seven requests broke, at most engines, and 171 of 3,995 in five seconds reached engines above twice
// the mean and 3, where 3 in 100 are allowed.
//
// How it came about: 44 in 100 choices passed over a home that was avoided for it, up to 63 of 89
// engines, and the others, by counts up to 1.2 s old, were filled beyond their bound.
//
// Cause: in a large fleet any broken stream has its engine avoided by all routers, unless the
// service fails as a whole by what the one who saw it sees: a fifth of its own requests.
//
// Proved by the cases beside each other: with a release alone, where counts are as old, some 5 in
// 1,000 are above, with breaks alone 33 to 62. Engines that stand out are still passed over.
func TestLoadWhileStreamsBreakAtMostEngines(t *testing.T) {
	const warm, length = 6 * time.Second, 10 * time.Second
	release := func(f *engineFleet) { f.release(warm, 1200*time.Millisecond, 8) }
	breaks := func(f *engineFleet, engines, requests float64) {
		f.breakOff(warm, warm+7*time.Second, engines, requests)
	}
	cases := map[string]struct {
		change func(f *engineFleet)
		seeds  uint64
		// broken is the greatest part of the requests that break.
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
				f := newPalletFleet(seed + 1)
				c.change(f)
				got := f.play(warm, length)
				t.Logf("above %.4f, asked %d, in time %.4f, broken %d, diverted %d, again %d, copied %d", got.worstOver(), got.asked,
					float64(got.inAim)/float64(got.asked), got.broken, got.diverted, got.again, got.copied)
				assert.Less(t, got.worstOver(), 0.03)
				assert.LessOrEqual(t, float64(got.broken)/float64(got.asked), c.broken)
			})
		}
	}
}
