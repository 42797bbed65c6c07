package integration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// TestAdaptersAreLoadedByOneHolder has three routers, engines that check tokens
// and engines that do not, and kills the holder on the way.
func TestAdaptersAreLoadedByOneHolder(t *testing.T) {
	c := newCluster(t, 0, 3)
	addresses := map[string]string{}
	for n := range 4 {
		name := fmt.Sprintf("engine-%d", n+1)
		checks := n%2 == 0
		e := standin.NewEngine(name, standin.EngineOptions{CacheTokens: 1 << 20, ChecksOrders: checks})
		c.engines = append(c.engines, e)
		addresses[name] = c.serve(e.Handler())
		c.listHolder(name, addresses[name], checks, nil)
	}
	c.waitReady()
	require.NoError(t, applyOrders(c, "deeds"))
	c.eventually("every engine was told to load the adapter", func() bool {
		for _, e := range c.engines {
			if len(e.Orders()) == 0 {
				return false
			}
		}
		return true
	})
	first := c.engines[0].Orders()[0]
	assert.Equal(t, standin.Order{Token: first.Token, LoadAdapter: "deeds"}, first)
	for n, e := range c.engines {
		for _, o := range e.Orders() {
			assert.Equal(t, first.Token, o.Token, "one holder gave all orders")
		}
		c.listHolder(e.Name, addresses[e.Name], n%2 == 0, []string{"deeds"})
	}
	for _, p := range c.routers[:2] {
		require.NoError(t, p.cmd.Process.Kill())
	}
	require.NoError(t, applyOrders(c, "deeds, wills"))
	c.eventually("whoever is left loads the next", func() bool {
		for _, e := range c.engines {
			orders := e.Orders()
			if orders[len(orders)-1].LoadAdapter != "wills" {
				return false
			}
		}
		return true
	})
	for _, e := range c.engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			assert.GreaterOrEqual(t, o.Token, last, "tokens never go back at an engine")
			last = o.Token
		}
	}
}

func (c *cluster) listHolder(name, address string, checks bool, adapters []string) {
	c.platform.Put(fleet.Instance{
		Name: name, Role: fleet.RoleEngine, DataCentre: testCentre, Address: address,
		State: fleet.StateLive, Models: []string{"drafting"}, Adapters: adapters, ChecksOrders: checks,
	})
}

// applyOrders brings an edit into force that wants the adapters on all engines.
func applyOrders(c *cluster, adapters string) error {
	return applyText(c, []string{
		"chat_key", "load_rate = 50\nadapter_copies = 4\nchat_key",
		"models = drafting", "models = drafting\nadapters = " + adapters,
	})
}
