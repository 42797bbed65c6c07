package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/overload"
)

// UsableReplicas returns the replicas of a plain service that this router may send requests
// to now. excluded holds ids that it must not use. A replica that is avoided because it was
// full, or because it failed requests that it had run, is included: it answers other routers,
// and its capacity would be missing from what they all share. If all are suspected, the least
// bad ones within reach are returned, since requests go there. A share of a roll-out does not
// matter: the rest of the requests uses the rest of the replicas.
func (b *Balancer) UsableReplicas(service string, excluded []string, now time.Time) []overload.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.services[service]
	if plan, limited := b.rollouts.Plan(service, now); limited {
		current, updated := divideByVersion(all, plan)
		all = slices.Concat(current, updated)
	}
	var usable, reached []*replica
	for _, r := range all {
		if b.isUnreachable(r, now) || slices.Contains(excluded, r.ID) {
			continue
		}
		reached = append(reached, r)
		if !r.health.isAvoided(now) || r.health.kind <= Broke {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		usable = b.leastBad(reached, now)
	}
	return overloadReplicas(usable)
}

func overloadReplicas(list []*replica) []overload.Replica {
	replicas := make([]overload.Replica, len(list))
	for i, r := range list {
		replicas[i] = overload.Replica{Hash: r.shortHash, Slots: r.Slots}
	}
	return replicas
}
