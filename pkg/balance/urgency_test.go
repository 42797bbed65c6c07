package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// In a fleet of many replicas with few requests each, old counts do no harm. Once replicas
// are above their bound, the other routers must know soon.
func TestCountsAreUrgentOnceReplicasAreAboveTheirBound(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(1)
	b.SetLargeFleet(true)
	var list []directory.Replica
	for i := range 1000 {
		list = append(list, directory.Replica{ID: fmt.Sprintf("i-%d", i), Service: "s"})
	}
	b.SetReplicas(list, now)
	assert.False(t, b.CountsUrgent(now), "nothing runs")
	for i := range 100 {
		b.RequestStarted(fmt.Sprintf("i-%d", i))
	}
	assert.False(t, b.CountsUrgent(now))
	b.MergePeer("peer", PeerUpdate{Running: []ReplicaCount{{Replica: ReplicaHash("i-1"), Running: 4}}}, now)
	assert.True(t, b.CountsUrgent(now), "five requests at one replica")
	b.RemovePeer("peer")
	assert.False(t, b.CountsUrgent(now))
}
