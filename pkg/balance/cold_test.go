package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
)

// The rate of a cold replica in these tests, and what users allow beyond it.
const coldRate = 9.6

var coldBounds = ColdBounds{Overage: 1.5, Allowance: 5}

// maxColdPerSecond is what all routers together may send to a cold replica in a second.
var maxColdPerSecond = coldRate*coldBounds.Overage + coldBounds.Allowance

func makeCold(list []directory.Replica, until time.Time, ids ...int) []directory.Replica {
	for _, i := range ids {
		list[i].ColdUntil = until
	}
	return list
}

// routerAddresses returns the addresses of n routers.
func routerAddresses(n int) []string {
	var addresses []string
	for i := range n {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:9", i))
	}
	return addresses
}

// settledBalancer returns the balancer of a router that has long known the others.
func settledBalancer(list []directory.Replica, own string, known []string) *Balancer {
	b := New(hashString(own))
	b.SetColdBounds(coldBounds)
	b.SetRouters(own, known, start.Add(-time.Hour))
	b.SetReplicas(list, start)
	return b
}

func coldRequest(part uint64) Request {
	return Request{Service: "llm", DataCentre: "dc0", Parts: prompt(part), ColdRate: coldRate}
}

func TestAColdReplicaGetsNothingWhileAWarmOneHasRoom(t *testing.T) {
	until := start.Add(3 * time.Second)
	b := settledBalancer(makeCold(engines(3), until, 1), "a", []string{"a"})
	for part := range uint64(200) {
		c, found := b.Pick(coldRequest(part), start)
		require.True(t, found)
		assert.NotEqual(t, "i-1", c.Replica.ID)
	}
	warm := 0
	for part := range uint64(200) {
		c, _ := b.Pick(coldRequest(part), until)
		if c.Replica.ID == "i-1" {
			warm++
		}
	}
	assert.InDelta(t, 66, warm, 30, "it is a home again once it is warm")
}

func TestServiceWithoutColdRateIsNotHeldBack(t *testing.T) {
	b := settledBalancer(makeCold(engines(1), start.Add(time.Minute), 0), "a", []string{"a", "b", "c", "d", "e"})
	for range 50 {
		_, found := b.Pick(Request{Service: "llm", Parts: prompt(1)}, start)
		assert.True(t, found)
	}
}

func TestColdReplicaTakesOverflow(t *testing.T) {
	for name, c := range map[string]struct {
		parts   []Part
		prepare func(b *Balancer)
	}{
		"a prompt, the others failing": {prompt(1), func(b *Balancer) { b.RequestFailed("i-1", Refused, "dc0", start) }},
		"plain, the others failing":    {nil, func(b *Balancer) { b.RequestFailed("i-1", Refused, "dc0", start) }},
		"a prompt, the others full": {prompt(1), func(b *Balancer) {
			for range 40 {
				b.RequestStarted("i-1")
			}
		}},
		"a prompt, the others tried": {prompt(1), func(*Balancer) {}},
	} {
		t.Run(name, func(t *testing.T) {
			b := settledBalancer(makeCold(engines(2), start.Add(time.Minute), 0), "a", []string{"a"})
			c.prepare(b)
			q := Request{Service: "llm", DataCentre: "dc0", Parts: c.parts, ColdRate: coldRate}
			if name == "a prompt, the others tried" {
				q.Tried = []string{"i-1"}
			}
			chosen, found := b.Pick(q, start)
			require.True(t, found)
			assert.Equal(t, "i-0", chosen.Replica.ID)
			assert.Equal(t, Cold, chosen.Reason)
			again, found := b.Pick(q, start)
			assert.True(t, !found || again.Replica.ID == "i-1", "the share is spent, for a last resort as well")
		})
	}
}

// sendAll lets each router pick a replica 100 times a second, and returns the most
// requests that each replica got within any second.
func sendAll(t *testing.T, routers []*Balancer, q Request, length time.Duration) map[string]int {
	t.Helper()
	arrivals := make(map[string][]time.Time)
	most := make(map[string]int)
	for now := start; now.Sub(start) < length; now = now.Add(10 * time.Millisecond) {
		for _, b := range routers {
			c, found := b.Pick(q, now)
			if !found {
				continue
			}
			id := c.Replica.ID
			arrivals[id] = append(arrivals[id], now)
			for now.Sub(arrivals[id][0]) >= time.Second {
				arrivals[id] = arrivals[id][1:]
			}
			most[id] = max(most[id], len(arrivals[id]))
		}
	}
	return most
}

func TestRoutersTogetherKeepColdBound(t *testing.T) {
	for name, c := range map[string]struct {
		parts  []Part
		groups [][]string
	}{
		"one router":                        {prompt(1), [][]string{routerAddresses(1)}},
		"a small fleet":                     {prompt(1), [][]string{routerAddresses(6)}},
		"a large fleet":                     {prompt(1), [][]string{routerAddresses(78)}},
		"985 routers":                       {prompt(1), [][]string{routerAddresses(985)}},
		"a large fleet, a plain service":    {nil, [][]string{routerAddresses(78)}},
		"two halves that know nothing":      {prompt(1), [][]string{routerAddresses(78)[:39], routerAddresses(78)[39:]}},
		"two thirds that know nothing":      {nil, [][]string{routerAddresses(78)[:52], routerAddresses(78)[52:]}},
		"a large fleet on its last replica": {prompt(2), [][]string{routerAddresses(78)}},
	} {
		t.Run(name, func(t *testing.T) {
			n := 5
			if name == "a large fleet on its last replica" {
				n = 1
			}
			list := engines(n)
			for i := range list {
				list[i].ColdUntil = start.Add(time.Minute)
			}
			var routers []*Balancer
			for _, group := range c.groups {
				for _, own := range group {
					routers = append(routers, settledBalancer(list, own, group))
				}
			}
			q := Request{Service: "llm", DataCentre: "dc0", Parts: c.parts, ColdRate: coldRate}
			most := sendAll(t, routers, q, 4*time.Second)
			assert.Len(t, most, n, "each is used")
			for id, got := range most {
				assert.LessOrEqual(t, float64(got), maxColdPerSecond, id)
				assert.GreaterOrEqual(t, float64(got), coldRate*0.7, "and not left idle: %s", id)
			}
		})
	}
}

// Guards against a bound that more than two sides of a cut, which know nothing of each other, use
// each for itself.
func TestSidesOfACutKeepColdBound(t *testing.T) {
	for name, c := range map[string]struct {
		// seeds is how many of the seeds are on each side, and known of them; nil if there are none.
		seeds []int
		sides int
		// still is how many routers in a hundred know all others since before the cut.
		still int
		// least is what a replica gets in some second.
		least float64
	}{
		"two sides":                                  {nil, 2, 0, coldRate * 0.7},
		"two sides, a seed on one":                   {[]int{1, 0}, 2, 0, coldRate * 0.7},
		"three sides, a seed on each":                {[]int{1, 1, 1}, 3, 0, coldRate * 0.7},
		"three sides, two have seeds":                {[]int{2, 1, 0}, 3, 0, coldRate * 0.7},
		"three sides, one has all seeds":             {[]int{3, 0, 0}, 3, 0, coldRate * 0.7},
		"three sides, a seed on each, some know all": {[]int{1, 1, 1}, 3, 30, 3},
		"four sides, a seed on each of two":          {[]int{1, 0, 0, 1}, 4, 0, coldRate * 0.7},
		"four sides, five seeds":                     {[]int{2, 1, 1, 1}, 4, 0, 6},
		"four sides, some know all":                  {[]int{2, 1, 0, 0}, 4, 30, 3},
	} {
		for _, size := range []int{3, 30, 300, 985} {
			if size >= 300 && !strings.HasPrefix(name, "three sides") || size == 985 && name != "three sides, a seed on each" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				t.Parallel()
				list, all, total := makeCold(engines(5), start.Add(time.Minute), 0, 1, 2, 3, 4), routerAddresses(size), 0
				for _, n := range c.seeds {
					total += n
				}
				var routers []*Balancer
				for side := range c.sides {
					members := all[len(all)*side/c.sides : len(all)*(side+1)/c.sides]
					for i, own := range members {
						known, seeds := members, 0
						if c.seeds != nil {
							seeds = c.seeds[side]
						}
						if i < len(members)*c.still/100 {
							known, seeds = all, total
						}
						b := settledBalancer(list, own, known)
						b.SetSeedsKnown(seeds, total, start)
						routers = append(routers, b)
					}
				}
				for id, got := range sendAll(t, routers, coldRequest(1), 1500*time.Millisecond) {
					assert.LessOrEqual(t, float64(got), maxColdPerSecond, id)
					if size > c.sides {
						assert.GreaterOrEqual(t, float64(got), c.least, "and not left idle: %s", id)
					}
				}
			})
		}
	}
}

func TestRouterThatKnowsNoSeedSendsNothingToColdReplicas(t *testing.T) {
	b := settledBalancer(makeCold(engines(1), start.Add(time.Minute), 0), "a", []string{"a", "b"})
	b.SetSeedsKnown(0, 3, start)
	_, found := b.Pick(coldRequest(1), start)
	assert.False(t, found, "others may be at work which it does not know")
	for _, at := range []time.Duration{0, time.Second, membershipSettleTime - time.Millisecond} {
		b.SetSeedsKnown(3, 3, start.Add(at))
		_, found = b.Pick(coldRequest(1), start.Add(at))
		assert.False(t, found, "it may have met only the seeds")
	}
	b.SetSeedsKnown(3, 3, start.Add(membershipSettleTime))
	_, found = b.Pick(coldRequest(1), start.Add(membershipSettleTime))
	assert.True(t, found)
	b.SetSeedsKnown(0, 3, start.Add(time.Minute/2))
	_, found = b.Pick(coldRequest(1), start.Add(time.Minute/2))
	assert.False(t, found)
}

func TestNewRouterSendsNothingToColdReplicas(t *testing.T) {
	list := makeCold(engines(1), start.Add(time.Minute), 0)
	b := New(1)
	b.SetColdBounds(coldBounds)
	b.SetReplicas(list, start)
	_, found := b.Pick(coldRequest(1), start)
	assert.False(t, found, "the routers are not set yet")
	b.SetRouters("a", []string{"a"}, start)
	_, found = b.Pick(coldRequest(1), start.Add(membershipSettleTime-time.Millisecond))
	assert.False(t, found, "it may not know the others")
	_, found = b.Pick(coldRequest(1), start.Add(membershipSettleTime))
	assert.True(t, found)
}

func TestColdSendersAndRate(t *testing.T) {
	for _, c := range []struct {
		bounds  ColdBounds
		senders int
		rate    float64
	}{
		{ColdBounds{1.5, 5}, 2, 3.6},
		{ColdBounds{1, 1}, 1, 4.8},
		{ColdBounds{2, 20}, 10, 0.96},
	} {
		shares := coldShares{bounds: c.bounds, others: make([]uint64, 77)}
		assert.Equal(t, c.senders, shares.senderCount())
		assert.InDelta(t, c.rate, shares.rate(coldRate), 1e-9)
	}
}

func TestColdSendersAndRateOfAPartOfTheFleet(t *testing.T) {
	for _, c := range []struct {
		bounds       ColdBounds
		known, seeds int
		senders      int
		rate         float64
	}{
		{ColdBounds{1.5, 5}, 3, 3, 2, 3.6},
		{ColdBounds{1.5, 5}, 2, 3, 1, 4.8},
		{ColdBounds{1.5, 5}, 1, 3, 1, 19.4/6 - 1},
		{ColdBounds{1.5, 5}, 0, 3, 1, 0},
		{ColdBounds{1, 1}, 1, 3, 1, 10.6/6 - 1},
		{ColdBounds{2, 20}, 1, 3, 3, 3.2 / 3},
	} {
		shares := coldShares{bounds: c.bounds, others: make([]uint64, 77), seedsKnown: c.known, seeds: c.seeds}
		assert.Equal(t, c.senders, shares.senderCount())
		assert.InDelta(t, c.rate, shares.rate(coldRate), 1e-9, "%+v", c)
	}
}

func TestEvacuatedReplicaIsOnlyCopiedFrom(t *testing.T) {
	b := newBalancer(engines(6))
	first := pick(t, b, prompt(1), start)
	b.RequestSucceeded(first.Replica.ID, prompt(1), start)
	list := engines(6)
	for i := range list {
		list[i].Evacuated = list[i].DataCentre == first.Replica.DataCentre
	}
	b.SetReplicas(list, start)
	for part := range uint64(100) {
		assert.NotEqual(t, first.Replica.DataCentre, pick(t, b, prompt(part), start).Replica.DataCentre)
	}
	assert.Equal(t, first.Replica.Address, pick(t, b, prompt(1), start).CopySource)
	assert.False(t, b.ServiceEvacuated("llm"))
	for i := range list {
		list[i].Evacuated = true
	}
	b.SetReplicas(list, start)
	_, found := b.Pick(coldRequest(1), start)
	assert.False(t, found, "not as a last resort either")
	assert.True(t, b.ServiceEvacuated("llm"))
	assert.False(t, b.ServiceEvacuated("none"))
}

// Guards against exceeding the load limit during an evacuation, when the bound was that
// of the mean of two thirds of the replicas.
func TestBoundUsesMeanOfAllReplicas(t *testing.T) {
	for name, change := range map[string]func(r *directory.Replica){
		"some evacuated": func(r *directory.Replica) { r.Evacuated = true },
		"some cold":      func(r *directory.Replica) { r.ColdUntil = start.Add(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			list := engines(9)
			for i := range list {
				if list[i].DataCentre == "dc2" {
					change(&list[i])
				}
			}
			b := settledBalancer(list, "a", []string{"a"})
			for i := range list {
				for range 9 {
					if list[i].DataCentre != "dc2" {
						b.RequestStarted(list[i].ID)
					}
				}
			}
			c, found := b.Pick(coldRequest(1), start)
			require.True(t, found)
			assert.InDelta(t, boundFraction*defaultLoadFactor*6+boundSlack, c.Bound, 1e-9, "54 requests at 9 replicas")
		})
	}
}

func TestCapacityIsReducedWhileManyReplicasAreIdle(t *testing.T) {
	b := newBalancer(engines(20))
	assert.False(t, b.CapacityReduced(start))
	assert.False(t, New(1).CapacityReduced(start), "before the first list")
	b.SetReplicas(makeCold(engines(20), start.Add(time.Second), 3, 4, 5), start)
	pick(t, b, prompt(1), start)
	assert.False(t, b.CapacityReduced(start), "cold ones of this service get what warm ones do")
	_, found := b.Pick(coldRequest(1), start)
	assert.True(t, found)
	assert.True(t, b.CapacityReduced(start))
	b.SetReplicas(makeCold(engines(20), start.Add(time.Second), 3, 4), start)
	assert.False(t, b.CapacityReduced(start), "a tenth, as in a release")
	b.SetReplicas(makeCold(engines(20), start.Add(time.Second), 3, 4, 5), start)
	assert.True(t, b.CapacityReduced(start))
	assert.False(t, b.CapacityReduced(start.Add(time.Second)), "warm")
	list := engines(20)
	for i := range 3 {
		list[i].Evacuated = true
	}
	b.SetReplicas(list, start)
	assert.True(t, b.CapacityReduced(start))
}
