package admission

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Property tests draw the same cases in every run.
func init() { _ = flag.Set("rapid.seed", "20261202") }

var start = time.Unix(1_800_000_000, 0)

func item(flow string, share float64, priority int) *Item[string] {
	return &Item[string]{Flow: flow, Share: share, Priority: priority, Work: 100, Deadline: start.Add(time.Hour), Payload: flow}
}

func acceptAny(*Item[string]) bool { return true }

func expectPush(t *testing.T, q *Queue[string], i *Item[string]) {
	t.Helper()
	refusal, displaced := q.Push(i, start, 0)
	require.Nil(t, refusal)
	require.Nil(t, displaced)
}

func TestQueueServesByShare(t *testing.T) {
	q := NewQueue[string](1000)
	for range 200 {
		expectPush(t, q, item("one", 1, 0))
		expectPush(t, q, item("three", 3, 0))
	}
	served := map[string]int{}
	for range 200 {
		served[q.Next(start, acceptAny).Flow]++
	}
	assert.InDelta(t, 50, served["one"], 2)
	assert.InDelta(t, 150, served["three"], 2)
}

func TestIdleFlowEarnsNoCredit(t *testing.T) {
	q := NewQueue[string](1000)
	for range 100 {
		expectPush(t, q, item("busy", 1, 0))
	}
	for range 50 {
		q.Next(start, acceptAny)
	}
	for range 50 {
		expectPush(t, q, item("late", 1, 0))
	}
	served := map[string]int{}
	for range 40 {
		served[q.Next(start, acceptAny).Flow]++
	}
	assert.InDelta(t, 20, served["late"], 1)
}

func TestPriorityWithinAFlow(t *testing.T) {
	q := NewQueue[string](10)
	low, high, second := item("a", 1, 1), item("a", 1, 5), item("a", 1, 5)
	for _, i := range []*Item[string]{low, high, second} {
		expectPush(t, q, i)
	}
	assert.Same(t, high, q.Next(start, acceptAny))
	assert.Same(t, second, q.Next(start, acceptAny))
	assert.Same(t, low, q.Next(start, acceptAny))
	assert.Nil(t, q.Next(start, acceptAny))
}

func TestNextSkipsRejectedItems(t *testing.T) {
	q := NewQueue[string](10)
	expectPush(t, q, item("blocked", 1, 0))
	expectPush(t, q, item("free", 1, 0))
	got := q.Next(start, func(i *Item[string]) bool { return i.Flow == "free" })
	assert.Equal(t, "free", got.Flow)
	assert.Equal(t, 1, q.Len())
}

func TestFullQueueRefusesFlowAboveItsShare(t *testing.T) {
	q := NewQueue[string](4)
	for range 4 {
		expectPush(t, q, item("surging", 1, 0))
	}
	refusal, displaced := q.Push(item("surging", 1, 0), start, 0)
	require.NotNil(t, refusal)
	assert.Nil(t, displaced)
	assert.Equal(t, QueueFull, refusal.Reason)
	assert.True(t, refusal.NotRun)
	refusal, displaced = q.Push(item("quiet", 1, 0), start, 0)
	assert.Nil(t, refusal)
	require.NotNil(t, displaced)
	assert.Equal(t, "surging", displaced.Flow)
	assert.Equal(t, 4, q.Len())
}

func TestPushRefusesUnreachableDeadline(t *testing.T) {
	q := NewQueue[string](100)
	for range 10 {
		expectPush(t, q, item("a", 1, 0))
	}
	late := item("a", 1, 0)
	late.Deadline = start.Add(9 * time.Second)
	refusal, _ := q.Push(late, start, 100) // ten items of 100 at 100 a second
	require.NotNil(t, refusal)
	assert.Equal(t, DeadlineMiss, refusal.Reason)
	assert.Equal(t, 10*time.Second, refusal.RetryAfter)
	late.Deadline = start.Add(11 * time.Second)
	refusal, _ = q.Push(late, start, 100)
	assert.Nil(t, refusal)
}

func TestWaitEstimateUsesServedRate(t *testing.T) {
	q := NewQueue[string](100)
	for range 20 {
		expectPush(t, q, item("slow", 1, 0))
	}
	now := start
	for range 10 { // one item of 100 every two seconds: 50 a second
		now = now.Add(2 * time.Second)
		q.Next(now, acceptAny)
	}
	// The whole queue is served at 1,000 a second, but not to this flow.
	assert.InDelta(t, 20, q.EstimateWait("slow", 1, 1000, now).Seconds(), 6)
}

// TestQueueMatchesModel checks the queue against a plain model under random use.
func TestQueueMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		q := NewQueue[string](limit)
		waiting := map[*Item[string]]bool{}
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				flow := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "flow")
				i := item(flow, float64(len(flow)), rapid.IntRange(0, 2).Draw(t, "priority"))
				refusal, displaced := q.Push(i, start, 0)
				if refusal == nil {
					waiting[i] = true
				}
				delete(waiting, displaced)
			},
			"next": func(*rapid.T) {
				if i := q.Next(start, acceptAny); i != nil {
					require.True(t, waiting[i])
					delete(waiting, i)
				}
			},
			"remove": func(*rapid.T) {
				for i := range waiting {
					require.True(t, q.Remove(i))
					require.False(t, q.Remove(i))
					delete(waiting, i)
					break
				}
			},
			"": func(t *rapid.T) {
				require.Equal(t, len(waiting), q.Len())
				require.LessOrEqual(t, q.Len(), limit)
				require.InDelta(t, 100*float64(len(waiting)), q.Work(), 1e-6)
			},
		})
	})
}

func TestSurgeLimit(t *testing.T) {
	l := NewLimits()
	l.StartFull()
	limit := Limit{Rate: 100, Burst: 1000}
	for range 10 {
		require.Nil(t, l.Admit(start, "org", limit, 100, 1))
	}
	refusal := l.Admit(start, "org", limit, 100, 1)
	require.NotNil(t, refusal)
	assert.Equal(t, SurgeLimit, refusal.Reason)
	assert.Equal(t, time.Second, refusal.RetryAfter)
	assert.Nil(t, l.Admit(start.Add(time.Second), "org", limit, 100, 1))
	assert.Nil(t, l.Admit(start, "other", limit, 100, 1), "organisations have separate limits")
}

func TestOnlyDemandNearLimitIsVisited(t *testing.T) {
	l := NewLimits()
	l.StartFull()
	require.Nil(t, l.Admit(start, "small", Limit{Rate: 1000, Burst: 10_000}, 100, 1))
	require.Nil(t, l.Admit(start, "large", Limit{Rate: 1000, Burst: 10_000}, 4000, 1))
	var told []string
	l.VisitNearLimit(start, 2, func(organisation string, _ float64) { told = append(told, organisation) })
	assert.Equal(t, []string{"large"}, told)
}

func TestFractionFollowsDemand(t *testing.T) {
	for _, c := range []struct {
		own, others float64
		routers     int
		want        float64
	}{
		{100, -1, 4, 0.25}, // no digests: evenly
		{0, 0, 4, 0.25},    // no demand: evenly
		{100, 0, 4, 0.925}, // all of it here
		{0, 100, 4, 0.025}, // none of it here
		{50, 150, 4, 0.25},
	} {
		assert.InDelta(t, c.want, LimitFraction(c.own, c.others, c.routers), 1e-9, "%+v", c)
	}
	sum := 0.0
	for _, own := range []float64{10, 20, 70, 0} {
		sum += LimitFraction(own, 100-own, 4)
	}
	assert.InDelta(t, 1, sum, 1e-9, "the fractions add up to the limit")
}

func TestRetriesStayWithinRatio(t *testing.T) {
	r := NewRetryBudget(DefaultRetryRatio, DefaultRetryReserve)
	spent := 0
	for range 1000 {
		r.Earn()
		if r.Spend() {
			spent++
		}
	}
	assert.InDelta(t, 100+DefaultRetryReserve, spent, 2)
}

func TestRefusalNames(t *testing.T) {
	seen := map[string]bool{}
	for reason := range ReasonNames() {
		assert.False(t, seen[reason.String()])
		seen[reason.String()] = true
	}
	refusal := Refuse(QueueFull, 0, "full")
	assert.ErrorIs(t, refusal, ErrRefused)
	assert.False(t, RefusePossiblyRun(TargetFailed, "").NotRun)
	assert.Equal(t, "reason_99", fmt.Sprint(Reason(99)))
}
