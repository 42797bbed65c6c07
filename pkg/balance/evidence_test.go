package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
)

// succeedAll lets each engine answer some requests successfully.
func succeedAll(b *Balancer, engines, times int, now time.Time) {
	for range times {
		for i := range engines {
			b.RequestSucceeded(fmt.Sprintf("i-%d", i), nil, now)
		}
	}
}

func TestAnEngineThatFailsMoreThanTheOthersIsAvoided(t *testing.T) {
	for _, kind := range []Failure{Errored, Broke} {
		b, other := newBalancer(engines(12)), newBalancer(engines(12))
		succeedAll(b, 12, 4, start)
		for range 3 {
			b.RequestFailed("i-4", kind, "dc0", start)
		}
		assert.True(t, b.Suspected("i-4", start), kind)
		assert.False(t, b.Suspected("i-5", start), kind)
		other.MergePeer("b", b.TakePeerUpdate(start), start)
		assert.True(t, other.Suspected("i-4", start), "by rumor, %s", kind)
	}
}

// Guards against avoiding engines for occasional failures. When one answer in thirty was
// lost at half of the engines, each was avoided for it, and its parts were copied
// elsewhere and back.
func TestOccasionalFailureIsIgnored(t *testing.T) {
	b := newBalancer(engines(12))
	succeedAll(b, 12, 10, start)
	b.RequestFailed("i-4", Broke, "dc0", start)
	assert.False(t, b.Suspected("i-4", start))
	b.RequestFailed("i-4", Errored, "dc0", start.Add(3*outcomeDecayTime))
	assert.False(t, b.Suspected("i-4", start.Add(3*outcomeDecayTime)), "the first is forgotten")
}

func TestFailureCommonToAllIsIgnored(t *testing.T) {
	for _, large := range []bool{false, true} {
		b := newBalancer(engines(12))
		b.SetLargeFleet(large)
		succeedAll(b, 12, 3, start)
		// Interleaved, so that all counts rise together as in a fault of the whole
		// service.
		for range 2 {
			for i := range 12 {
				b.serviceOutcomes("llm").addFailure(start)
				b.replicas[fmt.Sprintf("i-%d", i)].softOutcomes.addFailure(start)
			}
		}
		b.RequestFailed("i-4", Errored, "dc0", start)
		assert.False(t, b.Suspected("i-4", start), "large %v", large)
	}
}

func TestRecentlyFailedReplicaIsAvoidedAfterOneFailure(t *testing.T) {
	b := newBalancer(engines(12))
	succeedAll(b, 12, 4, start)
	for range 3 {
		b.RequestFailed("i-4", Errored, "dc0", start)
	}
	later := start.Add(3 * time.Second)
	assert.False(t, b.Suspected("i-4", later))
	b.RequestFailed("i-4", Errored, "dc0", later)
	assert.True(t, b.Suspected("i-4", later))
}

func TestSingleLostAnswerIsNotAHang(t *testing.T) {
	b := newBalancer(engines(12))
	succeedAll(b, 12, 4, start)
	soon := start.Add(100 * time.Millisecond)
	b.RequestFailed("i-4", Hung, "dc0", soon)
	assert.False(t, b.Suspected("i-4", soon), "it has just answered another")
	b.RequestFailed("i-5", Hung, "dc0", start.Add(time.Second))
	assert.False(t, b.Suspected("i-5", start.Add(time.Second)), "one alone")
	b.RequestFailed("i-5", Hung, "dc0", start.Add(1100*time.Millisecond))
	assert.True(t, b.Suspected("i-5", start.Add(1100*time.Millisecond)), "two, and no answer between them")
}

// In a large fleet a rumor is judged by the router that saw the failure, and is forwarded
// once.
func TestLargeFleetDoesNotForwardInsignificantFailures(t *testing.T) {
	b := newBalancer(engines(12))
	b.SetLargeFleet(true)
	succeedAll(b, 12, 1, start)
	for range 8 {
		b.serviceOutcomes("llm").addFailure(start)
	}
	b.RequestFailed("i-4", Errored, "dc0", start)
	assert.Empty(t, b.TakePeerUpdate(start).Failures)
	other := newBalancer(engines(12))
	other.SetLargeFleet(true)
	other.MergePeer("b", PeerUpdate{Rumors: Rumors{Failures: []ObservedFailure{{ReplicaHash("i-4"), Errored, start}}}}, start)
	assert.True(t, other.Suspected("i-4", start))
	assert.Len(t, other.TakePeerUpdate(start).Failures, 1)
	other.MergePeer("b", PeerUpdate{Rumors: Rumors{Failures: []ObservedFailure{{ReplicaHash("i-4"), Errored, start}}}}, start)
	assert.Empty(t, other.TakePeerUpdate(start).Failures)
}

// Guards against treating one lost answer as a hang, here or at the routers of a large
// fleet, which believe what they are told. Routers of a small fleet judge for themselves:
// two such answers, seen by two routers, make a hang.
func TestLostAnswerIsReportedAsBroken(t *testing.T) {
	b := New(1)
	b.SetLargeFleet(true)
	b.SetReplicas([]directory.Replica{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, start)
	b.RequestFailed("a", Hung, "", start)
	told := b.TakeRumors(start).Failures
	require.Len(t, told, 1)
	assert.Equal(t, Broke, told[0].Failure)
	for range 2 {
		b.RequestFailed("b", Hung, "", start.Add(time.Second))
	}
	told = b.TakeRumors(start).Failures
	require.NotEmpty(t, told)
	assert.Equal(t, Hung, told[len(told)-1].Failure)
	b.SetLargeFleet(false)
	b.RequestFailed("a", Hung, "", start.Add(time.Minute))
	told = b.TakeRumors(start).Failures
	require.NotEmpty(t, told)
	assert.Equal(t, Hung, told[len(told)-1].Failure)
}
