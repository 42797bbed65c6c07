package owner

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/croftyard/croftyard/pkg/placement"
)

// maxPrefixes is how many shared prefixes an owner remembers of each engine.
const maxPrefixes = 64

// How long counts of others' requests at an engine stay valid.
const (
	// peerCountTTL is how long another router's count of its own requests stays valid.
	peerCountTTL = 4 * time.Second
	// reportTTL is how long an engine's report stays valid.
	reportTTL = 8 * time.Second
)

// foreignWeight compensates for the age of the count of others' requests: while two
// routers believe that they own an engine, each holds back a little.
const foreignWeight = 1.25

// Engine is an owner's state of one engine. It is kept across changes of groups.
type Engine struct {
	// Hash is placement.Hash of the engine's name.
	Hash uint64
	// InFlight counts the requests that this router has sent there.
	InFlight int
	// Slots is the maximum number of concurrent requests; 0 means no limit.
	Slots int
	// Ramp is the fraction of its share that the engine may get, above 0 to 1.
	Ramp float64
	// Closed is set while the engine gets no new work (leaving, or not answering).
	Closed bool
	// Adapters holds the hashes of the adapters on the engine.
	Adapters []uint64

	prefixes *simplelru.LRU[uint64, struct{}]
	// peerCounts holds other routers' counts of their own requests; it is empty except in
	// the seconds in which views differ.
	peerCounts map[uint64]count
	reported   count
	foreign    int
}

// count is a number of requests as of a time.
type count struct {
	n  int
	at time.Time
}

// NewEngine returns an engine that is idle and open.
func NewEngine(hash uint64, slots int) *Engine {
	prefixes, err := simplelru.NewLRU[uint64, struct{}](maxPrefixes, nil)
	if err != nil {
		// Only a size that is not positive is refused.
		panic(err)
	}
	return &Engine{Hash: hash, Slots: slots, Ramp: 1, prefixes: prefixes}
}

// ObservePeerCount records another router's count of its own requests at the engine.
func (e *Engine) ObservePeerCount(router uint64, inFlight int, now time.Time) {
	if e.peerCounts == nil {
		e.peerCounts = make(map[uint64]count)
	}
	e.peerCounts[router] = count{n: inFlight, at: now}
	e.ExpireCounts(now)
}

// ObserveReport records the engine's own count of all requests. It is older than this
// router's own count, so it serves only to detect other routers' requests: a difference
// of up to a quarter of the own count is attributed to the age.
func (e *Engine) ObserveReport(inFlight int, now time.Time) {
	const noise = 0.25
	others := inFlight - e.InFlight
	if float64(others) <= noise*float64(e.InFlight) {
		others = 0
	}
	e.reported = count{n: others, at: now}
	e.ExpireCounts(now)
}

// ExpireCounts drops counts of others' requests that are too old.
func (e *Engine) ExpireCounts(now time.Time) {
	sum := 0
	for router, c := range e.peerCounts {
		if now.Sub(c.at) > peerCountTTL {
			delete(e.peerCounts, router)
			continue
		}
		sum += c.n
	}
	if now.Sub(e.reported.at) > reportTTL {
		e.reported.n = 0
	}
	e.foreign = max(sum, e.reported.n)
}

// ForeignInFlight returns the estimated number of other routers' requests at the engine.
func (e *Engine) ForeignInFlight() int { return e.foreign }

func (e *Engine) addPrefix(prefix uint64) {
	if prefix != 0 {
		e.prefixes.Add(prefix, struct{}{})
	}
}

// state returns the engine as PickEngine sees it. An engine that is being ramped up
// appears fuller than it is.
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
