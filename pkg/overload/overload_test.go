package overload

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const target = 300 * time.Millisecond

var (
	start  = time.Unix(1_000_000, 0)
	usable = []Replica{{Hash: 1, Slots: 6}, {Hash: 2, Slots: 6}, {Hash: 3, Slots: 6}}
)

// usualDemand is the usual demand of each organisation in loaded reports.
const usualDemand = 100.0

// loaded is a report of 100 answers per second of each replica after the given time, and of
// what the organisations "a", "b", ... offer.
func loaded(took time.Duration, offered ...float64) Report {
	var r Report
	for _, replica := range usable {
		r.Replicas = append(r.Replicas, ReplicaReport{replica.Hash, 100, 0, 100 * took.Seconds()})
	}
	for i, o := range offered {
		r.Shares = append(r.Shares, ShareReport{hash32("s"), hash32(organisation(i)), 0, o, usualDemand})
	}
	return r
}

func organisation(i int) string { return string(rune('a' + i)) }

func request(i int) Request {
	return Request{Service: "s", Share: Share{Organisation: organisation(i)}, Target: target, Left: 4 * time.Second, Usable: usable}
}

// refused returns the part of an organisation's requests that is refused.
func refused(c *Controller, i int, now time.Time) float64 {
	d := c.Decide(request(i), now)
	if d.Offered == 0 {
		return 0
	}
	return 1 - d.Granted/d.Offered
}

// Guards against refusals that are not based on requests that wait or are rejected.
func TestRefusesOnlyContended(t *testing.T) {
	for _, tc := range []struct {
		name            string
		took            time.Duration
		rejected, scale float64
		offered         [2]float64
		refuses         bool
	}{
		{"nothing waits, demand of ten times the capacity", 60 * time.Millisecond, 0, 1, [2]float64{3000, 100}, false},
		{"a wait below the gate", 97 * time.Millisecond, 0, 1, [2]float64{3000, 100}, false},
		{"a wait above the gate", 98 * time.Millisecond, 0, 1, [2]float64{3000, 100}, true},
		{"a wait above the gate, demand within the limit", 98 * time.Millisecond, 0, 1, [2]float64{300, 10}, false},
		{"one in a hundred rejected", 60 * time.Millisecond, 1, 1, [2]float64{3000, 100}, false},
		{"one in ten rejected", 60 * time.Millisecond, 11, 1, [2]float64{3000, 100}, true},
		{"one in ten rejected, seconds ago", 60 * time.Millisecond, 11, 0.005, [2]float64{3000, 100}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1)
			r := loaded(tc.took, tc.offered[:]...)
			for i, row := range r.Replicas {
				r.Replicas[i] = ReplicaReport{row.Replica, row.Answered * tc.scale, tc.rejected * tc.scale, row.Busy * tc.scale}
			}
			c.MergeReport("r", r, start)
			assert.Equal(t, tc.refuses, refused(c, 0, start) > 0)
			assert.Equal(t, tc.refuses, c.Status("s", target, usable, start).Limiting)
		})
	}
}

// Guards against shares that are shut out, against more for callers that offer more, and
// against refusing a less urgent share that does not surge.
func TestSharesOfDecisions(t *testing.T) {
	const limit = 300 * (1 + 0.075 - 0.14)
	for _, tc := range []struct {
		surge    float64
		priority int
		granted  float64
	}{
		{100, 0, 100},
		{100, 3, 100},
		{800, 0, (limit - 10 - 90) / 1.125},
		{2400, 0, (limit - 10 - 90) / 1.125},
		{800, 3, limit - 10 - 90 - 90},
		{2400, 3, limit - 10 - 90 - 90},
		{800, 15, limit - 10 - 90 - 90},
	} {
		c := New(1)
		r := loaded(200*time.Millisecond, 10, tc.surge, 90, 90)
		r.Shares[1].Priority, r.Shares[3].Priority = tc.priority, 3
		c.MergeReport("r", r, start)
		granted := [4]float64{}
		for i := range granted {
			q := request(i)
			q.Share.Priority = r.Shares[i].Priority
			admitted, d := 0, Decision{}
			for range 4000 {
				if d = c.Decide(q, start); d.Admitted {
					admitted++
				}
			}
			granted[i] = d.Granted
			assert.InDelta(t, d.Granted/d.Offered, float64(admitted)/4000, 0.03)
		}
		assert.InDeltaSlice(t, []float64{10, tc.granted, 90, 90}, granted[:], 1e-6, "offered %v at priority %d", tc.surge, tc.priority)
	}
}

// Guards against callers that retry too late, too early, or all at once.
func TestRetryAfter(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name              string
		wait, left        time.Duration
		shortest, longest time.Duration
	}{
		{"the wait", 575 * ms, 6 * time.Second, 575 * ms, 1150 * ms},
		{"at least the minimum", 10 * ms, 6 * time.Second, 100 * ms, 200 * ms},
		{"nothing waits", 0, 6 * time.Second, 100 * ms, 200 * ms},
		{"at most a third of what is left", 575 * ms, 900 * ms, 150 * ms, 300 * ms},
		{"hardly any time left", 575 * ms, 60 * ms, 10 * ms, 20 * ms},
		{"a long wait", 1900 * ms, time.Hour, time.Second, 2 * time.Second},
		{"no deadline", 1900 * ms, 0, time.Second, 2 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1)
			least, most := time.Hour, time.Duration(0)
			for range 1000 {
				d := c.retryAfter(tc.wait, tc.left)
				least, most = min(least, d), max(most, d)
			}
			spread := float64(tc.longest-tc.shortest) / 50
			assert.GreaterOrEqual(t, least, tc.shortest)
			assert.LessOrEqual(t, most, tc.longest)
			assert.InDelta(t, tc.shortest, least, spread)
			assert.InDelta(t, tc.longest, most, spread)
		})
	}
}

// Guards against a return that is put off by the excess of demand: callers that return after
// their target displace others.
func TestRetryAfterIgnoresTheExcess(t *testing.T) {
	for _, surge := range []float64{800, maxRate} {
		c := New(1)
		c.MergeReport("r", loaded(200*time.Millisecond, surge, 100), start)
		refusals := 0
		for range 1000 {
			d := c.Decide(request(0), start)
			if d.Admitted {
				continue
			}
			refusals++
			assert.Equal(t, OverShare, d.Reason)
			assert.GreaterOrEqual(t, d.RetryAfter, 139*time.Millisecond)
			assert.LessOrEqual(t, d.RetryAfter, 281*time.Millisecond)
		}
		assert.Greater(t, refusals, 500)
	}
}

// Guards against requests that are sent although they can't be answered in time, and against
// refusing for time where nothing waits.
func TestTooLate(t *testing.T) {
	for _, tc := range []struct {
		took, left time.Duration
		rejected   float64
		reason     Reason
	}{
		{200 * time.Millisecond, 205 * time.Millisecond, 0, ""}, // the 200 ms include 140 ms of waiting
		{200 * time.Millisecond, 195 * time.Millisecond, 0, TooLate},
		{90 * time.Millisecond, 80 * time.Millisecond, 0, ""},  // not contended
		{60 * time.Millisecond, 30 * time.Millisecond, 50, ""}, // contended, nothing waits
	} {
		c := New(1)
		r := loaded(tc.took, 10)
		r.Replicas[0].Rejected = tc.rejected
		c.MergeReport("r", r, start)
		q := request(0)
		q.Left = tc.left
		d := c.Decide(q, start)
		assert.Equal(t, tc.reason, d.Reason)
		assert.LessOrEqual(t, d.RetryAfter, tc.left/3)
	}
}

// Guards against memory that grows with what callers send, and against figures that stay.
func TestMemoryIsBounded(t *testing.T) {
	c := New(1)
	for i := range 5_000 {
		name := fmt.Sprint(i)
		c.Arrived(name, Share{}, start)
		c.Arrived("0", Share{Organisation: name}, start)
		c.Decide(Request{Service: name, Usable: usable}, start)
		c.Answered(uint32(i), time.Second, start)
		c.MergeReport(name, loaded(time.Second, 1), start)
	}
	assert.LessOrEqual(t, len(c.services), maxServices)
	assert.LessOrEqual(t, len(c.shares), maxOwnShares+1+maxPriority)
	assert.LessOrEqual(t, len(c.replicas), maxOwnReplicas)
	assert.Len(t, c.sources, maxSources)
	assert.LessOrEqual(t, len(c.workTimes), len(usable))
	later := start.Add(30 * time.Second)
	assert.Empty(t, c.Report(later))
	assert.Zero(t, len(c.services)+len(c.replicas)+len(c.sources))
	// The usual demand is kept longer, from the end of its period at 30 s on: that of one request
	// for two minutes, of the 4,000 that are counted as one share for 10.5 minutes.
	c.Report(start.Add(160 * time.Second))
	assert.LessOrEqual(t, len(c.shares), 1+maxPriority)
	c.Report(start.Add(11*time.Minute + 30*time.Second))
	assert.Zero(t, len(c.shares)+len(c.workTimes))
}

// Guards against decisions that cost a small router more than its processor allows.
func TestDecideAllocatesNothing(t *testing.T) {
	c := New(1)
	c.MergeReport("r", loaded(200*time.Millisecond, 100, 400), start)
	now, q := start, request(0)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		now = now.Add(sumsExpiry + 1)
		c.MergeReport("r", Report{}, now)
		c.Arrived("s", Share{Organisation: "a"}, now)
		c.Decide(q, now)
		c.Estimate(usable[0], usable, now)
	}))
}

// Guards against races between the request path, gossip and the state dump, and against
// decisions that differ between runs with one seed.
func TestConcurrentUseAndSeed(t *testing.T) {
	c, twin := New(7), New(7)
	var group sync.WaitGroup
	for i := range 4 {
		group.Go(func() {
			for n := range 200 {
				now := start.Add(time.Duration(n) * 20 * time.Millisecond)
				c.Arrived("s", Share{}, now)
				c.Answered(1, time.Second, now)
				c.Rejected(2, now)
				c.Decide(request(i), now)
				c.MergeReport(organisation(i), c.GroupReport(nil, now), now)
				c.RemoveSource(organisation(i + 1))
				c.Status("s", target, usable, now)
			}
		})
	}
	group.Wait()
	other := New(7)
	offered := []float64{900}
	for i := range 25 {
		offered = append(offered, 1/float64(i+3))
	}
	for i := range 200 {
		now := start.Add(time.Duration(i) * round)
		for _, d := range []*Controller{twin, other} {
			d.MergeReport("r", loaded(200*time.Millisecond, offered...), now)
		}
		// Sums in the order of a map would differ in their last digits.
		assert.Equal(t, twin.Decide(request(0), now), other.Decide(request(0), now))
	}
}
