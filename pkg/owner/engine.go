package owner

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/croftyard/croftyard/pkg/placement"
)

// prefixesKept is how many shared prefixes an owner remembers of each engine.
const prefixesKept = 64

// Engine is what an owner knows of one engine. It outlives changes of groups.
type Engine struct {
	// Hash is placement.Hash of the engine's name.
	Hash uint64
	// InFlight counts the requests that this router has sent there.
	InFlight int
	// Foreign counts the requests of other routers there, by its last report.
	Foreign int
	// Slots is the most requests at a time; 0 means no limit.
	Slots int
	// Ramp is the part of its share that it may get, above 0 to 1.
	Ramp float64
	// Closed: it gets no new work now (leaving, or not answering).
	Closed bool

	prefixes *simplelru.LRU[uint64, struct{}]
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

func (e *Engine) remember(prefix uint64) {
	if prefix != 0 {
		e.prefixes.Add(prefix, struct{}{})
	}
}

// Forget drops what is believed to be cached, after the engine restarted.
func (e *Engine) Forget() { e.prefixes.Purge() }

// state is the engine as PickEngine sees it. One that is being ramped up looks
// fuller than it is.
func (e *Engine) state(prefix uint64) placement.EngineState {
	inFlight := e.InFlight + e.Foreign
	if e.Ramp < 1 {
		inFlight = int(math.Ceil(float64(inFlight+1)/e.Ramp)) - 1
	}
	return placement.EngineState{
		InFlight:   inFlight,
		Slots:      e.Slots,
		Holds:      prefix != 0 && e.prefixes.Contains(prefix),
		Ineligible: e.Closed,
	}
}
