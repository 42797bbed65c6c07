package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// smallPrompt returns a prompt with few shared tokens.
func smallPrompt(part uint64) []Part {
	return []Part{{ID: 1, Tokens: 300}, {ID: 1000 + part, Tokens: 400}, {ID: 99999, Tokens: 500}}
}

func pickFrom(b *Balancer, centre string, parts []Part) Choice {
	c, _ := b.Pick(Request{Service: "llm", DataCentre: centre, Parts: parts}, start)
	return c
}

// Guards against streams between data centres, which broke off or fell silent when one
// was cut off.
func TestASmallPromptIsKeptInEachDataCentre(t *testing.T) {
	b := newBalancer(engines(12))
	first := pickFrom(b, "dc0", smallPrompt(5))
	assert.Equal(t, "dc0", first.Replica.DataCentre)
	b.RequestSucceeded(first.Replica.ID, smallPrompt(5), start)
	other := pickFrom(b, "dc1", smallPrompt(5))
	assert.Equal(t, "dc1", other.Replica.DataCentre)
	assert.Equal(t, first.Replica.Address, other.CopySource, "copied, not read again")
	b.RequestSucceeded(other.Replica.ID, smallPrompt(5), start)
	assert.Equal(t, other.Replica.ID, pickFrom(b, "dc1", smallPrompt(5)).Replica.ID)
	assert.Equal(t, first.Replica.ID, pickFrom(b, "dc0", smallPrompt(5)).Replica.ID, "each data centre keeps its own")
}

func TestALargePromptHasOneHomeInTheFleet(t *testing.T) {
	b := newBalancer(engines(12))
	home := pickFrom(b, "dc0", prompt(5)).Replica
	b.RequestSucceeded(home.ID, prompt(5), start)
	for _, centre := range []string{"dc0", "dc1", "dc2"} {
		assert.Equal(t, home.ID, pickFrom(b, centre, prompt(5)).Replica.ID, centre)
	}
}

// Holders in several data centres remain after diversions, bursts and network partitions.
func TestAHolderInTheOwnDataCentreComesFirst(t *testing.T) {
	b := newBalancer(engines(12))
	for _, id := range []string{"i-0", "i-1", "i-2"} {
		b.RequestSucceeded(id, prompt(5), start)
	}
	for i, centre := range []string{"dc0", "dc1", "dc2"} {
		assert.Equal(t, fmt.Sprintf("i-%d", i), pickFrom(b, centre, prompt(5)).Replica.ID)
	}
}

func TestSmallPromptLeavesFullOrEmptyDataCentre(t *testing.T) {
	b := newBalancer(engines(12))
	for _, id := range []string{"i-0", "i-3", "i-6", "i-9"} {
		for range 9 {
			b.RequestStarted(id)
		}
	}
	c := pickFrom(b, "dc0", smallPrompt(5))
	assert.NotEqual(t, "dc0", c.Replica.DataCentre, fmt.Sprint(c.Load, c.Bound))
	assert.NotEmpty(t, pickFrom(b, "elsewhere", smallPrompt(5)).Replica.ID)
}

// Guards against routers of a large fleet that all prefer the engines of their data centre until
// they see them at the bound.
func TestNearEnginesArePreferredLessTowardsTheBound(t *testing.T) {
	const requests = 400
	for _, c := range []struct {
		large bool
		// running is what each engine of the data centre runs; the mean load is a third of it.
		running     int
		least, most float64
	}{
		{true, 1, 1, 1},
		{true, 2, 0.5, 0.95},
		// What does not prefer them still has a third of its homes there.
		{true, 4, 0.2, 0.5},
		{false, 4, 1, 1},
	} {
		b := newBalancer(engines(12))
		b.SetLargeFleet(c.large)
		for _, id := range []string{"i-0", "i-3", "i-6", "i-9"} {
			for range c.running {
				b.RequestStarted(id)
			}
		}
		near := 0
		for part := range uint64(requests) {
			if pickFrom(b, "dc0", smallPrompt(part)).Replica.DataCentre == "dc0" {
				near++
			}
		}
		assert.GreaterOrEqual(t, float64(near), c.least*requests, "%+v", c)
		assert.LessOrEqual(t, float64(near), c.most*requests, "%+v", c)
	}
}

// Some replicas never announce that they drain: their entry goes, and they keep serving
// for seconds. Their parts were read again elsewhere, though they could be copied.
func TestUnlistedReplicaIsCopiedFromForAWhile(t *testing.T) {
	list := engines(12)
	b := newBalancer(list)
	home := pickFrom(b, "dc0", prompt(5)).Replica
	b.RequestSucceeded(home.ID, prompt(5), start)
	rest := slices.DeleteFunc(slices.Clone(list), func(r directory.Replica) bool { return r.ID == home.ID })
	b.SetReplicas(rest, start)
	c := pick(t, b, prompt(5), start)
	assert.NotEqual(t, home.ID, c.Replica.ID, "it gets no work")
	assert.Equal(t, home.Address, c.CopySource)
	b.RequestSucceeded(c.Replica.ID, prompt(5), start)
	next := pick(t, b, prompt(5), start, c.Replica.ID)
	assert.Equal(t, c.Replica.Address, next.CopySource, "one that is listed comes first")

	b = newBalancer(list)
	b.RequestSucceeded(home.ID, prompt(5), start)
	b.SetReplicas(rest, start)
	late := start.Add(departedLifetime + time.Millisecond)
	assert.NotEqual(t, home.Address, pick(t, b, prompt(5), late).CopySource)

	b = newBalancer(list)
	b.RequestSucceeded(home.ID, prompt(5), start)
	b.RequestFailed(home.ID, Refused, "dc0", start)
	b.SetReplicas(rest, start)
	assert.NotEqual(t, home.Address, pick(t, b, prompt(5), start).CopySource, "nothing listens there")
}
