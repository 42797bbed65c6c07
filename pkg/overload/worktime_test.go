package overload

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// calm is a report of replicas that take 40 ms for a request, without a queue.
func calm() Report { return loaded(40*time.Millisecond, 100, 100) }

// Guards against a capacity that falls as the queue in front of the replicas grows.
func TestQueueDoesNotRaiseWorkTimes(t *testing.T) {
	c := New(1)
	c.MergeReport("r", calm(), start)
	assert.InDelta(t, 450, c.Status("s", target, usable, start).Capacity, 1e-6)
	for i := range 50 {
		now := start.Add(time.Duration(i+1) * round)
		c.MergeReport("r", loaded(300*time.Millisecond, 800, 100), now)
		assert.InDelta(t, 450, c.Status("s", target, usable, now).Capacity, 1e-6)
		e, _ := c.Estimate(usable[0], usable, now)
		assert.InDelta(t, 150, e.Capacity, 1e-6)
	}
}

// Guards against a limit by the capacity of calm times while requests wait, with which the
// queue would stay.
func TestLimitFollowsWhatIsAnswered(t *testing.T) {
	for _, tc := range []struct {
		wait  time.Duration
		limit float64
	}{
		{0, 450 * 1.075},
		{37500 * time.Microsecond, 375 * 1.0375},
		{75 * time.Millisecond, 300},
		{150 * time.Millisecond, 300 * 0.925},
		{575 * time.Millisecond, 150},
		{time.Second, 150},
	} {
		c := New(1)
		c.MergeReport("r", calm(), start)
		c.Status("s", target, usable, start)
		now := start.Add(round)
		c.MergeReport("r", loaded(60*time.Millisecond+tc.wait, 800, 100), now)
		got := c.Status("s", target, usable, now)
		assert.InDelta(t, tc.wait, got.Wait, 1000)
		assert.InDelta(t, 450, got.Capacity, 1e-6)
		assert.InDelta(t, tc.limit, got.Limit, 1e-3, "wait %v", tc.wait)
	}
}

// Guards against work times that do not follow a replica that becomes slower or faster, that
// follow it at once, or that depend on how often they are observed.
func TestWorkTimesAdapt(t *testing.T) {
	for _, interval := range []time.Duration{50 * time.Millisecond, round, 5 * time.Second} {
		for _, busy := range []float64{1, 4.8} {
			w := make(workTimes)
			w.observe(usable[0], replicaRates{answered: 100, busy: 2}, start)
			r := replicaRates{answered: 100, busy: busy}
			for age := interval; age <= 30*time.Second; age += interval {
				w.observe(usable[0], r, start.Add(age))
				want := busy/100 + (0.02-busy/100)*math.Exp(-age.Seconds()/10)
				assert.InDelta(t, want, w.of(usable[0], replicaRates{answered: 1, busy: 1}), 1e-9)
			}
		}
	}
}

// Guards against work times from durations with waiting in them, or from a few answers.
func TestWorkTimesFallBackToDurations(t *testing.T) {
	present := replicaRates{answered: 10, busy: 3}
	for _, tc := range []struct {
		name    string
		replica Replica
		rates   replicaRates
		want    float64
	}{
		{"slots are free", usable[0], replicaRates{answered: 100, busy: 4.8}, 0.048},
		{"hardly a slot is free", usable[0], replicaRates{answered: 100, busy: 4.9}, 0.3},
		{"a queue", usable[0], replicaRates{answered: 100, busy: 30}, 0.3},
		{"few answers", usable[0], replicaRates{answered: 4.9, busy: 0.1}, 0.3},
		{"unknown slots", Replica{Hash: 1}, replicaRates{answered: 100, busy: 1}, 0.3},
		{"no measurable time", usable[0], replicaRates{answered: 100}, minTook.Seconds()},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := make(workTimes)
			assert.InDelta(t, 0.3, w.of(tc.replica, present), 1e-9, "not yet observed")
			w.observe(tc.replica, tc.rates, start)
			assert.InDelta(t, tc.want, w.of(tc.replica, present), 1e-9)
			w.dropIdle(start.Add(workTimeExpiry))
			assert.InDelta(t, tc.want, w.of(tc.replica, present), 1e-9)
			w.dropIdle(start.Add(workTimeExpiry + 1))
			assert.Empty(t, w)
		})
	}
}

// Guards against work times that are forgotten while a replica is busy without a break.
func TestWorkTimesAreKeptWhileBusy(t *testing.T) {
	w := make(workTimes)
	w.observe(usable[0], replicaRates{answered: 100, busy: 4}, start)
	now := start
	for range 10 {
		now = now.Add(workTimeExpiry / 2)
		w.observe(usable[0], replicaRates{answered: 100, busy: 30}, now)
		w.dropIdle(now)
	}
	assert.InDelta(t, 0.04, w.of(usable[0], replicaRates{answered: 100, busy: 30}), 1e-9)
}
