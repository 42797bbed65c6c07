package balance

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// preferenceBalancer returns a balancer with three replicas of each of two versions.
func preferenceBalancer(now time.Time, slots int) *Balancer {
	b := New(1)
	var list []directory.Replica
	for _, id := range []string{"v1-a", "v1-b", "v1-c", "v2-a", "v2-b", "v2-c"} {
		list = append(list, directory.Replica{ID: id, Service: "s", Address: id, DataCentre: "here", Version: id[:2], Slots: slots})
	}
	b.SetReplicas(list, now)
	return b
}

// preferredPicks returns the versions that picks with a preference choose.
func preferredPicks(t *testing.T, b *Balancer, q Request, now time.Time) map[string]bool {
	t.Helper()
	chosen := make(map[string]bool)
	for n := range 100 {
		if q.Parts != nil {
			q.Parts = []Part{{ID: uint64(n), Tokens: 100}, {ID: uint64(1000 + n), Tokens: 10}}
		}
		choice, found := b.Pick(q, now)
		require.True(t, found)
		chosen[choice.Replica.Version] = true
	}
	return chosen
}

func TestPreferredVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	both, first, second := map[string]bool{"v1": true, "v2": true}, map[string]bool{"v1": true}, map[string]bool{"v2": true}
	fail := func(kind Failure, ids ...string) func(b *Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.RequestFailed(id, kind, "here", now)
			}
		}
	}
	order := func(status rollout.State) func(b *Balancer) {
		return func(b *Balancer) {
			record := rollout.Record{Service: "s", Order: rollout.Order{Version: "v2", Duration: time.Minute, Revision: 1}, SeenAt: now}
			if status != "" {
				record.Status = rollout.Status{Version: "v2", State: status, Revision: 2}
			}
			b.Rollouts().SetRecords([]rollout.Record{record})
		}
	}
	for name, test := range map[string]struct {
		preferred, tried []string
		change           func(b *Balancer)
		want             map[string]bool
	}{
		"none":                     {want: both},
		"one":                      {preferred: []string{"v1"}, want: first},
		"the other":                {preferred: []string{"v2"}, want: second},
		"both":                     {preferred: []string{"v1", "v2"}, want: both},
		"one that is not listed":   {preferred: []string{"v0"}, want: both},
		"one and another":          {preferred: []string{"v0", "v2"}, want: second},
		"all of it were tried":     {preferred: []string{"v1"}, tried: []string{"v1-a", "v1-b", "v1-c"}, want: second},
		"one of it is left":        {preferred: []string{"v1"}, tried: []string{"v1-a", "v1-b"}, want: first},
		"all of it refuse":         {preferred: []string{"v1"}, change: fail(Refused, "v1-a", "v1-b", "v1-c"), want: second},
		"all of it reject":         {preferred: []string{"v1"}, change: fail(Shed, "v1-a", "v1-b", "v1-c"), want: second},
		"all of it hang":           {preferred: []string{"v1"}, change: fail(Hung, "v1-a", "v1-b", "v1-c", "v1-a", "v1-b", "v1-c"), want: second},
		"all of it broke off":      {preferred: []string{"v1"}, change: fail(Broke, "v1-a", "v1-b", "v1-c"), want: first},
		"one of it takes requests": {preferred: []string{"v1"}, change: fail(Refused, "v1-a", "v1-b"), want: first},
		"in a roll-out":            {preferred: []string{"v1"}, change: order(""), want: first},
		"completed, not recorded":  {preferred: []string{"v1"}, change: order(rollout.Completed), want: first},
		"rolled back":              {preferred: []string{"v2"}, change: order(rollout.RolledBack), want: first},
	} {
		for kind, parts := range map[string][]Part{"plain": nil, "engines": {{ID: 1, Tokens: 100}}} {
			t.Run(name+", "+kind, func(t *testing.T) {
				b := preferenceBalancer(now, 100)
				if test.change != nil {
					test.change(b)
				}
				q := Request{Service: "s", DataCentre: "here", Parts: parts, PreferredVersions: test.preferred, Tried: test.tried}
				assert.Equal(t, test.want, preferredPicks(t, b, q, now))
			})
		}
	}
}

// A preference does not load replicas above the bound.
func TestPreferredReplicasAboveTheBound(t *testing.T) {
	now := time.Unix(1000, 0)
	b := preferenceBalancer(now, 100)
	for n := range 120 {
		choice, found := b.Pick(Request{Service: "s", Parts: []Part{{ID: uint64(n), Tokens: 100}}, PreferredVersions: []string{"v1"}}, now)
		require.True(t, found)
		assert.Less(t, choice.Load, choice.Bound)
		b.RequestStarted(choice.Replica.ID)
	}
	load := func(version string) (running int) {
		for _, r := range b.replicas {
			if r.Version == version {
				running += r.running
			}
		}
		return running
	}
	assert.Greater(t, load("v1"), load("v2"))
	assert.NotZero(t, load("v2"))
}

// Guards against a preference for replicas that take no requests: those that do would get the requests
// for which the others have room.
func TestPreferenceCountsNoRoomOfReplicasThatTakeNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		kind Failure
		lost int
		// least and most are how many of 1,000 requests go to the preferred version.
		least, most int
	}{
		"none lost":      {Refused, 0, 1000, 1000},
		"two of three":   {Refused, 2, 0, 500},
		"they reject":    {Shed, 2, 0, 500},
		"they hang":      {Hung, 2, 0, 500},
		"all of them":    {Refused, 3, 0, 0},
		"they broke off": {Broke, 2, 1000, 1000},
	} {
		b := preferenceBalancer(now, 100)
		for _, id := range []string{"v1-a", "v1-b", "v1-c"}[:test.lost] {
			for range 3 {
				b.RequestFailed(id, test.kind, "here", now)
			}
		}
		for id, running := range map[string]int{"v1-c": 12, "v2-a": 12, "v2-b": 12, "v2-c": 12} {
			for range running {
				b.RequestStarted(id)
			}
		}
		preferred := 0
		for n := range 1000 {
			choice, found := b.Pick(Request{Service: "s", DataCentre: "here", Parts: []Part{{ID: uint64(n), Tokens: 100}}, PreferredVersions: []string{"v1"}}, now)
			require.True(t, found)
			if choice.Replica.Version == "v1" {
				preferred++
			}
		}
		assert.GreaterOrEqual(t, preferred, test.least, name)
		assert.LessOrEqual(t, preferred, test.most, name)
	}
}

// Guards against the same for replicas that a request is held back from.
func TestPreferenceCountsNoRoomOfReplicasHeldBack(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, test := range map[string]struct {
		change func(b *Balancer, q *Request)
		// least and most are how many of 1,000 requests go to the preferred version.
		least, most int
	}{
		"none":            {func(*Balancer, *Request) {}, 1000, 1000},
		"they were tried": {func(_ *Balancer, q *Request) { q.Tried = []string{"v1-a", "v1-b"} }, 0, 500},
		"they are cold": {func(b *Balancer, q *Request) {
			q.ColdRate = 1
			for _, id := range []string{"v1-a", "v1-b"} {
				b.replicas[id].ColdUntil = now.Add(time.Minute)
			}
		}, 0, 500},
		"they rest": {func(b *Balancer, _ *Request) {
			b.RestUntil("v1-a", now.Add(time.Second))
			b.RestUntil("v1-b", now.Add(time.Second))
		}, 0, 500},
		"they rested": {func(b *Balancer, _ *Request) {
			b.RestUntil("v1-a", now.Add(-time.Minute))
			b.RestUntil("v1-b", now.Add(-time.Minute))
		}, 1000, 1000},
		"another router does not reach them": {func(b *Balancer, _ *Request) {
			for _, id := range []string{"v1-a", "v1-b"} {
				b.replicas[id].reported.recordFailure(Refused, now)
			}
		}, 0, 500},
	} {
		b := preferenceBalancer(now, 100)
		q := Request{Service: "s", DataCentre: "here", PreferredVersions: []string{"v1"}}
		for id, running := range map[string]int{"v1-c": 12, "v2-a": 12, "v2-b": 12, "v2-c": 12} {
			for range running {
				b.RequestStarted(id)
			}
		}
		test.change(b, &q)
		preferred := 0
		for n := range 1000 {
			q.Parts = []Part{{ID: uint64(n), Tokens: 100}}
			choice, found := b.Pick(q, now)
			// Callers of Pick exclude replicas that rest.
			for asked := q; found && b.replicas[choice.Replica.ID].restUntil.After(now); choice, found = b.Pick(asked, now) {
				asked.Tried = append(slices.Clone(asked.Tried), choice.Replica.ID)
			}
			require.True(t, found)
			if choice.Replica.Version == "v1" {
				preferred++
			}
		}
		assert.GreaterOrEqual(t, preferred, test.least, name)
		assert.LessOrEqual(t, preferred, test.most, name)
	}
}

// A preference takes no slots that engines do not have.
func TestPreferredEnginesThatAreFullGetNoMore(t *testing.T) {
	now := time.Unix(1000, 0)
	b := preferenceBalancer(now, 1)
	for _, id := range []string{"v1-a", "v1-b", "v1-c"} {
		b.RequestStarted(id)
		b.RequestStarted(id)
	}
	q := Request{Service: "s", Parts: []Part{{ID: 1, Tokens: 100}}, PreferredVersions: []string{"v1"}}
	assert.Equal(t, map[string]bool{"v2": true}, preferredPicks(t, b, q, now))
}

// Cold replicas of a preferred version get no more than their rate.
func TestPreferredVersionThatIsCold(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(1)
	b.SetReplicas([]directory.Replica{
		{ID: "a", Service: "s", Version: "v1", ColdUntil: now.Add(time.Minute)},
		{ID: "b", Service: "s", Version: "v2"},
	}, now)
	q := Request{Service: "s", ColdRate: 1, PreferredVersions: []string{"v1"}}
	assert.Equal(t, map[string]bool{"v2": true}, preferredPicks(t, b, q, now))
}
