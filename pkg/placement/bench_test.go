package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkDecision measures one whole decision: the edge's choice of a group, with
// its estimate of the prefix's share, and the owner's choice of an engine.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ engines, routers int }{{40, 9}, {400, 36}, {1520, 136}} {
		b.Run(fmt.Sprintf("engines=%d", size.engines), func(b *testing.B) {
			l := NewLayout(1, names("engine", size.engines), names("router", size.routers), 10)
			loads := make(Loads, len(l.Groups))
			for g := range loads {
				loads[g] = 15 + float64(g%10)
			}
			states := make([]EngineState, 10)
			for i := range states {
				states[i].InFlight = 15 + i
			}
			traffic := NewPrefixTraffic()
			rnd := rand.New(rand.NewPCG(1, 2))
			now := time.Unix(1_800_000_000, 0)
			requests := make([]Request, 1024)
			for i := range requests {
				requests[i] = Request{Chat: rnd.Uint64(), Prefix: rnd.Uint64N(30) + 1, Engine: None}
				if i%7 != 0 {
					requests[i].Engine = rnd.IntN(size.engines)
				}
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r := requests[i%len(requests)]
				r.PrefixShare = traffic.Record(r.Prefix, now)
				l.Choose(r, loads, 1.15, rnd)
				PickEngine(states, i%len(states), Bounds{LoadFactor: 1.15, FleetMean: 19})
				i++
			}
		})
	}
}

// BenchmarkLayout measures the new layout after a change of the live engines.
func BenchmarkLayout(b *testing.B) {
	for _, engines := range []int{40, 400, 1520} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			list, routers := names("engine", engines), names("router", 136)
			for b.Loop() {
				NewLayout(1, list, routers, 10)
			}
		})
	}
}
