package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// departedLifetime is how long a replica that is no longer listed may still be copied
// from. Many keep serving for seconds after their entry is gone. If the replica has
// ended, the copy yields nothing, and the prompt is read as it would be without a source.
const departedLifetime = 5 * time.Second

// departedReplica is a replica that is no longer listed.
type departedReplica struct {
	*replica
	removedAt time.Time
}

// retainDeparted keeps a replica that is no longer listed as a copy source.
func (b *Balancer) retainDeparted(r *replica, now time.Time) {
	if !b.disabled.Has(mechanism.Leavers) {
		b.departed[r.ID] = departedReplica{r, now}
	}
}

// pruneDeparted forgets the replicas that left too long ago to be copied from.
func (b *Balancer) pruneDeparted(now time.Time) {
	for id, l := range b.departed {
		if now.Sub(l.removedAt) > departedLifetime {
			delete(b.departed, id)
		}
	}
}

// copyableReplica returns the replica with an id if it may be copied from.
func (b *Balancer) copyableReplica(id string, now time.Time) *replica {
	r := b.replicas[id]
	if l, left := b.departed[id]; r == nil && left && now.Sub(l.removedAt) <= departedLifetime {
		r = l.replica
	}
	if r == nil || !r.isUsable() || b.isUnreachable(r, now) {
		return nil
	}
	return r
}
