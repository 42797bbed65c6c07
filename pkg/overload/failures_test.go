package overload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const round = 600 * time.Millisecond

// contended is a report of a fleet whose organisations "a" and "b" ask for more than there is.
func contended() Report { return loaded(200*time.Millisecond, 300, 100) }

// half is a report of half of that fleet.
func half() Report {
	r := contended()
	for i, row := range r.Replicas {
		r.Replicas[i] = ReplicaReport{row.Replica, row.Answered / 2, 0, row.Busy / 2}
	}
	for i := range r.Shares {
		r.Shares[i].Offered /= 2
		r.Shares[i].Usual /= 2
	}
	return r
}

// Guards against figures of a dead or cut-off router that go on refusing requests.
func TestSourcesThatEnd(t *testing.T) {
	for _, tc := range []struct {
		name    string
		end     []string
		removed bool
		after   time.Duration
		refuses bool
	}{
		{"a router dies", []string{"x"}, false, 5 * round, true},
		{"a router is removed", []string{"x"}, true, 0, true},
		{"a data centre is cut off", []string{"x", "y"}, false, 5 * round, false},
		{"a data centre is cut off, one report lost so far", []string{"x", "y"}, false, round, true},
		{"a data centre is cut off, just before its reports expire", []string{"x", "y"}, false, reportExpiry, true},
		{"a data centre is cut off, just after", []string{"x", "y"}, false, reportExpiry + 1, false},
		{"all are removed", []string{"x", "y"}, true, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := New(1)
			c.MergeReport("x", half(), start)
			c.MergeReport("y", half(), start)
			before := refused(c, 0, start)
			now := start.Add(tc.after)
			for _, name := range tc.end {
				if tc.removed {
					c.RemoveSource(name)
				}
			}
			if len(tc.end) == 1 {
				c.MergeReport("y", half(), now)
			}
			after := refused(c, 0, now)
			assert.Equal(t, tc.refuses, after > 0)
			assert.LessOrEqual(t, after, before+1e-9, "no more refusals than before")
		})
	}
}

// Guards against a restarted router that refuses without information, or never again.
func TestRestart(t *testing.T) {
	c := New(2)
	c.Arrived("s", Share{Organisation: "a"}, start)
	assert.Zero(t, refused(c, 0, start))
	c.MergeReport("x", half(), start.Add(round))
	assert.Positive(t, refused(c, 0, start.Add(round)))
}

// Guards against a restart of half of the fleet that is taken for a loss of capacity.
func TestHalfOfTheFleetRestarts(t *testing.T) {
	c := New(1)
	c.MergeReport("x", half(), start)
	c.MergeReport("y", half(), start)
	before := refused(c, 0, start)
	c.MergeReport("x", half(), start.Add(round))
	c.MergeReport("y", Report{}, start.Add(round))
	assert.LessOrEqual(t, refused(c, 0, start.Add(round)), before+1e-9)
}

// Guards against the figures of a replica that is no longer usable, or that hangs, and
// against refusals that its loss does not require.
func TestReplicaEnds(t *testing.T) {
	c := New(1)
	c.MergeReport("x", loaded(60*time.Millisecond, 250), start)
	whole := c.Status("s", target, usable, start)
	dead := c.Status("s", target, usable[:2], start)
	assert.InDelta(t, whole.Capacity*2/3, dead.Capacity, 1e-6)
	assert.False(t, dead.Limiting, "nothing waits yet")

	r := loaded(80*time.Millisecond, 250)
	r.Replicas[2] = ReplicaReport{Replica: 3}
	c.MergeReport("x", r, start)
	hung := c.Status("s", target, usable, start)
	assert.InDelta(t, 100+100+6/0.08, hung.Capacity, 1e-6)
	assert.False(t, hung.Limiting)
}

// Guards against a queue at a replica that this router may not use.
func TestWaitElsewhereRefusesNothing(t *testing.T) {
	c := New(1)
	r := loaded(60*time.Millisecond, 900, 100)
	r.Replicas[2].Busy = 60
	c.MergeReport("x", r, start)
	assert.Positive(t, refused(c, 0, start))
	q := request(0)
	q.Usable = usable[:2]
	assert.True(t, c.Decide(q, start).Admitted)
}

// Guards against reports that are counted twice, that lose weight before they expire, and that
// count after it.
func TestRepeatedLateAndLostReports(t *testing.T) {
	c := New(1)
	c.MergeReport("x", contended(), start)
	once := c.Status("s", target, usable, start)
	c.MergeReport("x", contended(), start)
	assert.Equal(t, once, c.Status("s", target, usable, start))
	assert.Len(t, c.GroupReport([]string{"x", "x", "nobody"}, start).Replicas, 3)
	assert.InDelta(t, 100, c.GroupReport([]string{"x", "x"}, start).Replicas[0].Answered, 1e-9)

	lost := c.Status("s", target, usable, start.Add(2*round))
	assert.Equal(t, once, lost, "a report counts as it arrived")
	c.MergeReport("x", contended(), start.Add(2*round))
	assert.Equal(t, once, c.Status("s", target, usable, start.Add(2*round)))
	expiry := start.Add(2*round + 2500*time.Millisecond)
	assert.Equal(t, once, c.Status("s", target, usable, expiry.Add(-sumsExpiry-1)))
	assert.Zero(t, c.Status("s", target, usable, expiry.Add(1)))
}

// Guards against invalid figures that reach an estimate, shut an organisation out or take memory.
func TestHostileFigures(t *testing.T) {
	for _, figure := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 1e300, math.MaxFloat64} {
		t.Run(fmt.Sprint(figure), func(t *testing.T) {
			c := New(1)
			c.MergeReport("good", contended(), start)
			var r Report
			for i := range 100_000 {
				r.Replicas = append(r.Replicas, ReplicaReport{uint32(i), 1, figure, figure}, ReplicaReport{uint32(i), figure, 0, 1})
				r.Shares = append(r.Shares, ShareReport{hash32("s"), hash32(organisation(i)), i % 3, figure, 1},
					ShareReport{hash32("s"), hash32(organisation(i)), 3, 1, figure}, ShareReport{hash32("s"), 1, i - 50, 1, 1})
			}
			c.MergeReport("bad", r, start)
			assert.LessOrEqual(t, len(c.sources[1].replicas), maxRows)
			assert.LessOrEqual(t, len(c.sources[1].shares), maxRows)
			s := c.Status("s", target, usable, start)
			for _, f := range []float64{s.Capacity, s.Limit, s.Demand, s.Wait.Seconds(), s.Took.Seconds()} {
				assert.True(t, valid(f))
			}
			assert.GreaterOrEqual(t, s.Limit, 300.0/2, "half of what the good report says is answered")
			assert.Less(t, s.Wait+s.Took, 4*time.Second, "no request with its whole time is too late")
			for i := range 2 {
				assert.LessOrEqual(t, refused(c, i, start), 1-minAdmission)
			}
		})
	}
}

// Guards against rows that count twice in one message.
func TestRowsCountOnce(t *testing.T) {
	c := New(1)
	r := contended()
	r.Replicas = append(r.Replicas, r.Replicas...)
	r.Shares = append(r.Shares, r.Shares...)
	c.MergeReport("x", r, start)
	c.Status("s", target, usable, start)
	assert.Equal(t, contended(), Report{c.sources[0].replicas, c.sources[0].shares})
}

// Guards against refusals by a router whose partners are old builds and report nothing.
func TestOldBuildsReportNothing(t *testing.T) {
	c := New(1)
	for i := range 100 {
		now := start.Add(time.Duration(i) * 30 * time.Millisecond)
		c.Arrived("s", Share{Organisation: "a"}, now)
		c.MergeReport("old", Report{}, now)
		assert.True(t, c.Decide(request(0), now).Admitted)
		c.Answered(uint32(i%3+1), 60*time.Millisecond, now)
	}
}

// Guards against rows of shares at rest, which would exceed the control traffic allowed.
func TestReportsSharesOnlyWhileContended(t *testing.T) {
	c := New(1)
	c.Arrived("s", Share{Organisation: "a"}, start)
	c.Arrived("other", Share{Organisation: "a"}, start)
	c.MergeReport("x", loaded(60*time.Millisecond), start)
	c.Decide(request(0), start)
	assert.Empty(t, c.Report(start).Shares)
	c.MergeReport("x", contended(), start)
	assert.Equal(t, []ShareReport{{hash32("s"), hash32("a"), 0, 1, 0}}, c.Report(start).Shares)
	assert.Empty(t, c.Report(start).Replicas, "own figures only")
	c.Status("s", time.Minute, usable, start)
	assert.NotEmpty(t, c.Report(start).Shares, "the smallest target counts")
	group := c.GroupReport([]string{"x"}, start)
	assert.Len(t, group.Replicas, 3)
	assert.InDelta(t, 301, group.Shares[0].Offered, 1e-9)
	assert.InDelta(t, usualDemand, group.Shares[0].Usual, 1e-9)
}
