package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// largeFleet returns balancers of a large fleet, each of which reports only to the next
// one.
func largeFleet(n int) []*Balancer {
	var list []*Balancer
	for range n {
		b := newBalancer(engines(12))
		b.SetLargeFleet(true)
		list = append(list, b)
	}
	return list
}

// promptsOf returns prompts with the same home, each of a different session.
func promptsOf(t *testing.T, b *Balancer, home string, n int) [][]Part {
	t.Helper()
	var prompts [][]Part
	for session := uint64(6); len(prompts) < n; session++ {
		if p := prompt(session); pick(t, b, p, start).Replica.ID == home {
			prompts = append(prompts, p)
		}
	}
	return prompts
}

func TestLoadIncludesOtherLines(t *testing.T) {
	list := largeFleet(4)
	home := pick(t, list[0], prompt(5), start).Replica.ID
	// A session whose home was full stays spread for a while, so other sessions show what
	// the counts say now.
	others := promptsOf(t, list[0], home, 2)
	for i, b := range list[:3] {
		for range 2 + i {
			b.RequestStarted(home)
		}
	}
	// The first three form one line, of which the third reports to the fourth.
	for i, b := range list[:2] {
		list[2].MergePeer(fmt.Sprint(i), b.TakePeerUpdate(start), start)
	}
	sums := list[2].SumLine(start)
	assert.Equal(t, []ReplicaCount{{Replica: ReplicaHash(home), Running: 2 + 3 + 4}}, sums.Counts)
	assert.Empty(t, sums.Singles)
	last := list[3]
	last.MergeLine(Line{1, 8}, sums, Rumors{}, start)
	assert.NotEqual(t, home, pick(t, last, prompt(5), start).Replica.ID)
	assert.Empty(t, last.SumLine(start).Counts, "counts of other lines are not forwarded")
	last.MergeLine(Line{1, 8}, LineCounts{}, Rumors{}, start)
	newer := pick(t, last, others[0], start)
	assert.Equal(t, home, newer.Replica.ID, "a newer sum replaces the older")
	assert.Zero(t, newer.Load)
	last.MergeLine(Line{1, 8}, sums, Rumors{}, start)
	assert.InDelta(t, 2+3+4, pick(t, last, prompt(5), start).PassedOverLoad, 0)
	late := pick(t, last, others[1], start.Add(peerLifetime))
	assert.Equal(t, home, late.Replica.ID, "an old sum is ignored")
	assert.Zero(t, late.Load)
}

func TestTheBoundIsTighterInALargeFleet(t *testing.T) {
	b := newBalancer(engines(12))
	for i := range 12 {
		for range 4 {
			b.RequestStarted(fmt.Sprintf("i-%d", i))
		}
	}
	assert.InDelta(t, 1.7*4+2.5, pick(t, b, prompt(5), start).Bound, 1e-9)
	b.SetLargeFleet(true)
	assert.InDelta(t, 1.55*4+2, pick(t, b, prompt(5), start).Bound, 1e-9)
}

func TestLineCountsCoverEachReplica(t *testing.T) {
	list := largeFleet(2)
	for i := range 10 {
		list[0].RequestStarted(fmt.Sprintf("i-%d", i))
	}
	for range 4 {
		list[0].RequestStarted("i-3")
	}
	told := list[0].SumLine(start)
	assert.Equal(t, []ReplicaCount{{Replica: ReplicaHash("i-3"), Running: 5}}, told.Counts)
	assert.Len(t, told.Singles, 9)

	// Lists differ while replicas come and go.
	other := newBalancer(engines(13))
	other.MergeLine(Line{0, 8}, told, Rumors{}, start)
	other.MergeLine(Line{1, 8}, told, Rumors{}, start)
	assertLoads(t, other, map[string]float64{"i-3": 10, "i-0": 2, "i-11": 0}, 28)
	fewer := newBalancer(engines(4))
	fewer.MergeLine(Line{0, 8}, told, Rumors{}, start)
	assertLoads(t, fewer, map[string]float64{"i-3": 5, "i-0": 1}, 8)
}

// assertLoads checks the loads of some replicas and the sum over all.
func assertLoads(t *testing.T, b *Balancer, wants map[string]float64, total float64) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, want := range wants {
		assert.InDelta(t, want, b.load(b.replicas[id], start), 1e-9, id)
	}
	sum := 0.0
	for _, r := range b.replicas {
		sum += b.load(r, start)
	}
	assert.InDelta(t, total, sum, 1e-9, "no count is lost")
}

// Guards against rumors that circulate forever. The same failure arrives on several
// paths, later on some. It was taken for another one when it arrived over 50 ms later,
// and kept circulating on narrow links.
func TestDuplicateRumorIsForwardedOnce(t *testing.T) {
	b := largeFleet(1)[0]
	for _, late := range []time.Duration{0, 3 * time.Millisecond, 300 * time.Millisecond} {
		seen := start.Add(late)
		b.MergePeer("other", PeerUpdate{Rumors: Rumors{
			Failures: []ObservedFailure{{ReplicaHash("i-2"), Refused, seen}},
			Holders:  []PartHolder{{Part: 77, Replica: ReplicaHash("i-3")}},
		}}, seen.Add(10*time.Millisecond))
		told := b.TakePeerUpdate(seen.Add(20 * time.Millisecond))
		first := late == 0
		assert.Equal(t, first, len(told.Failures) == 1)
		assert.Equal(t, first, len(told.Holders) == 1)
	}
	assert.True(t, b.Suspected("i-2", start.Add(20*time.Millisecond)))
}

func TestLargeFleetAnnouncesOnlyUnexpectedHolders(t *testing.T) {
	b := largeFleet(1)[0]
	home := pick(t, b, prompt(5), start).Replica.ID
	b.RequestSucceeded(home, prompt(5), start)
	assert.Empty(t, b.TakePeerUpdate(start).Holders, "the first home")
	second := pick(t, b, prompt(5), start, home).Replica.ID
	b.RequestSucceeded(second, prompt(5), start)
	assert.Equal(t, []PartHolder{{prompt(5)[1].ID, ReplicaHash(second)}}, b.TakePeerUpdate(start).Holders)
}

func TestOldFailuresAreNotForwarded(t *testing.T) {
	b := largeFleet(1)[0]
	b.MergePeer("other", PeerUpdate{Rumors: Rumors{Failures: []ObservedFailure{{ReplicaHash("i-2"), Refused, start.Add(-rumorLifetime - 1)}}}}, start)
	assert.Empty(t, b.TakePeerUpdate(start).Failures)
}

func TestBoundFollowsLoadFactor(t *testing.T) {
	for _, large := range []bool{false, true} {
		b := newBalancer(engines(12))
		b.SetLargeFleet(large)
		for i := range 12 {
			for range 10 {
				b.RequestStarted(fmt.Sprintf("i-%d", i))
			}
		}
		last := 0.0
		for _, factor := range []float64{1, 1.2, 1.6, 1.8, 2, 2.4} {
			b.SetLoadFactor(factor)
			bound := pick(t, b, prompt(5), start).Bound
			assert.Less(t, bound, max(factor, minBoundFactor)*10+3, "factor %v, large %v", factor, large)
			assert.GreaterOrEqual(t, bound, last)
			last = bound
		}
	}
}

// Guards against requests that choose a replica together, before any of them counts, and load it
// above what users allow.
func TestRequestsChosenTogetherStayWithinBound(t *testing.T) {
	const requests, replicas = 40, 4
	for name, parts := range map[string][]Part{"plain": nil, "engines": prompt(5)} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(engines(replicas))
			choose := func() Choice {
				c, found := b.Pick(Request{Service: "llm", DataCentre: "dc0", Parts: parts}, start)
				assert.True(t, found)
				return c
			}
			var choices []Choice
			for range requests {
				choices = append(choices, choose())
			}
			running := make(map[string]int)
			for _, c := range choices {
				for !b.StartChosen(c, start) {
					c = choose()
				}
				running[c.Replica.ID]++
			}
			for id, n := range running {
				assert.LessOrEqual(t, float64(n), float64(defaultLoadFactor*requests)/replicas+3, id)
			}
		})
	}
}
