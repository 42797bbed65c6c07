package balance

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// smallRound is the interval between updates in a small fleet.
const smallRound = 300 * time.Millisecond

// exchangeDirectly makes a fleet small: each router tells each other one what it runs.
func (f *gossipFleet) exchangeDirectly() {
	f.events = nil
	for router, b := range f.routers {
		b.SetLargeFleet(false)
		f.repeat(smallRound, func() {
			update := b.TakePeerUpdate(f.now)
			for other, peer := range f.routers {
				if other != router && f.connected(router, other) {
					peer.MergePeer(fmt.Sprint("router ", router), update, f.now)
				}
			}
		})
	}
}

// capDemand is what callers ask of a fleet from a time to another.
type capDemand struct {
	name   string
	change func(f *engineFleet, from, to time.Duration)
	// most is the largest fleet that is played.
	most int
}

// keepCapFactor plays demands behind fleets of several sizes, with LARGE_FLEETS=1 of 985 routers too.
func keepCapFactor(t *testing.T, demands ...capDemand) {
	const (
		warm, length = 4 * time.Second, 6 * time.Second
		// Users allow 3 in 100 requests of any five seconds above the cap.
		maxOver = 0.03
	)
	for _, demand := range demands {
		for _, size := range []struct{ routers, lines, engines int }{{3, 1, 12}, {30, 4, 60}, {300, 16, 60}, {985, 32, 24}} {
			if size.routers > demand.most || size.routers > 300 && os.Getenv("LARGE_FLEETS") == "" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", demand.name, size.routers), func(t *testing.T) {
				t.Parallel()
				f := newEngineFleet(1, size.routers, size.lines, size.engines)
				if size.routers <= rumorPartners {
					f.exchangeDirectly()
				}
				demand.change(f, warm, warm+length)
				got := f.simulate(warm, length)
				over := got.overInAnyWindow(5 * time.Second)
				slices.Sort(got.used)
				t.Logf("%d arrivals, above the cap at most %.4f in five seconds; of the cap 97 in 100 find at most %.2f used, half %.2f",
					len(got.arrivals), over, got.used[int((1-maxOver)*float64(len(got.used)))], got.used[len(got.used)/2])
				assert.LessOrEqual(t, over, maxOver)
			})
		}
	}
}

// overInAnyWindow returns the largest share of arrivals above what users allow in any time of a length.
// Unlike worstOver it also counts times that begin with an arrival below that, so that a play may be
// little longer than the time.
func (s *engineStats) overInAnyWindow(length time.Duration) float64 {
	worst, over, end := 0.0, 0, 0
	for begin, from := range s.arrivals {
		for end < len(s.arrivals) && s.arrivals[end].Sub(from) < length {
			over += above(s.used[end])
			end++
		}
		if end == len(s.arrivals) {
			break
		}
		worst = max(worst, float64(over)/float64(end-begin))
		over -= above(s.used[begin])
	}
	return worst
}

// above is 1 for a load above what users allow.
func above(used float64) int {
	if used > 1 {
		return 1
	}
	return 0
}

// Guards against routers that together send more to an engine than users allow above the mean, as
// each counts the requests of the others by what it was told.
func TestRoutersTogetherKeepCapFactor(t *testing.T) {
	keepCapFactor(t,
		capDemand{"even", func(*engineFleet, time.Duration, time.Duration) {}, 985},
		capDemand{"half at one data centre", func(f *engineFleet, from, _ time.Duration) { f.shift(from, 0.5) }, 300},
		capDemand{"one session of live chats", func(f *engineFleet, from, to time.Duration) { f.hot(2, 0.28, from, to) }, 300},
		capDemand{"one session of long prompts", func(f *engineFleet, from, to time.Duration) { f.hot(0, 0.28, from, to) }, 300},
	)
}

// Guards against routers that fill the engines of their own data centre, as all callers come to it.
func TestCallersAtOneDataCentreKeepCapFactor(t *testing.T) {
	keepCapFactor(t, capDemand{"all at one data centre", func(f *engineFleet, from, _ time.Duration) { f.shift(from, 1) }, 985})
}
