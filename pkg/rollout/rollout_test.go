package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func at(seconds float64) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

func order(revision uint64) Record {
	return Record{Service: "s", Order: Order{Version: "v2", Duration: 10 * time.Second, Revision: revision}, SeenAt: at(0)}
}

// version describes how requests end at a version.
type version struct {
	// failing is the part of the requests that fail, factor the multiple of the usual
	// duration. Both hold from a time on, and on one route if it is named.
	failing, factor float64
	from            time.Duration
	route           string
}

var sound = version{factor: 1}

// end draws how a request ends at a version.
func (v version) end(random *rand.Rand, route string, since time.Duration) Outcome {
	took := time.Duration((20 + 60*random.Float64()*random.Float64()) * float64(time.Millisecond))
	if since < v.from || v.route != "" && v.route != route {
		return Outcome{Duration: took}
	}
	if random.Float64() < v.failing {
		return Outcome{Failed: true}
	}
	return Outcome{Duration: time.Duration(float64(took) * max(v.factor, 1))}
}

// world plays a fleet of routers that send requests and exchange reports.
type world struct {
	random *rand.Rand
	// rate is the requests of the whole fleet in a second, replicas those of each version.
	rate, replicas int
	old, updated   version
	fleet          []*Controller
	// sent counts the requests at the new version, and all.
	sent, all int
}

func newWorld(seed uint64, routers, rate int, old, updated version) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0)), rate: rate, replicas: 12, old: old, updated: updated}
	for range routers {
		c := NewController()
		c.SetRecords([]Record{order(5)})
		w.fleet = append(w.fleet, c)
	}
	return w
}

// play runs the world for some seconds after the order. Reports are exchanged twice a
// second, and each may be lost.
func (w *world) play(from, until float64) {
	const steps = 4
	for step := int(from * steps); step < int(until*steps); step++ {
		now := at(float64(step) / steps)
		for range w.rate / steps {
			w.send(w.fleet[w.random.IntN(len(w.fleet))], now)
		}
		for i, c := range w.fleet {
			c.Advance(now)
			if step%2 != 0 {
				continue
			}
			for j, other := range w.fleet {
				if i != j && w.random.IntN(20) > 0 {
					other.MergeReports(fmt.Sprint(i), c.Reports(now), now)
				}
			}
		}
	}
}

func (w *world) send(c *Controller, now time.Time) {
	routes := []string{"a", "a", "a", "b", "b", "c"}
	route := routes[w.random.IntN(len(routes))]
	plan, _ := c.Plan("s", now)
	w.all++
	since := now.Sub(at(0))
	if w.random.Float64() < plan.Share {
		w.sent++
		canaries := max(2, int(plan.Share*float64(w.replicas)))
		c.Observe("s", route, "v2", fmt.Sprintf("new-%d", w.random.IntN(canaries)), w.updated.end(w.random, route, since))
		return
	}
	c.Observe("s", route, "v1", fmt.Sprintf("old-%d", w.random.IntN(w.replicas)), w.old.end(w.random, route, since))
}

func (w *world) phases() map[Phase]int {
	phases := make(map[Phase]int)
	for _, c := range w.fleet {
		for _, v := range c.Views(at(0)) {
			phases[v.Phase]++
		}
	}
	return phases
}

// A bad version got half of a service's requests until the operator took it back.
func TestBadVersionsAreRolledBackWithinTheExposure(t *testing.T) {
	for name, bad := range map[string]version{
		"half of the answers fail":   {failing: 0.5, factor: 1},
		"a fifth of them":            {failing: 0.2, factor: 1},
		"several times slower":       {factor: 8},
		"on one route only":          {failing: 0.5, factor: 1, route: "b"},
		"some seconds after a start": {failing: 0.5, factor: 1, from: 3 * time.Second},
		"while others fail too":      {failing: 0.6, factor: 1},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				old := sound
				if name == "while others fail too" {
					old.failing = 0.1
				}
				w := newWorld(seed, 6, 120, old, bad)
				w.play(0, 10)
				assert.Equal(t, map[Phase]int{Abandoned: 6}, w.phases(), "seed %d", seed)
				assert.Less(t, float64(w.sent), defaultExposure*float64(w.all)+50, "seed %d", seed)
			}
		})
	}
}

// A sound version must complete also while a part of all requests fails.
func TestGoodVersionsAreShiftedTo(t *testing.T) {
	for name, other := range map[string]version{"calm": sound, "worst hour": {failing: 0.15, factor: 3}} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(seed, 6, 120, other, other)
				w.play(0, 9)
				assert.Equal(t, map[Phase]int{Shifting: 6}, w.phases(), "seed %d", seed)
				plan, _ := w.fleet[0].Plan("s", at(8))
				assert.EqualValues(t, 1, plan.Share)
				writes := w.fleet[0].Pending(at(9), func(string) int { return 0 })
				require.Len(t, writes, 1)
				assert.Equal(t, Write{Service: "s", Version: "v2", State: Completed, Order: 5}, writes[0])
			}
		})
	}
}

// One faulty replica among the canaries is no reason to roll back.
func TestOneFaultyReplicaIsNotAFaultyVersion(t *testing.T) {
	c := NewController()
	c.SetRecords([]Record{order(5)})
	for i := range 300 {
		c.Observe("s", "a", "v1", fmt.Sprintf("old-%d", i%9), Outcome{Duration: time.Millisecond})
		c.Observe("s", "a", "v2", fmt.Sprintf("new-%d", i%5), Outcome{Failed: i%5 == 0, Duration: time.Millisecond})
	}
	c.Advance(at(7))
	assert.Equal(t, Shifting, c.Views(at(7))[0].Phase)
}

// A version that hardly anybody used, or that has no replicas, must not complete.
func TestVersionWithoutEvidenceIsRolledBackAtTheDeadline(t *testing.T) {
	c := NewController()
	c.SetRecords([]Record{order(5)})
	c.Advance(at(9.9))
	assert.Equal(t, Canary, c.Views(at(9.9))[0].Phase)
	c.Advance(at(10))
	assert.Equal(t, Abandoned, c.Views(at(10))[0].Phase)
	assert.Equal(t, RolledBack, c.Pending(at(10), func(string) int { return 0 })[0].State)
	plan, limited := c.Plan("s", at(11))
	assert.True(t, limited)
	assert.Zero(t, plan.Share)
}

// Reports are repeated, reordered and lost; only the newest of each router may count.
func TestReportsAreMergedInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := NewController()
		sender.SetRecords([]Record{order(5)})
		var reports [][]Report
		for i := range 10 {
			sender.Observe("s", fmt.Sprint(i%3), []string{"v1", "v2"}[i%2], fmt.Sprint(i), Outcome{Failed: i%4 == 0, Duration: time.Duration(i) * time.Millisecond})
			reports = append(reports, sender.Reports(at(0)))
		}
		receiver := NewController()
		receiver.SetRecords([]Record{order(5)})
		receiver.MergeReports("a", reports[len(reports)-1], at(0))
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(reports)-1), 0, 20).Draw(t, "arrivals") {
			receiver.MergeReports("a", reports[i], at(0))
		}
		assert.Equal(t, sender.runs["s"].allEvidence(), receiver.runs["s"].allEvidence())
	})
}

// A report about an earlier order says nothing about the present one.
func TestReportsOfAnotherOrderAreIgnored(t *testing.T) {
	c := NewController()
	c.SetRecords([]Record{order(5)})
	c.MergeReports("a", []Report{{Service: hash32("s"), Order: 4, Bad: true}}, at(0))
	assert.Equal(t, Canary, c.Views(at(0))[0].Phase)
	c.MergeReports("a", []Report{{Service: hash32("s"), Order: 5, Bad: true}}, at(0))
	assert.Equal(t, Abandoned, c.Views(at(0))[0].Phase)
}

// Guards against an outcome that comes after the deadline, since each router of a fleet that is replaced
// one after another takes the order for a new one.
func TestOrderAgeOutlivesRoutersReplacedInTurn(t *testing.T) {
	w := newWorld(1, 3, 100, sound, sound)
	w.play(0, 2)
	for i := range w.fleet {
		begun := 2 + float64(i)
		record := order(5)
		record.SeenAt = at(begun)
		w.fleet[i] = NewController()
		w.fleet[i].SetRecords([]Record{record})
		w.play(begun, begun+1)
	}
	w.play(5, 9)
	for i, c := range w.fleet {
		assert.Equal(t, Completed, c.runs["s"].wantedState(at(9)), "router %d", i)
	}
}

// A report says how old the order is at most as the sender knows it.
func TestOrderAgeOfAReport(t *testing.T) {
	for name, test := range map[string]struct {
		revision uint64
		elapsed  time.Duration
		progress float64
	}{
		"older than known here": {5, 8 * time.Second, 0.8},
		"newer than known here": {5, time.Second, 0.2},
		"of another order":      {4, 8 * time.Second, 0.2},
		"of an earlier build":   {5, 0, 0.2},
		"longer than the order": {5, time.Hour, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController()
			c.SetRecords([]Record{order(5)})
			c.MergeReports("a", []Report{{Service: hash32("s"), Order: test.revision, Elapsed: test.elapsed}}, at(2))
			c.SetRecords([]Record{order(5)})
			assert.InDelta(t, test.progress, c.runs["s"].progress(at(2)), 1e-9)
		})
	}
}

func TestRecordsOfTheStoreDecide(t *testing.T) {
	withStatus := func(state State, revision uint64) Record {
		r := order(5)
		r.Status = Status{Version: "v2", State: state, Revision: revision}
		return r
	}
	replaced := order(9)
	replaced.Order.Version = "v3"
	for name, test := range map[string]struct {
		records  []Record
		phase    Phase
		excluded []string
	}{
		"completed before this router started":   {[]Record{withStatus(Completed, 7)}, Finished, nil},
		"rolled back before":                     {[]Record{withStatus(RolledBack, 7)}, Abandoned, []string{"v2"}},
		"status of an earlier order":             {[]Record{withStatus(RolledBack, 3)}, Canary, nil},
		"an outcome is never turned":             {[]Record{withStatus(Completed, 7), withStatus(RolledBack, 8)}, Finished, nil},
		"replaced by another version":            {[]Record{order(5), replaced}, Canary, []string{"v2"}},
		"ordered again after it was rolled back": {[]Record{withStatus(RolledBack, 7), order(8)}, Canary, nil},
		"taken away":                             {[]Record{order(5), {Service: "s"}}, "", []string{"v2"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := NewController()
			for _, r := range test.records {
				c.SetRecords([]Record{r})
			}
			plan, _ := c.Plan("s", at(1))
			assert.Equal(t, test.excluded, plan.Excluded)
			var phase Phase
			for _, v := range c.Views(at(1)) {
				phase = v.Phase
			}
			assert.Equal(t, test.phase, phase)
		})
	}
}

// A write whose answer was lost must be read back before it is tried again, and routers
// must not all write at once.
func TestStatusIsWrittenInTurns(t *testing.T) {
	c := NewController()
	c.SetRecords([]Record{order(5)})
	second := func(string) int { return 1 }
	assert.Empty(t, c.Pending(at(0), second))
	writes := c.Pending(at(1.6), second)
	require.Len(t, writes, 1)
	assert.Equal(t, InProgress, writes[0].State)
	assert.Empty(t, c.Pending(at(2), second), "the answer may have been lost")
	written := order(5)
	written.Status = Status{Version: "v2", State: InProgress, Revision: 6}
	c.SetRecords([]Record{written})
	assert.Empty(t, c.Pending(at(9), second))
}
