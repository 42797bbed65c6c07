package loadorders

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/orders"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Pool is the engines that get new work of one model in one data centre.
type Pool struct {
	Model string
	// Engines are found by the hash of their names.
	Engines map[uint64]fleet.Instance
}

// load is one order that is wanted.
type load struct {
	engine  fleet.Instance
	adapter string
}

func (l load) name() string { return l.engine.Name + " " + l.adapter }

// wantedLoads returns the orders that would bring the fleet to what the
// configuration wants and that were not sent lately.
func (g *Giver) wantedLoads(s *policy.Snapshot, sent map[string]time.Time) []load {
	var loads []load
	for _, p := range g.options.Pools() {
		for _, adapter := range wantedAdapters(s, p.Model) {
			loads = append(loads, p.missingLoads(adapter, s.Fleet.AdapterCopies)...)
		}
	}
	now := steady.Now()
	loads = slices.DeleteFunc(loads, func(l load) bool { return now.Sub(sent[l.name()]) < orderAgain })
	slices.SortFunc(loads, func(a, b load) int { return cmp.Compare(a.name(), b.name()) })
	return loads
}

// wantedAdapters returns the adapters that some group may use with the model.
func wantedAdapters(s *policy.Snapshot, model string) []string {
	var named []string
	for _, g := range s.Groups {
		if g.AllowsModel(model) {
			named = append(named, g.Adapters...)
		}
	}
	return orders.Adapters(named, policy.Wildcard)
}

// missingLoads returns the loads that an adapter lacks in a pool.
func (p Pool) missingLoads(adapter string, copies int) []load {
	var open []orders.Candidate
	for hash, engine := range p.Engines {
		open = append(open, orders.Candidate{Hash: hash, Adapters: engine.Adapters})
	}
	var loads []load
	for _, hash := range orders.EnginesToLoad(open, adapter, copies) {
		loads = append(loads, load{engine: p.Engines[hash], adapter: adapter})
	}
	return loads
}
