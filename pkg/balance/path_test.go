package balance

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against one replica that ended, and a lost answer, being taken for a lost path, and
// against a lost path that is not noticed.
func TestPathLost(t *testing.T) {
	type event struct {
		at   time.Duration
		id   string
		what string
	}
	const failed, answered, connected, probed = "failed", "answered", "connected", "probed"
	cases := map[string]struct {
		replicas int
		events   []event
		at       time.Duration
		lost     bool
		probes   int
	}{
		"one replica":                {3, []event{{1, "i-0", failed}, {2, "i-0", failed}}, 3, false, 0},
		"the only replica":           {1, []event{{1, "i-0", failed}}, 2, true, 1},
		"two replicas":               {3, []event{{1, "i-0", failed}, {2, "i-1", failed}}, 3, true, 1},
		"another answered between":   {3, []event{{1, "i-0", failed}, {2, "i-2", answered}, {3, "i-1", failed}}, 4, false, 2},
		"another answered since":     {3, []event{{1, "i-0", failed}, {2, "i-1", failed}, {3, "i-2", answered}}, 4, false, 2},
		"one took a connection":      {4, []event{{1, "i-0", failed}, {2, "i-1", failed}, {3, "i-2", failed}, {4, "i-1", connected}}, 5, false, 2},
		"the failures are old":       {3, []event{{1, "i-0", failed}, {2, "i-1", failed}}, 2 + pathFailureLifetime, false, 2},
		"probes fail":                {3, []event{{1, "i-0", failed}, {2, "i-1", failed}, {time.Second, "i-0", probed}, {time.Second, "i-1", probed}}, 2 + pathFailureLifetime, true, 1},
		"an answer has just come":    {3, []event{{1, "i-2", answered}, {2, "i-0", failed}, {3, "i-1", failed}}, 4 - contactLifetime, false, 2},
		"an answer came before":      {3, []event{{1, "i-2", answered}, {2, "i-0", failed}, {3, "i-1", failed}}, 4, true, 1},
		"all took a connection":      {2, []event{{1, "i-0", failed}, {2, "i-1", failed}, {3, "i-0", connected}, {3, "i-1", connected}}, 4, false, 0},
		"a probe of what is reached": {2, []event{{1, "i-0", probed}, {1, "i-1", probed}}, 2, false, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(engines(c.replicas))
			for _, e := range c.events {
				now := start.Add(e.at)
				switch e.what {
				case failed:
					b.RequestFailed(e.id, Unreachable, "dc0", now)
				case answered:
					b.RequestSucceeded(e.id, nil, now)
				case connected:
					b.Connected(e.id, now)
				case probed:
					b.ProbeFailed(e.id, now)
				}
			}
			now := start.Add(c.at + contactLifetime)
			assert.Equal(t, c.lost, b.PathLost("llm", now))
			assert.Len(t, b.PathProbes(now), c.probes)
			assert.Equal(t, c.lost, len(b.TakePeerUpdate(now).Failures) == 0 && slices.ContainsFunc(c.events, func(e event) bool { return e.what == failed }), "failures are sent unless the path is lost")
		})
	}
}

// Guards against a large fleet in which every router verifies each reported replica, reports the
// result again, and counts it as the loss of its own path.
func TestReportsOpenFewConnectionsInALargeFleet(t *testing.T) {
	const replicas, reported, requests = 400, 80, 10
	tests := map[string][]Part{"plain": nil, "engines": {{ID: 1, Tokens: 100}, {ID: 2, Tokens: 10}}}
	for name, parts := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(engines(replicas))
			b.SetLargeFleet(true)
			verified := 0
			b.SetReplicaHooks(ReplicaHooks{Verify: func(id, _ string) {
				verified++
				b.VerificationFailed(id, Unreachable, "dc0", start)
			}})
			now := start
			for n := range reported {
				now = start.Add(time.Duration(n) * time.Millisecond)
				failure := ObservedFailure{ReplicaHash(fmt.Sprint("i-", n)), Unreachable, now}
				b.MergeRumors(Rumors{Failures: []ObservedFailure{failure}}, now)
				assert.LessOrEqual(t, len(b.TakeRumors(now).Failures), 1, "passed on once")
			}
			assert.Zero(t, verified)
			for range requests {
				pick(t, b, parts, now)
			}
			assert.LessOrEqual(t, verified, requests)
			assert.Empty(t, b.TakeRumors(now).Failures, "what others reported is no news")
			assert.False(t, b.PathLost("llm", now.Add(contactLifetime)), "replicas that others do not reach tell nothing of the path")
		})
	}
}

// Guards against reports of routers whose own path is lost that exclude replicas here.
func TestReportedReplicaIsVerified(t *testing.T) {
	report := func(b *Balancer, id string, at time.Duration) {
		b.MergePeer("r2", PeerUpdate{Rumors: Rumors{Failures: []ObservedFailure{{ReplicaHash(id), Unreachable, start.Add(at)}}}}, start.Add(at))
	}
	for _, large := range []bool{false, true} {
		b := newBalancer(engines(3))
		b.SetLargeFleet(large)
		var verified []string
		b.SetReplicaHooks(ReplicaHooks{Verify: func(id, _ string) { verified = append(verified, id) }})
		suspected := func(at time.Duration) bool { return b.Suspected("i-0", start.Add(at)) }
		b.RequestSucceeded("i-0", nil, start.Add(2))
		report(b, "i-0", 1)
		assert.False(t, suspected(3), "the replica answered after the reported failure")
		assert.Empty(t, verified)
		report(b, "i-0", 4)
		report(b, "i-0", 5)
		assert.True(t, suspected(6), "until it is verified")
		if large {
			assert.Empty(t, verified, "no request would go there")
			pick(t, b, nil, start.Add(6))
			pick(t, b, nil, start.Add(6))
		}
		assert.Equal(t, []string{"i-0"}, verified, "once")
		assert.Equal(t, LastResort, pick(t, b, nil, start.Add(6), "i-1", "i-2").Reason)
		b.Connected("i-0", start.Add(7))
		report(b, "i-0", 8)
		assert.False(t, suspected(9), "reports are ignored for a while after that")
		report(b, "i-0", 10+verificationLifetime)
		assert.True(t, suspected(11+verificationLifetime))
		if large {
			pick(t, b, nil, start.Add(11+verificationLifetime))
		}
		b.RequestFailed("i-0", Unreachable, "dc0", start.Add(12+verificationLifetime))
		assert.True(t, suspected(13+verificationLifetime), "confirmed")
		assert.Len(t, verified, 2)
	}
}
