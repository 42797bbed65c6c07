package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// A plain service of three replicas got the work of 78 routers at one of them after
// the other: each router took the one that all had been told was the least loaded,
// a round of telling ago. In one second 398, 164 and 66 requests came to them, and
// those that were full turned away 1,189 of 12,746 in the day.
func TestLargeFleetSpreadsPlainRequests(t *testing.T) {
	const routers = 300
	told := PeerUpdate{Running: []ReplicaCount{{ReplicaHash("i-0"), 6}, {ReplicaHash("i-1"), 12}, {ReplicaHash("i-2"), 0}}}
	got := make(map[string]int)
	for seed := range uint64(routers) {
		b := New(seed)
		b.SetReplicas(engines(3), start)
		b.SetLargeFleet(true)
		b.MergePeer("other", told, start)
		got[pick(t, b, nil, start).Replica.ID]++
	}
	assert.Less(t, got["i-2"], routers*3/4, "the idle one does not get all")
	assert.Greater(t, got["i-2"], got["i-0"])
	assert.Greater(t, got["i-0"], got["i-1"])
	assert.Greater(t, got["i-1"], routers/20)
}

func TestLargeFleetPassesOverAvoidedReplicas(t *testing.T) {
	b := newBalancer(engines(3))
	b.SetLargeFleet(true)
	b.RequestFailed("i-0", Shed, "dc0", start)
	b.RequestFailed("i-1", Shed, "dc0", start)
	for range 50 {
		choice := pick(t, b, nil, start)
		assert.Equal(t, "i-2", choice.Replica.ID)
		assert.Equal(t, LeastLoaded, choice.Reason)
	}
	b.RequestFailed("i-2", Shed, "dc0", start)
	got := make(map[string]int)
	for range 300 {
		choice := pick(t, b, nil, start)
		got[choice.Replica.ID]++
		assert.Equal(t, LastResort, choice.Reason)
	}
	assert.Len(t, got, 3, "all are avoided, so each gets a part")
}
