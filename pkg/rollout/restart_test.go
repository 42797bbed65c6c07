package rollout

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
)

// exchangeByLine has all routers of a large fleet exchange reports: each with its line, and each line's
// sum reaches all others. One in twenty is lost.
func (w *world) exchangeByLine(second float64, lines int) {
	now := at(second)
	members := make([][]int, lines)
	names := make([][]string, lines)
	for i := range w.fleet {
		members[i%lines] = append(members[i%lines], i)
		names[i%lines] = append(names[i%lines], fmt.Sprint(i))
	}
	for _, line := range members {
		for _, i := range line {
			reports := w.fleet[i].Reports(now)
			for _, j := range line {
				if i != j && w.random.IntN(20) > 0 {
					w.fleet[j].MergeReports(fmt.Sprint(i), reports, now)
				}
			}
		}
	}
	for n, line := range members {
		sum := w.fleet[line[w.random.IntN(len(line))]].GroupReports(names[n], now)
		for j, other := range w.fleet {
			if j%lines != n && w.random.IntN(20) > 0 {
				other.MergeReports(fmt.Sprint("line ", n), sum, now)
			}
		}
	}
}

// playLines is play for a large fleet.
func (w *world) playLines(from, until float64, lines int) {
	const steps = 4
	for step := int(from * steps); step < int(until*steps); step++ {
		second := float64(step) / steps
		for range w.rate / steps {
			w.send(w.fleet[w.random.IntN(len(w.fleet))], at(second))
		}
		for _, c := range w.fleet {
			c.Advance(at(second))
		}
		if step%2 == 0 {
			w.exchangeByLine(second, lines)
		}
	}
}

// restart replaces routers by ones that know what the store has.
func (w *world) restart(second float64, ends func(router int) bool) {
	for i := range w.fleet {
		if ends(i) {
			c, again := NewController(), order(5)
			again.SeenAt = at(second)
			c.SetRecords([]Record{again})
			w.fleet[i] = c
		}
	}
}

// Guards against a bad version that gets more than its exposure, or is not judged in time, since routers
// forget the evidence, and against a sound one that is rolled back. With LARGE_FLEETS=1 it plays 985
// routers too.
func TestVersionsAreJudgedThoughRoutersEnd(t *testing.T) {
	const end, deadline = 2.0, 10.0
	type size struct{ routers, lines, rate int }
	sizes := []size{{6, 1, 120}, {143, 12, 960}}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, size{985, 31, 960})
	}
	for name, ends := range map[string]func(router int) bool{
		"none":       func(int) bool { return false },
		"one":        func(router int) bool { return router == 0 },
		"half of it": func(router int) bool { return router%2 == 0 },
		"all":        func(int) bool { return true },
	} {
		for _, size := range sizes {
			for kind, updated := range map[string]version{"bad": {failing: 0.5, factor: 1}, "sound": sound} {
				t.Run(fmt.Sprintf("%s, %d routers, %s", name, size.routers, kind), func(t *testing.T) {
					t.Parallel()
					w := newWorld(1, size.routers, size.rate, sound, updated)
					w.playLines(0, end, size.lines)
					w.restart(end, ends)
					judged, want := 0.0, Shifting
					if kind == "bad" {
						want = Abandoned
					}
					for second := end; second < end+deadline; second++ {
						w.playLines(second, second+1, size.lines)
						if judged == 0 && w.phases()[want] == size.routers {
							judged = second + 1
						}
					}
					t.Logf("%s: all know by %.0f s; %d of %d requests to the new version", t.Name(), judged, w.sent, w.all)
					assert.NotZero(t, judged, "%v", w.phases())
					if kind == "bad" {
						assert.Less(t, float64(w.sent), defaultExposure*float64(w.all)+50)
					}
				})
			}
		}
	}
}
