package membership

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// reportRound is a round in which routers also report how many they count, but for those that
// have just started.
func (f *fleet) reportRound(down func(string) bool, cut func(a, b string) bool, started map[string]time.Time) {
	f.cutRound(down, cut)
	for _, address := range f.order() {
		table := f.tables[address]
		if down(address) || f.now.Sub(started[address]) < settleTime {
			continue
		}
		for _, partner := range table.Partners(f.now).All() {
			if f.tables[partner] != nil && !down(partner) && !cut(address, partner) {
				f.tables[partner].RecordCount(table.OwnCount(f.now), f.now)
			}
		}
	}
}

// settleTime is how long a router that starts has no part of the allowance.
const settleTime = 12 * time.Second

// parts returns the sum of the parts of the routers that have one.
func (f *fleet) parts(down func(string) bool, started map[string]time.Time) (sum float64) {
	for address, table := range f.tables {
		count := table.Routers(f.now)
		if !down(address) && count > 0 && f.now.Sub(started[address]) >= settleTime {
			sum += 1 / count
		}
	}
	return sum
}

// Guards against parts of the allowance that add up to more than the whole because routers do not
// count those that they have lost the contact to, and against parts that stay unused.
func TestPartsOfAllRoutersAddUpToTheWhole(t *testing.T) {
	const rounds, from, to = 220, 60, 160
	centre := func(address string) string { return address[:1] }
	tests := map[string]struct {
		// seeds are the first router of each data centre if there are none.
		seeds     []string
		cut       func(a, b string) bool
		killed    func(address string) bool
		restarted bool
		least     float64
	}{
		"all at work":                 {least: 1},
		"a data centre cut off":       {cut: func(a, b string) bool { return (centre(a) == "a") != (centre(b) == "a") }, least: 1},
		"each data centre for itself": {cut: func(a, b string) bool { return centre(a) != centre(b) }, least: 1},
		"some killed":                 {killed: func(a string) bool { return strings.HasSuffix(a, "1") }, least: 0.5},
		"some restarted":              {killed: func(a string) bool { return strings.HasSuffix(a, "1") }, restarted: true, least: 1},
		"a part that is cut off restarts": {cut: func(a, b string) bool { return (centre(a) == "a") != (centre(b) == "a") },
			killed: func(a string) bool { return centre(a) == "a" }, restarted: true, least: 0.99},
		"a data centre and its rest restart apart": {cut: func(a, b string) bool { return (centre(a) == "a") != (centre(b) == "a") },
			killed: func(string) bool { return true }, restarted: true, least: 0.99},
		"a part without a seed restarts": {seeds: []string{"b0", "b1", "c0"},
			cut:    func(a, b string) bool { return (centre(a) == "a") != (centre(b) == "a") },
			killed: func(string) bool { return true }, restarted: true, least: 0.99},
	}
	for name, test := range tests {
		seeds := test.seeds
		if seeds == nil {
			seeds = []string{"a0", "b0", "c0"}
		}
		for _, size := range []int{6, 12, 30, 60} {
			t.Run(fmt.Sprintf("%s of %d", name, size), func(t *testing.T) {
				t.Parallel()
				f := newFleet(0)
				f.random = rand.New(rand.NewPCG(uint64(size), 0))
				started := make(map[string]time.Time)
				start := func(address string) {
					f.tables[address] = New(address, seeds, testMaxPartners)
					started[address] = f.now
				}
				for n := range size {
					start(fmt.Sprint(string("abc"[n%3]), n/3))
				}
				down := func(address string) bool {
					return test.killed != nil && !test.restarted && f.rounds >= from && test.killed(address)
				}
				cut := func(a, b string) bool { return test.cut != nil && f.rounds >= from && f.rounds < to && test.cut(a, b) }
				sum := 0.0
				for range rounds {
					if f.rounds == from+1 && test.restarted {
						for address := range f.tables {
							if test.killed(address) {
								start(address)
							}
						}
					}
					f.reportRound(down, cut, started)
					sum = f.parts(down, started)
					require.LessOrEqual(t, sum, 1+1e-9, "round %d", f.rounds)
				}
				assert.GreaterOrEqual(t, sum, test.least-1e-9)
			})
		}
	}
}

func TestRouters(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		seeds []string
		play  func(t *Table)
		after time.Duration
		want  float64
	}{
		"alone":                       {nil, func(*Table) {}, 0, 1},
		"a member":                    {nil, func(t *Table) { t.RecordHeartbeat("m", now) }, 0, 2},
		"a silent one":                {nil, func(t *Table) { t.RecordHeartbeat("m", now) }, time.Hour, 2},
		"one that is silent for long": {nil, func(t *Table) { t.RecordHeartbeat("m", now) }, 3 * time.Hour, 1},
		"one that has just stopped":   {nil, func(t *Table) { t.RecordHeartbeat("m", now); t.RecordLeave("m", now) }, 25 * time.Second, 2},
		"one that has stopped":        {nil, func(t *Table) { t.RecordHeartbeat("m", now); t.RecordLeave("m", now) }, 31 * time.Second, 1},
		"what another one reports":    {nil, func(t *Table) { t.RecordCount(Count{7, false}, now) }, reportTime, 7},
		"an old report":               {nil, func(t *Table) { t.RecordCount(Count{7, false}, now) }, 2 * reportTime, 1},
		"no seed met":                 {[]string{"s", "t"}, func(*Table) {}, 0, 0},
		"a seed met":                  {[]string{"s", "t"}, func(t *Table) { t.RecordHeartbeat("s", now) }, 0, 4},
		"a seed itself":               {[]string{"own", "t"}, func(*Table) {}, 0, 2},
		"seeds that nobody reaches":   {[]string{"s", "t"}, func(t *Table) { t.RecordCount(Count{3, true}, now) }, 0, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New("own", test.seeds, testMaxPartners)
			table.SetWindow(10 * time.Second)
			test.play(table)
			for at := time.Duration(0); at <= test.after; at += time.Second {
				table.Expire(now.Add(at))
			}
			assert.Equal(t, test.want, table.Routers(now.Add(test.after)))
		})
	}
}

// Guards against a number of routers that falls as soon as a seed is met, when the routers behind it
// are not known yet.
func TestRoutersDoNotFallWhileSeedsAreMet(t *testing.T) {
	now := time.Now()
	meet := func(addresses ...string) func(*Table, time.Time) {
		return func(t *Table, now time.Time) {
			for _, address := range addresses {
				t.RecordHeartbeat(address, now)
			}
		}
	}
	report := func(c Count) func(*Table, time.Time) {
		return func(t *Table, now time.Time) { t.RecordCount(c, now) }
	}
	type step struct {
		after time.Duration
		play  func(*Table, time.Time)
		want  float64
	}
	nothing := func(*Table, time.Time) {}
	tests := map[string][]step{
		"a seed":                      {{0, meet("s", "a", "b"), 8}, {time.Minute, meet("t"), 8}, {reportTime, nothing, 5}},
		"a seed, and many routers":    {{0, meet("s", "a", "b"), 8}, {time.Minute, meet("t", "c", "d", "e", "f"), 9}, {reportTime, nothing, 9}},
		"one that has met all seeds":  {{0, meet("s", "a", "b"), 8}, {time.Minute, report(Count{5, true}), 8}, {reportTime - 1, report(Count{5, true}), 8}, {1, nothing, 5}},
		"the first seed, late":        {{0, nothing, 0}, {time.Minute, meet("s"), 0}, {reportTime, nothing, 4}},
		"one that has met all, late":  {{0, nothing, 0}, {time.Minute, report(Count{5, true}), 0}, {reportTime - 1, report(Count{5, true}), 0}, {1, nothing, 5}},
		"the first seed at the start": {{0, nothing, 0}, {time.Second, meet("s"), 4}},
		"both seeds late, one by one": {{0, nothing, 0}, {time.Minute, meet("s"), 0}, {time.Second, meet("t"), 0}, {reportTime, nothing, 3}},
	}
	for name, steps := range tests {
		t.Run(name, func(t *testing.T) {
			table, at := New("own", []string{"s", "t"}, testMaxPartners), now
			for i, s := range steps {
				at = at.Add(s.after)
				s.play(table, at)
				assert.Equal(t, s.want, table.Routers(at), i)
			}
		})
	}
}

// Guards against parts of the fleet that know nothing of each other and count the same seeds, and
// against seeds that are not known again once all routers reach each other. While they meet again
// there are many views, of which TestPartsOfAFleetKeepColdBound tests what they amount to.
func TestPartsThatAreCutOffKnowDifferentSeeds(t *testing.T) {
	// Routers that started later than settled do not know the others of their part yet.
	const rounds, from, to, settled = 220, 60, 160, 4 * time.Second
	seeds := []string{"a0", "b0", "c0"}
	apart := func(a, b string) bool { return a[:1] != b[:1] }
	tests := map[string]struct {
		seeds []string
		cut   func(a, b string) bool
		ends  func(address string) bool
		most  float64
	}{
		"all at work":                              {seeds, func(string, string) bool { return false }, func(string) bool { return false }, 1},
		"apart":                                    {seeds, apart, func(string) bool { return false }, 1},
		"apart, all started since":                 {seeds, apart, func(string) bool { return true }, 1},
		"apart, half started since":                {seeds, apart, func(a string) bool { return a[len(a)-1]%2 == 0 }, 2},
		"apart, those of one part started since":   {seeds, apart, func(a string) bool { return a[:1] == "a" }, 2},
		"apart, all seeds are in one, all started": {[]string{"a0", "a1", "a2"}, apart, func(string) bool { return true }, 1},
		"apart, one has no seed, all started":      {[]string{"a0", "a1", "b0"}, apart, func(string) bool { return true }, 1},
	}
	for name, test := range tests {
		for _, size := range []int{9, 30} {
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				t.Parallel()
				f, started := newFleet(0), make(map[string]time.Time)
				start := func(address string) {
					f.tables[address], started[address] = New(address, test.seeds, testMaxPartners), f.now
				}
				for n := range size {
					start(fmt.Sprint(string("abc"[n%3]), n/3))
				}
				cut := func(a, b string) bool { return f.rounds >= from && f.rounds < to && test.cut(a, b) }
				for range rounds {
					if f.rounds == from+1 {
						for address := range f.tables {
							if test.ends(address) {
								start(address)
							}
						}
					}
					f.cutRound(nobody, cut)
					if f.rounds >= to {
						continue
					}
					views := make(map[string]float64)
					for address, table := range f.tables {
						if f.now.Sub(started[address]) >= settled {
							known, all := table.SeedsKnown()
							views[strings.Join(table.KnownAddresses(), " ")] = float64(known) / float64(all)
						}
					}
					sum := 0.0
					for _, part := range views {
						sum += part
					}
					require.LessOrEqual(t, sum, test.most+1e-9, "round %d", f.rounds)
				}
				for address, table := range f.tables {
					known, all := table.SeedsKnown()
					assert.Equal(t, all, known, address)
				}
			})
		}
	}
}

func TestSeedsKnown(t *testing.T) {
	now := time.Now()
	stop := func(t *Table) { t.RecordHeartbeat("s", now); t.RecordLeave("s", now) }
	tests := map[string]struct {
		seeds       []string
		play        func(t *Table)
		after       time.Duration
		known, each int
	}{
		"no seeds":                      {nil, func(*Table) {}, 0, 0, 0},
		"not met":                       {[]string{"s", "t"}, func(*Table) {}, 0, 0, 2},
		"not met for long":              {[]string{"s", "t"}, func(*Table) {}, 3 * time.Hour, 0, 2},
		"itself":                        {[]string{"own", "t"}, func(*Table) {}, 0, 1, 2},
		"a member":                      {[]string{"s", "t"}, func(t *Table) { t.RecordHeartbeat("s", now) }, 0, 1, 2},
		"a silent one":                  {[]string{"s", "t"}, func(t *Table) { t.RecordHeartbeat("s", now) }, time.Hour, 1, 2},
		"one that is silent for long":   {[]string{"s", "t"}, func(t *Table) { t.RecordHeartbeat("s", now) }, 3 * time.Hour, 0, 2},
		"one that has just stopped":     {[]string{"s", "t"}, stop, 25 * time.Second, 1, 2},
		"one that stopped a while ago":  {[]string{"s", "t"}, stop, time.Minute, 0, 2},
		"one that is met by its report": {[]string{"s", "t"}, func(t *Table) { t.Merge([]Row{{"s", time.Second}}, now) }, 0, 1, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			table := New("own", test.seeds, testMaxPartners)
			test.play(table)
			for at := time.Duration(0); at <= test.after; at += time.Second {
				table.Expire(now.Add(at))
			}
			known, each := table.SeedsKnown()
			assert.Equal(t, []int{test.known, test.each}, []int{known, each})
		})
	}
}
