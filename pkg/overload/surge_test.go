package overload

import (
	"cmp"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// demandOf is a report of replicas with a limit of 280.5, and of what organisations ask for now
// and usually.
func demandOf(shares ...shareRates) Report {
	r := loaded(200 * time.Millisecond)
	for i, s := range shares {
		r.Shares = append(r.Shares, ShareReport{hash32("s"), hash32(organisation(i)), 0, s.offered, s.usual})
	}
	return r
}

// grantedOf returns what the organisations of a report may have.
func grantedOf(r Report) ([]float64, Status) {
	c := New(1)
	c.MergeReport("r", r, start)
	granted := make([]float64, len(r.Shares))
	for i := range granted {
		granted[i] = c.Decide(request(i), start).Granted
	}
	return granted, c.Status("s", target, usable, start)
}

// Guards against refusals of shares that do not surge while the demand is near the limit, and
// against none, or unequal ones, when it is far above.
func TestSharesThatDoNotSurge(t *testing.T) {
	const limit = 280.5
	for _, tc := range []struct {
		name   string
		shares []shareRates
		// first is what the first organisation may have; all others get what they ask for, but
		// at most level if that is not zero.
		first, level float64
	}{
		{"all at twice", []shareRates{{400, 200}, {200, 100}, {20, 10}}, (limit - 20) / 2, (limit - 20) / 2},
		{"all at ten times", []shareRates{{2000, 200}, {1000, 100}, {100, 10}}, limit / 3, limit / 3},
		{"one only", []shareRates{{3000, 100}}, limit, 0},
		{"callers of a refused share return once", []shareRates{{200, 100}, {100, 100}, {100, 100}}, limit / 3, limit / 3},
		{"somewhat more", []shareRates{{249, 100}, {100, 100}, {100, 100}}, limit / 3, limit / 3},
		{"a little above the limit", []shareRates{{overloadFactor*limit - 201, 100}, {100, 100}, {100, 100}}, overloadFactor*limit - 201, 0},
		{"a surge", []shareRates{{251, 100}, {100, 100}, {100, 100}}, limit / 3, 0},
		{"a surge while all have doubled", []shareRates{{502, 100}, {200, 100}, {200, 100}}, limit / 3, limit / 3},
		{"none while all have doubled", []shareRates{{498, 100}, {200, 100}, {200, 100}}, limit / 3, limit / 3},
		// The others count with half of the mean usual demand, 200 / 3.
		{"the largest, 0.7 of the whole, at 4 times", []shareRates{{1120, 280}, {60, 60}, {60, 60}}, limit * 280 / (280 + 2*200.0/3), 0},
		{"the largest, 0.9 of the whole, at 4 times", []shareRates{{1440, 360}, {20, 20}, {20, 20}}, limit - 40, 0},
		{"the others ask for nothing", []shareRates{{limit - 1, 100}, {0, 100}}, limit - 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			granted, s := grantedOf(demandOf(tc.shares...))
			want := []float64{tc.first}
			for _, share := range tc.shares[1:] {
				want = append(want, min(share.offered, cmp.Or(tc.level, share.offered)))
			}
			assert.InDeltaSlice(t, want, granted, 1e-6)
			assert.InDelta(t, limit, s.Limit, 1e-6)
			assert.Equal(t, s.Demand > limit, s.Limiting)
		})
	}
}

// Guards against refusing a small share that exceeds its usual demand by chance.
func TestSmallSurgesAreNotRefused(t *testing.T) {
	const limit = 280.5
	for offered, want := range map[float64]float64{39: 39, 60: limit / 20} {
		shares := []shareRates{{offered, 15}}
		for range 19 {
			shares = append(shares, shareRates{15, 15})
		}
		granted, _ := grantedOf(demandOf(shares...))
		assert.InDelta(t, want, granted[0], 1e-6)
	}
}

// Guards against an organisation that is shut out because it is new.
func TestNewOrganisation(t *testing.T) {
	const limit, meanUsual = 280.5, 300.0 / 4
	const surged = limit * meanUsual / 2 / 337.5
	for offered, want := range map[float64][]float64{
		30: {100, 100, 100, 30}, 90: {limit / 4, limit / 4, limit / 4, limit / 4}, 200: {100, 100, 100, surged}, 1000: {100, 100, 100, surged},
	} {
		granted, _ := grantedOf(demandOf(shareRates{100, 100}, shareRates{100, 100}, shareRates{100, 100}, shareRates{offered, 0}))
		assert.InDeltaSlice(t, want, granted, 1e-6, "%v", offered)
	}
}

// Guards against reported usual demands that shut an organisation out: whatever they are, each
// share gets a third of an equal part, or what it asks for if that is less.
func TestHostileUsual(t *testing.T) {
	figures := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, math.SmallestNonzeroFloat64, 1e-9, 1, 100, maxRate, 1e300, math.MaxFloat64}
	rapid.Check(t, func(t *rapid.T) {
		c := New(1)
		c.MergeReport("good", contended(), start)
		var r Report
		for i := range rapid.IntRange(1, maxRows-1).Draw(t, "rows") {
			r.Shares = append(r.Shares, ShareReport{hash32("s"), hash32(organisation(i)), 0,
				rapid.SampledFrom(figures).Draw(t, "offered"), rapid.SampledFrom(figures).Draw(t, "usual")})
		}
		c.MergeReport("bad", r, start)
		s := c.Status("s", target, usable, start)
		assert.True(t, valid(s.Demand) && valid(s.Limit))
		n := float64(c.sums.totals(hash32("s")).shares)
		for i := range 2 {
			d := c.Decide(request(i), start)
			assert.True(t, valid(d.Granted))
			assert.GreaterOrEqual(t, d.Granted, min(d.Offered, s.Limit/(3*n))-1e-6, fmt.Sprint(r))
		}
	})
}

// Guards against demand that is admitted, and reported no longer, as soon as refusals have
// emptied the queues, and against contention that never ends.
func TestContentionOutlastsRefusals(t *testing.T) {
	c := New(1)
	c.MergeReport("x", contended(), start)
	assert.Positive(t, refused(c, 0, start))
	for _, tc := range []struct {
		after     time.Duration
		contended bool
	}{{round, true}, {2 * time.Second, true}, {contendedFor - 1, true}, {contendedFor, false}, {2 * contendedFor, false}} {
		now := start.Add(tc.after)
		c.MergeReport("x", loaded(60*time.Millisecond, 3000, 100), now)
		c.Arrived("s", Share{Organisation: "a"}, now)
		assert.Equal(t, tc.contended, refused(c, 0, now) > 0, "after %v", tc.after)
		assert.Equal(t, tc.contended, len(c.Report(now).Shares) > 0, "after %v", tc.after)
		assert.Zero(t, refused(c, 1, now))
	}
}

// Guards against invalid usual demands in the sums, which would end all refusals, and against
// huge ones.
func TestInvalidUsualIsDropped(t *testing.T) {
	for _, figure := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300} {
		c := New(1)
		c.MergeReport("bad", Report{Shares: []ShareReport{{1, 1, 0, 1, figure}, {1, 2, 0, 1, 1}}}, start)
		want := []ShareReport{{1, 2, 0, 1, 1}}
		if figure == 1e300 {
			want = []ShareReport{{1, 1, 0, 1, maxRate}, {1, 2, 0, 1, 1}}
		}
		assert.Equal(t, want, c.sources[0].shares, "%v", figure)
	}
}

// Guards against a usual demand that is forgotten as fast as the present one.
func TestUsualDemandIsOfAMinute(t *testing.T) {
	var s shareCounter
	s.add(start)
	s.endPeriod(false, start)
	got := s.ratesAt(start.Add(time.Minute))
	assert.InDelta(t, 1.0/60/math.E, got.usual, 1e-9)
	assert.InDelta(t, math.Exp(-60), got.offered, 1e-9)
}

// Guards against a surge that overloads a service and becomes usual within seconds.
func TestRequestsDuringContentionAreNotUsual(t *testing.T) {
	c := New(1)
	offer := func(at time.Duration) {
		for range 100 {
			c.Arrived("s", Share{Organisation: "a"}, start.Add(at))
		}
	}
	usual := func(at time.Duration) float64 {
		key := keyOf(c.services["s"], Share{Organisation: "a"})
		return c.shares[key].ratesAt(start.Add(at)).usual
	}
	offer(0)
	offer(usualPeriod)
	calm := usual(usualPeriod)
	assert.InDelta(t, 100.0/60, calm, 1e-9)
	c.MergeReport("x", contended(), start.Add(usualPeriod))
	c.Decide(request(0), start.Add(usualPeriod))
	offer(2 * usualPeriod)
	assert.LessOrEqual(t, usual(2*usualPeriod), calm)
}
