package overload

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Guards against a status that differs from the figures computed by hand.
func TestStatus(t *testing.T) {
	const ms = time.Millisecond
	row := func(answered, busy float64) ReplicaReport { return ReplicaReport{0, answered, 0, busy} }
	for _, tc := range []struct {
		name     string
		replicas []ReplicaReport
		slots    int
		want     Status
	}{
		{"nothing known", nil, 6, Status{Demand: 50}},
		{"idle: the slots bound the capacity", []ReplicaReport{row(10, 0.6), row(20, 1.2)}, 6,
			Status{Took: 60 * ms, Capacity: 200, Limit: 215, Demand: 50}},
		{"a queue of 9 at one of two", []ReplicaReport{row(100, 15), row(100, 6)}, 6,
			Status{Wait: 45 * ms, Took: 105 * ms, Capacity: 200, Limit: 206, Demand: 50}},
		{"the limit is at least half", []ReplicaReport{row(10, 16)}, 6,
			Status{Wait: time.Second, Took: 1600 * ms, Capacity: 10, Limit: 5, Demand: 50, Limiting: true}},
		{"without figures: slots over the mean time", []ReplicaReport{row(100, 10), row(0, 0)}, 6,
			Status{Wait: 40 * ms, Took: 100 * ms, Capacity: 160, Limit: (100 + 60*(1-40.0/75)) * 1.035, Demand: 50}},
		{"a wait as allowed: what is answered", []ReplicaReport{row(40, 9), row(0, 0)}, 6,
			Status{Wait: 75 * ms, Took: 225 * ms, Capacity: 40 + 6/0.225, Limit: 40, Demand: 50, Limiting: true}},
		{"unknown slots: no evidence of waiting", []ReplicaReport{row(100, 60), row(0, 0)}, 0,
			Status{Took: 600 * ms, Capacity: 200, Limit: 215, Demand: 50}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1)
			list := make([]Replica, len(tc.replicas))
			r := Report{Shares: []ShareReport{{hash32("s"), 1, 0, 30, 30}, {hash32("s"), 2, 1, 20, 10}, {hash32("other"), 1, 0, 9, 9}}}
			for i, row := range tc.replicas {
				row.Replica = uint32(i)
				r.Replicas = append(r.Replicas, row)
				list[i] = Replica{uint32(i), tc.slots}
			}
			c.MergeReport("r", r, start)
			got := c.Status("s", target, list, start)
			assert.InDelta(t, tc.want.Wait, got.Wait, 1000)
			assert.InDelta(t, tc.want.Took, got.Took, 1000)
			assert.InDelta(t, tc.want.Capacity, got.Capacity, 1e-6)
			assert.InDelta(t, tc.want.Limit, got.Limit, 1e-6)
			assert.InDelta(t, tc.want.Demand, got.Demand, 1e-6)
			assert.Equal(t, tc.want.Limiting, got.Limiting)
		})
	}
}

// Guards against an estimate of one replica by the figures of another, and against one that
// is invented where nothing is known.
func TestEstimate(t *testing.T) {
	c := New(1)
	_, ok := c.Estimate(usable[0], usable, start)
	assert.False(t, ok)
	c.MergeReport("r", Report{Replicas: []ReplicaReport{{1, 100, 0, 16}, {2, 100, 0, 4}, {9, 100, 0, 100}}}, start)
	for hash, want := range map[uint32]Estimate{
		1: {Capacity: 100, Wait: 100 * time.Millisecond, Took: 160 * time.Millisecond},
		2: {Capacity: 150, Took: 40 * time.Millisecond},
		3: {Capacity: 60, Took: 100 * time.Millisecond},
	} {
		got, ok := c.Estimate(Replica{hash, 6}, usable, start)
		assert.True(t, ok)
		assert.InDelta(t, want.Capacity, got.Capacity, 1e-6)
		assert.InDelta(t, want.Wait, got.Wait, 1000)
		assert.InDelta(t, want.Took, got.Took, 1000)
	}
}

// Guards against own figures that miss the page's definition of a decayed rate.
func TestOwnRates(t *testing.T) {
	c := New(1)
	c.Answered(1, 500*time.Millisecond, start)
	c.Answered(1, time.Hour, start)
	c.Rejected(1, start.Add(time.Second))
	got := c.Report(start.Add(time.Second)).Replicas
	assert.Len(t, got, 1)
	assert.InDelta(t, 2/math.E, got[0].Answered, 1e-9)
	assert.InDelta(t, 2.5/math.E, got[0].Busy, 1e-9)
	assert.InDelta(t, 1, got[0].Rejected, 1e-9)
}

// Guards against a division that exceeds the limit, leaves capacity unused, gives a share
// more than it asked for, or gives one less than its weight deserves.
func TestFairLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0.1, 1000).Draw(t, "limit")
		offered := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 30).Draw(t, "offered")
		usual := rapid.SliceOfN(rapid.Float64Range(0, 1000), len(offered), len(offered)).Draw(t, "usual")
		usual[0] += 0.1
		s, demand := newSums(), 0.0
		for i, o := range offered {
			s.shares[shareKey{1, uint32(i), uint8(i % 4)}] = shareRates{o, usual[i]}
			demand += o
		}
		totals := s.totals(1)
		assert.InDelta(t, demand, totals.offered, 1e-6)
		weights := 0.0
		for key, r := range s.shares {
			weights += totals.weightOf(key, r)
		}
		demands := s.demands(1, totals.weightOf)
		level, total := fairLevel(limit, demands), 0.0
		for _, d := range demands {
			granted := min(d.offered, d.weight*level)
			assert.GreaterOrEqual(t, granted, min(d.offered, limit*d.weight/weights)-1e-6)
			total += granted
		}
		assert.InDelta(t, min(limit, demand), total, 1e-6)
	})
}

// Guards against shares divided otherwise than by hand.
func TestFairLevelByHand(t *testing.T) {
	for _, tc := range []struct {
		limit   float64
		demands []shareDemand
		level   float64
	}{
		{100, nil, math.Inf(1)},
		{100, []shareDemand{{40, 1}, {60, 1}}, math.Inf(1)},
		{100, []shareDemand{{10, 1}, {80, 1}, {80, 1}}, 45},
		{100, []shareDemand{{10, 1}, {100, 1}, {100, 0.5}}, 60},
		{100, []shareDemand{{800, 1}}, 100},
	} {
		assert.True(t, slices.IsSortedFunc(tc.demands, func(a, b shareDemand) int { return int(a.offered/a.weight - b.offered/b.weight) }))
		assert.InDelta(t, 1/tc.level, 1/fairLevel(tc.limit, tc.demands), 1e-9)
	}
}
