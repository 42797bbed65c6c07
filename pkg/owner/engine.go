package owner

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/croftyard/croftyard/pkg/placement"
)

// prefixesKept is how many shared prefixes an owner remembers of each engine.
const prefixesKept = 64

// Times of what is known of others' requests at an engine.
const (
	// toldFor is how long another router's own count holds.
	toldFor = 4 * time.Second
	// reportFor is how long an engine's report holds.
	reportFor = 8 * time.Second
)

// foreignWeight makes up for the age of the count of others' requests: while
// two routers believe that they own an engine, each holds back a little.
const foreignWeight = 1.25

// Engine is what an owner knows of one engine. It outlives changes of groups.
type Engine struct {
	// Hash is placement.Hash of the engine's name.
	Hash uint64
	// InFlight counts the requests that this router has sent there.
	InFlight int
	// Slots is the most requests at a time; 0 means no limit.
	Slots int
	// Ramp is the part of its share that it may get, above 0 to 1.
	Ramp float64
	// Closed: it gets no new work now (leaving, or not answering).
	Closed bool
	// Adapters are the hashes of the adapters that it holds.
	Adapters []uint64

	prefixes *simplelru.LRU[uint64, struct{}]
	// told holds other routers' own counts; it is empty but for the seconds in
	// which views differ.
	told     map[uint64]count
	reported count
	foreign  int
}

// count is a number of requests as of a time.
type count struct {
	n  int
	at time.Time
}

// NewEngine returns an engine that is idle and open.
func NewEngine(hash uint64, slots int) *Engine {
	prefixes, err := simplelru.NewLRU[uint64, struct{}](prefixesKept, nil)
	if err != nil {
		// Only a size that is not positive is refused.
		panic(err)
	}
	return &Engine{Hash: hash, Slots: slots, Ramp: 1, prefixes: prefixes}
}

// ObservePeerCount takes another router's own count of its requests at the engine.
func (e *Engine) ObservePeerCount(router uint64, inFlight int, now time.Time) {
	if e.told == nil {
		e.told = make(map[uint64]count)
	}
	e.told[router] = count{n: inFlight, at: now}
	e.ExpireCounts(now)
}

// ObserveReport takes the engine's own count of all requests. It is older than what
// this router counts itself, so it serves only to notice strangers: a
// difference of up to a quarter of the own count is taken for the age.
func (e *Engine) ObserveReport(inFlight int, now time.Time) {
	const noise = 0.25
	others := inFlight - e.InFlight
	if float64(others) <= noise*float64(e.InFlight) {
		others = 0
	}
	e.reported = count{n: others, at: now}
	e.ExpireCounts(now)
}

// ExpireCounts lets what is known of others' requests age.
func (e *Engine) ExpireCounts(now time.Time) {
	sum := 0
	for router, c := range e.told {
		if now.Sub(c.at) > toldFor {
			delete(e.told, router)
			continue
		}
		sum += c.n
	}
	if now.Sub(e.reported.at) > reportFor {
		e.reported.n = 0
	}
	e.foreign = max(sum, e.reported.n)
}

// ForeignInFlight returns how many requests of other routers the engine is thought to run.
func (e *Engine) ForeignInFlight() int { return e.foreign }

func (e *Engine) remember(prefix uint64) {
	if prefix != 0 {
		e.prefixes.Add(prefix, struct{}{})
	}
}

// state is the engine as PickEngine sees it. One that is being ramped up looks
// fuller than it is.
func (e *Engine) state(prefix, adapter uint64) placement.EngineState {
	inFlight := e.InFlight + int(math.Ceil(float64(e.foreign)*foreignWeight))
	if e.Ramp < 1 {
		inFlight = int(math.Ceil(float64(inFlight+1)/e.Ramp)) - 1
	}
	return placement.EngineState{
		InFlight:   inFlight,
		Slots:      e.Slots,
		HasPrefix:  prefix != 0 && e.prefixes.Contains(prefix),
		Ineligible: e.Closed || adapter != 0 && !slices.Contains(e.Adapters, adapter),
	}
}
