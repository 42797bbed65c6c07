package integration

import (
	"fmt"
	"slices"
	"syscall"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// TestAdaptersAreLoadedByOneHolder has three routers, engines that check tokens
// and engines that do not. Two routers are frozen past the lease and wake again,
// then they are killed; the holder is among them, or not.
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
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	}
	require.NoError(t, applyOrders(c, "deeds, wills"))
	c.eventually("whoever is awake loads the next", func() bool { return c.everyoneLoaded("wills") })
	for n, e := range c.engines {
		c.listHolder(e.Name, addresses[e.Name], n%2 == 0, []string{"deeds", "wills"})
	}
	for _, p := range c.routers[:2] {
		require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
	}
	for _, p := range c.routers[:2] {
		c.eventually("it has caught up", func() bool { s, err := p.state(); return err == nil && s.ConfigVersion == 3 })
		require.NoError(t, p.cmd.Process.Kill())
	}
	require.NoError(t, applyOrders(c, "deeds, wills, maps"))
	c.eventually("whoever is left loads the last", func() bool { return c.everyoneLoaded("maps") })
	for _, e := range c.engines {
		last := uint64(0)
		for _, o := range e.Orders() {
			assert.GreaterOrEqual(t, o.Token, last, "tokens never go back at an engine")
			last = o.Token
		}
	}
}

// everyoneLoaded tells whether every engine took an order to load the adapter.
func (c *cluster) everyoneLoaded(adapter string) bool {
	for _, e := range c.engines {
		loaded := slices.ContainsFunc(e.Orders(), func(o standin.Order) bool { return o.LoadAdapter == adapter })
		if !loaded {
			return false
		}
	}
	return true
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
