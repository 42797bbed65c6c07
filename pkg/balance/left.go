package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// leftLife is how long a replica that is listed no more may still be copied from.
// Many serve on for seconds after their entry is gone; from one that has ended
// nothing comes, and the prompt is read as it would have been without a source.
const leftLife = 5 * time.Second

// leaver is a replica that is listed no more.
type leaver struct {
	*replica
	at time.Time
}

// keepLeavers keeps the replicas that are listed no more as places to copy from.
func (b *Balancer) keepLeavers(listed map[string]*replica, now time.Time) {
	for id, l := range b.leavers {
		if listed[id] != nil || now.Sub(l.at) > leftLife {
			delete(b.leavers, id)
		}
	}
	if b.without.Has(mechanism.Leavers) {
		return
	}
	for id, r := range b.replicas {
		if listed[id] == nil {
			b.leavers[id] = leaver{r, now}
		}
	}
}

// copySource returns the replica of an id if it may be copied from.
func (b *Balancer) copySource(id string, now time.Time) *replica {
	r := b.replicas[id]
	if l, left := b.leavers[id]; r == nil && left && now.Sub(l.at) <= leftLife {
		r = l.replica
	}
	if r == nil || !r.usable() || b.unreachable(r, now) {
		return nil
	}
	return r
}
