package integration

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
)

// sees tells whether a router has an engine in its list.
func (p *process) sees(name string) bool {
	s, err := p.state()
	if err != nil {
		return false
	}
	for _, i := range s.Instances {
		if i.Name == name {
			return true
		}
	}
	return false
}

func (c *cluster) everyoneSees(name string) {
	c.t.Helper()
	for _, p := range c.routers {
		c.eventually(p.name+" sees "+name, func() bool { return p.sees(name) })
	}
}

// TestFewRoutersReadTheList has more routers than all read the platform: the
// others learn of each change from a reader, and go on when the readers die.
func TestFewRoutersReadTheList(t *testing.T) {
	const routers = 12
	c := newCluster(t, 1, routers)
	c.addEngine("settled", standin.EngineOptions{CacheTokens: 1 << 20})
	c.everyoneSees("settled")
	// A router whose readers were slow to answer reads the list itself, so one
	// round may have more askers; there must be rounds with few.
	const rounds, few = 20, 6 // three readers of the list and three watchers of the head
	var askers []*process
	for n := 0; n < rounds && (n == 0 || len(askers) > few); n++ {
		before := c.platformCalls()
		name := fmt.Sprintf("added-%d", n)
		c.addEngine(name, standin.EngineOptions{CacheTokens: 1 << 20})
		c.everyoneSees(name)
		askers = nil
		for i, after := range c.platformCalls() {
			if after > before[i] {
				askers = append(askers, c.routers[i])
			}
		}
	}
	assert.LessOrEqual(t, len(askers), few)
	require.NotEmpty(t, askers)
	for _, p := range askers {
		require.NoError(t, p.cmd.Process.Kill())
		<-p.exited
		c.platform.Remove(p.name)
		for i := range c.routers {
			if c.routers[i] == p {
				c.routers = append(c.routers[:i:i], c.routers[i+1:]...)
				break
			}
		}
	}
	c.addEngine("last", standin.EngineOptions{CacheTokens: 1 << 20})
	c.everyoneSees("last")
	require.NoError(t, applyEdit(c, "share = 1", "share = 2"))
	for _, p := range c.routers {
		c.eventually("the edit too", func() bool {
			s, err := p.state()
			return err == nil && s.ConfigVersion == 2
		})
	}
}

func (c *cluster) platformCalls() []uint64 {
	calls := make([]uint64, len(c.routers))
	for i, p := range c.routers {
		s, err := p.state()
		require.NoError(c.t, err)
		calls[i] = s.PlatformCalls
	}
	return calls
}
