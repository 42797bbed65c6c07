package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/overload"
)

// UsableReplicas returns the replicas of a service that this router may send requests to now.
// excluded holds ids that it must not use. A replica that is avoided only because it was full
// is included: it is alive, and how long requests wait there is what admission is decided by.
func (b *Balancer) UsableReplicas(service string, excluded []string, now time.Time) []overload.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usableReplicas(service, excluded, now)
}

// usableReplicas is UsableReplicas with b.mu held.
func (b *Balancer) usableReplicas(service string, excluded []string, now time.Time) []overload.Replica {
	list := make([]overload.Replica, 0, len(b.services[service]))
	for _, r := range b.services[service] {
		if slices.Contains(excluded, r.ID) || r.isCutOff(now) || r.health.isAvoided(now) && r.health.kind != Shed {
			continue
		}
		list = append(list, overload.Replica{Hash: r.shortHash, Slots: r.Slots})
	}
	return list
}
