package balance

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// engineChoice picks an engine in place of the balancer.
type engineChoice func(f *engineFleet, router int, parts []Part) (id string)

// engineChoices are what the balancer's choice is compared with.
var engineChoices = map[string]engineChoice{
	"ours":         nil,
	"drawn evenly": func(f *engineFleet, _ int, _ []Part) string { return f.ids[f.random.IntN(len(f.ids))] },
	"two by own counts": func(f *engineFleet, router int, _ []Part) string {
		first, second := f.ids[f.random.IntN(len(f.ids))], f.ids[f.random.IntN(len(f.ids))]
		if f.own[router][second] < f.own[router][first] {
			return second
		}
		return first
	},
	"by the session": func(f *engineFleet, _ int, parts []Part) string {
		return f.ids[parts[len(parts)-2].ID%uint64(len(f.ids))]
	},
}

// Guards against a choice of engines that is worse than one which knows nothing, at some size or
// load of a fleet, or with a hot session. With ENGINE_SIZES=1 it plays more sizes.
func TestEngineChoiceIsNoWorseThanChance(t *testing.T) {
	const warm, length = 4 * time.Second, 5 * time.Second
	sizes := []struct{ routers, engines int }{{6, 12}, {30, 60}}
	if os.Getenv("ENGINE_SIZES") != "" {
		sizes = append(sizes, []struct{ routers, engines int }{{3, 3}, {9, 12}, {68, 60}, {143, 60}, {148, 120}, {300, 240}}...)
	}
	loads := map[string]func(f *engineFleet){
		"as usual":                  func(*engineFleet) {},
		"load x 1.7":                func(f *engineFleet) { f.burst(warm, warm+length, 1.7) },
		"one session of live chats": func(f *engineFleet) { f.hot(2, 0.28, warm, warm+length) },
	}
	// What two plays of the same load differ by.
	const noise = 0.01
	for name, change := range loads {
		for _, size := range sizes {
			t.Run(fmt.Sprintf("%s, %d routers, %d engines", name, size.routers, size.engines), func(t *testing.T) {
				t.Parallel()
				onTime := make(map[string]float64)
				for choice, pick := range engineChoices {
					f := newEngineFleet(1, size.routers, max(size.routers/8, 1), size.engines)
					f.choice = pick
					change(f)
					got := f.simulate(warm, length)
					// Some that were asked in the warm-up count as served.
					onTime[choice] = min(float64(got.onTime)/float64(got.asked), 1)
					t.Logf("%-18s in time %.4f, above the limit %.4f, read %d, of it again %d, copied %d", choice, onTime[choice], got.worstOver(), got.read, got.reread, got.copied)
				}
				for choice, share := range onTime {
					assert.GreaterOrEqual(t, onTime["ours"], share-noise, choice)
				}
			})
		}
	}
}
