package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against filling one replica after the other. A plain service of three replicas
// got the requests of 78 routers at one replica at a time: each router took the one that
// had been reported as the least loaded, one gossip round ago. In one second 398, 164 and
// 66 requests reached them, and the full ones turned away 1,189 of 12,746 requests in
// all.
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
