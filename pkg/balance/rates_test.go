package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/overload"
)

// fixedEstimates holds the estimates of replicas by id. A replica without an entry is
// unknown; an empty map knows all of them alike.
type fixedEstimates map[string]overload.Estimate

func (f fixedEstimates) Estimate(r overload.Replica, _ []overload.Replica, _ time.Time) (overload.Estimate, bool) {
	if len(f) == 0 {
		return overload.Estimate{Capacity: 100}, true
	}
	for id, e := range f {
		if ReplicaHash(id) == r.Hash {
			return e, true
		}
	}
	return overload.Estimate{}, false
}

// drawnByRate returns how often each of three replicas is chosen by 6,000 routers.
func drawnByRate(t *testing.T, e Estimator, q Request) map[string]int {
	got := make(map[string]int)
	q.Service = "llm"
	for seed := range uint64(6000) {
		b := New(seed)
		b.SetReplicas(engines(3), start)
		b.SetLargeFleet(true)
		b.SetEstimator(e)
		choice, found := b.Pick(q, start)
		assert.True(t, found)
		assert.Equal(t, ByRate, choice.Reason)
		got[choice.Replica.ID]++
	}
	return got
}

// Guards against sending every request to the best replica, and against a weight that
// ignores capacity or wait.
func TestPlainRequestsAreDrawnByRate(t *testing.T) {
	got := drawnByRate(t, fixedEstimates{
		"i-0": {Capacity: 100, Wait: 75 * time.Millisecond},
		"i-1": {Capacity: 40, Wait: 75 * time.Millisecond},
		"i-2": {Capacity: 100, Wait: 575 * time.Millisecond},
	}, Request{DataCentre: "dc0"})
	// Weights 100, 40 and 50; the waits in other data centres differ by 2 ms only.
	assert.InDelta(t, 6000*100.0/190, got["i-0"], 250)
	assert.InDelta(t, 6000*40.0/190, got["i-1"], 250)
	assert.InDelta(t, 6000*50.0/190, got["i-2"], 250)
}

// Guards against a replica that is never asked again after a long wait: it would have no
// figures that show the end of the wait.
func TestAWaitingReplicaKeepsATwentiethOfItsRate(t *testing.T) {
	got := drawnByRate(t, fixedEstimates{
		"i-0": {Capacity: 100, Wait: 75 * time.Millisecond},
		"i-1": {Capacity: 100, Wait: 75 * time.Millisecond},
		"i-2": {Capacity: 100, Wait: 9 * time.Second},
	}, Request{})
	assert.InDelta(t, 6000*5.0/205, got["i-2"], 60)
}

// Guards against a change where there are no figures: old builds beside new ones, a router
// that has just started, the mechanism turned off.
func TestWithoutEstimatesPlainRequestsGoToTheLeastLoaded(t *testing.T) {
	cases := map[string]func(b *Balancer){
		"no estimator":           func(*Balancer) {},
		"nothing known":          func(b *Balancer) { b.SetEstimator(fixedEstimates{"other": {}}) },
		"one without a capacity": func(b *Balancer) { b.SetEstimator(fixedEstimates{"i-0": {}, "i-1": {}, "i-2": {}}) },
		"turned off": func(b *Balancer) {
			b.SetEstimator(fixedEstimates{})
			set, err := mechanism.Parse("rates")
			assert.NoError(t, err)
			b.DisableMechanisms(set)
		},
	}
	for name, prepare := range cases {
		t.Run(name, func(t *testing.T) {
			b, today := newBalancer(engines(3)), newBalancer(engines(3))
			prepare(b)
			for range 20 {
				want := pick(t, today, nil, start)
				got := pick(t, b, nil, start)
				assert.Equal(t, want, got)
				b.RequestStarted(got.Replica.ID)
				today.RequestStarted(want.Replica.ID)
			}
		})
	}
}

// Guards against refusals that count a replica as lost because it was full, and against a
// limit that counts replicas that can't be used.
func TestUsableReplicasIncludeFullOnes(t *testing.T) {
	hashes := func(b *Balancer, excluded ...string) []uint32 {
		var list []uint32
		for _, r := range b.UsableReplicas("llm", excluded, start) {
			list = append(list, r.Hash)
		}
		return list
	}
	b := newBalancer(engines(4))
	assert.Len(t, hashes(b), 4)
	b.RequestFailed("i-0", Shed, "dc0", start)
	b.RequestFailed("i-1", Refused, "dc0", start)
	assert.ElementsMatch(t, []uint32{ReplicaHash("i-0"), ReplicaHash("i-2"), ReplicaHash("i-3")}, hashes(b))
	assert.ElementsMatch(t, []uint32{ReplicaHash("i-0"), ReplicaHash("i-3")}, hashes(b, "i-2"))
	for _, id := range []string{"i-0", "i-2", "i-3"} {
		b.RequestFailed(id, Refused, "dc0", start)
	}
	assert.Empty(t, hashes(b), "none is within reach, so nothing is known of waiting")
}

// Guards against deciding by no replica while requests are sent to suspected ones.
func TestSuspectedReplicasAreUsableWhileThereIsNoOther(t *testing.T) {
	b := newBalancer(engines(3))
	b.SetCentreSilent("dc2", true)
	b.replicas["i-0"].health.recordFailure(Hung, start)
	b.replicas["i-1"].health.recordFailure(Hung, start)
	var hashes []uint32
	for _, r := range b.UsableReplicas("llm", nil, start) {
		hashes = append(hashes, r.Hash)
	}
	assert.ElementsMatch(t, []uint32{ReplicaHash("i-0"), ReplicaHash("i-1")}, hashes)
}
