package loadorders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

func pool(model string, engines ...fleet.Instance) Pool {
	p := Pool{Model: model, Engines: make(map[uint64]fleet.Instance)}
	for _, e := range engines {
		p.Engines[placement.Hash(e.Name)] = e
	}
	return p
}

func orderNames(loads []load) []string {
	var names []string
	for _, l := range loads {
		names = append(names, l.name())
	}
	return names
}

// An order too many costs the weight store a load; one too few leaves requests without an engine.
func TestWantedLoads(t *testing.T) {
	tuned := fleet.Instance{Name: "tuned", Adapters: []string{"law"}}
	plain := fleet.Instance{Name: "plain"}
	group := &policy.Group{Parameters: policy.Parameters{Models: []string{"drafting"}, Adapters: []string{"law"}}}
	for name, test := range map[string]struct {
		pools  []Pool
		copies int
		sent   map[string]time.Time
		wanted []string
	}{
		"as many engines as copies": {
			pools: []Pool{pool("drafting", tuned, plain)}, copies: 2,
			wanted: []string{"plain law"},
		},
		"enough copies": {
			pools: []Pool{pool("drafting", tuned)}, copies: 1,
		},
		"fewer engines than copies": {
			pools: []Pool{pool("drafting", plain)}, copies: 5,
			wanted: []string{"plain law"},
		},
		"a model of no group": {
			pools: []Pool{pool("other", plain)}, copies: 2,
		},
		"no engine": {
			pools: []Pool{pool("drafting")}, copies: 2,
		},
		"sent lately": {
			pools: []Pool{pool("drafting", plain)}, copies: 1,
			sent: map[string]time.Time{"plain law": steady.Now()},
		},
		"sent long ago": {
			pools: []Pool{pool("drafting", plain)}, copies: 1,
			sent:   map[string]time.Time{"plain law": steady.Now().Add(-2 * orderAgain)},
			wanted: []string{"plain law"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewGiver(Options{Pools: func() []Pool { return test.pools }})
			snapshot := &policy.Snapshot{Groups: map[string]*policy.Group{"group": group}}
			snapshot.Fleet.AdapterCopies = test.copies
			assert.Equal(t, test.wanted, orderNames(g.wantedLoads(snapshot, test.sent)))
		})
	}
}
