package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// departedLifetime is how long a replica that is listed no more may still be copied from.
// Many serve on for seconds after their entry is gone; from one that has ended
// nothing comes, and the prompt is read as it would have been without a source.
const departedLifetime = 5 * time.Second

// departedReplica is a replica that is listed no more.
type departedReplica struct {
	*replica
	removedAt time.Time
}

// retainDeparted keeps the replicas that are listed no more as places to copy from.
func (b *Balancer) retainDeparted(listed map[string]*replica, now time.Time) {
	for id, l := range b.departed {
		if listed[id] != nil || now.Sub(l.removedAt) > departedLifetime {
			delete(b.departed, id)
		}
	}
	if b.disabled.Has(mechanism.Leavers) {
		return
	}
	for id, r := range b.replicas {
		if listed[id] == nil {
			b.departed[id] = departedReplica{r, now}
		}
	}
}

// copyableReplica returns the replica of an id if it may be copied from.
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
