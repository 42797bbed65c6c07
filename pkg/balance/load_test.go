package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// largeFleet returns balancers of which each tells the next one only.
func largeFleet(n int) []*Balancer {
	var list []*Balancer
	for range n {
		b := newBalancer(engines(12))
		b.SetLarge(true)
		list = append(list, b)
	}
	return list
}

// passOn has each balancer tell the next one, a step later each time.
func passOn(list []*Balancer, now time.Time, step time.Duration) (told []Told) {
	for i := range len(list) - 1 {
		t := list[i].Tell(now)
		told = append(told, t)
		now = now.Add(step)
		list[i+1].Merge("before", t, now)
	}
	return told
}

func TestInALargeFleetLoadsReachAllOverOthers(t *testing.T) {
	list := largeFleet(4)
	home := pick(t, list[0], prompt(5), start).Replica.ID
	list[0].Reported(home, 30, start)
	const step = 300 * time.Millisecond
	passOn(list, start, step)
	last := list[len(list)-1]
	now := start.Add(3 * step)
	assert.NotEqual(t, home, pick(t, last, prompt(5), now).Replica.ID)
	assert.Equal(t, home, pick(t, last, prompt(5), start.Add(largeReportLife)).Replica.ID, "old by when it was reported")
	for _, told := range passOn(list, now, 0) {
		assert.Empty(t, told.Loads, "each tells it once")
		assert.Empty(t, told.Running)
	}
}

// The same report comes on two ways, and what they took is not known exactly. On
// narrow links that was over 50 ms, and one failure went round and round.
func TestNewsThatCameTwiceIsNotPassedOnTwice(t *testing.T) {
	b := largeFleet(1)[0]
	for _, late := range []time.Duration{0, 3 * time.Millisecond, 300 * time.Millisecond} {
		seen := start.Add(late)
		b.Merge("other", Told{
			Loads:    []Load{{Hash("i-1"), 5, seen}},
			Failures: []SeenFailure{{Hash("i-2"), Refused, seen}},
			Holders:  []Holding{{Part: 77, Replica: Hash("i-3")}},
		}, seen.Add(10*time.Millisecond))
		told := b.Tell(seen.Add(20 * time.Millisecond))
		first := late == 0
		assert.Equal(t, late != 3*time.Millisecond, len(told.Loads) == 1, "a load that is newer is news")
		assert.Equal(t, first, len(told.Failures) == 1)
		assert.Equal(t, first, len(told.Holders) == 1)
	}
	assert.True(t, b.Suspected("i-2", start.Add(20*time.Millisecond)))
}

func TestInALargeFleetTheMeanIsThatOfReports(t *testing.T) {
	for reports, want := range map[int]float64{3: 2.5, 6: 10, 12: 10} {
		b := largeFleet(1)[0]
		for i := range reports {
			b.Reported(fmt.Sprintf("i-%d", i), 10, start)
		}
		b.mu.Lock()
		assert.InDelta(t, want, b.meanLoad(b.services["llm"], start), 0, reports)
		assert.Zero(t, b.meanLoad(b.services["llm"], start.Add(largeReportLife)))
		b.mu.Unlock()
	}
}

func TestInALargeFleetOnlyWhatOthersCannotGuessIsTold(t *testing.T) {
	b := largeFleet(1)[0]
	home := pick(t, b, prompt(5), start).Replica.ID
	b.Answered(home, prompt(5), start)
	assert.Empty(t, b.Tell(start).Holders, "the first home")
	second := pick(t, b, prompt(5), start, home).Replica.ID
	b.Answered(second, prompt(5), start)
	assert.Equal(t, []Holding{{prompt(5)[1].ID, Hash(second)}}, b.Tell(start).Holders)
}

func TestOldFailuresAreNotPassedOn(t *testing.T) {
	b := largeFleet(1)[0]
	b.Merge("other", Told{Failures: []SeenFailure{{Hash("i-2"), Refused, start.Add(-newsLife - 1)}}}, start)
	assert.Empty(t, b.Tell(start).Failures)
}
