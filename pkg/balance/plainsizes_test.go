package balance

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// plainChoice picks a replica that was not tried, in place of the balancer.
type plainChoice func(f *plainFleet, router int, tried []string) (id string, found bool)

// twoBy returns the choice of the lighter of two replicas drawn evenly, by some count.
func twoBy(count func(f *plainFleet, router int, id string) int) plainChoice {
	return func(f *plainFleet, router int, tried []string) (string, bool) {
		first, found := evenlyDrawn(f, router, tried)
		second, _ := evenlyDrawn(f, router, tried)
		if found && count(f, router, second) < count(f, router, first) {
			first = second
		}
		return first, found
	}
}

func evenlyDrawn(f *plainFleet, _ int, tried []string) (string, bool) {
	if len(tried) == len(f.ids) {
		return "", false
	}
	for {
		if id := f.ids[f.random.IntN(len(f.ids))]; !slices.Contains(tried, id) {
			return id, true
		}
	}
}

// plainChoices are what the balancer's choice is compared with. The last one needs what no router
// knows.
var plainChoices = map[string]plainChoice{
	"ours":                nil,
	"drawn evenly":        evenlyDrawn,
	"two by own counts":   twoBy(func(f *plainFleet, router int, id string) int { return f.own[router][id] }),
	"two by all requests": twoBy(func(f *plainFleet, _ int, id string) int { return f.replicas[id].running + len(f.replicas[id].waiting) }),
}

// plainSize is a fleet, its load in parts of the slots, and what is uneven in it.
type plainSize struct {
	routers, replicas int
	load              float64
	uneven            string
}

const (
	evenFleet = "nothing"
	oneSlow   = "one replica takes three times as long"
	oneRouter = "one router gets nine in ten"
)

// play returns how many of the arrivals were turned away, and how many of the calls were served in
// time.
func (s plainSize) play(choice plainChoice) (rejected, onTime float64) {
	const queue = 4
	length := 8 * time.Second
	if s.replicas >= 100 {
		length = 2 * time.Second
	}
	f := newPlainFleet(1, s.routers, max(s.routers/8, 1), s.replicas)
	f.queue = func() int { return queue }
	f.choice = choice
	full := float64(s.replicas * plainSlots)
	if s.uneven == oneSlow {
		full -= plainSlots * 2 / 3
		f.slowdown = func(id string) float64 {
			if id == "p-0" {
				return 3
			}
			return 1
		}
	}
	if s.uneven == oneRouter {
		f.at = func(random *rand.Rand) int {
			if random.IntN(10) > 0 {
				return 0
			}
			return random.IntN(s.routers)
		}
	}
	f.perSecond = func(time.Duration) float64 { return s.load * full / plainWorkTime.Seconds() }
	got := f.simulate(length)
	return float64(got.shed) / float64(max(got.sent, 1)), float64(got.onTime) / float64(got.asked)
}

// Guards against a choice that is worse than chance at some size or load of a fleet. With
// PLAIN_SIZES=1 it plays all sizes and prints a table.
func TestPlainChoiceIsNoWorseThanChance(t *testing.T) {
	routers, replicas, loads := []int{3, 30}, []int{3, 10}, []float64{0.59, 0.8}
	if os.Getenv("PLAIN_SIZES") != "" {
		routers, replicas, loads = []int{3, 6, 30, 100, 985}, []int{3, 10, 100, 500}, []float64{0.3, 0.59, 0.8, 0.95}
	}
	// What two plays of the same load differ by.
	const noise = 0.01
	for _, uneven := range []string{evenFleet, oneSlow, oneRouter} {
		for _, r := range routers {
			for _, n := range replicas {
				for _, load := range loads {
					s := plainSize{r, n, load, uneven}
					t.Run(fmt.Sprintf("uneven %s, %d routers, %d replicas, %v", uneven, r, n, load), func(t *testing.T) {
						t.Parallel()
						rejected, onTime := make(map[string]float64), make(map[string]float64)
						for name, choice := range plainChoices {
							rejected[name], onTime[name] = s.play(choice)
						}
						t.Logf("rejected %.4f, drawn evenly %.4f, two by own %.4f, by all %.4f; in time %.4f, %.4f, %.4f, %.4f",
							rejected["ours"], rejected["drawn evenly"], rejected["two by own counts"], rejected["two by all requests"],
							onTime["ours"], onTime["drawn evenly"], onTime["two by own counts"], onTime["two by all requests"])
						assert.LessOrEqual(t, rejected["ours"], rejected["drawn evenly"]+noise)
						assert.GreaterOrEqual(t, onTime["ours"], onTime["drawn evenly"]-noise)
					})
				}
			}
		}
	}
}
