package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// SetReplicas sets the replicas of the directory, as of now. Draining and evacuated
// replicas get no new work but may still be copied from, since the copying engine asks
// them, not a router.
func (b *Balancer) SetReplicas(list []directory.Replica, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.firstListedAt.IsZero() {
		b.firstListedAt = now
	}
	replicas := make(map[string]*replica, len(list))
	services := make(map[string][]*replica)
	evacuated := make(map[string][]*replica)
	byHash := make(map[uint32]*replica, len(list))
	for _, r := range list {
		known := b.replicas[r.ID]
		if known == nil {
			known = &replica{rankHash: hashString(r.ID), shortHash: ReplicaHash(r.ID)}
			if now.Sub(b.firstListedAt) > startupPeriod {
				known.joinedAt = now
			}
		}
		known.Replica = r
		replicas[r.ID] = known
		byHash[known.shortHash] = known
		switch {
		case r.State != directory.Ready:
		case r.Evacuated:
			evacuated[r.Service] = append(evacuated[r.Service], known)
		default:
			services[r.Service] = append(services[r.Service], known)
		}
	}
	b.retainDeparted(replicas, now)
	b.replicas, b.services, b.byShortHash, b.evacuated = replicas, services, byHash, evacuated
	b.byTinyHash = make(map[uint16][]*replica, len(replicas))
	for _, r := range replicas {
		b.byTinyHash[uint16(r.shortHash)] = append(b.byTinyHash[uint16(r.shortHash)], r)
	}
	clear(b.medians)
}

// ServiceEvacuated reports whether a service has no replica that may get work because its
// data centres are evacuated.
func (b *Balancer) ServiceEvacuated(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.evacuated[service]) > 0 && len(b.services[service]) == 0
}

// ReadyCount returns how many replicas of a service may get work.
func (b *Balancer) ReadyCount(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.services[service])
}

// joinedRecently reports whether an engine joined recently.
func (r *replica) joinedRecently(now time.Time) bool { return now.Sub(r.joinedAt) < newReplicaPeriod }

const (
	// newReplicaPeriod is how long an engine that joined is assumed to lack the parts
	// whose home it became.
	newReplicaPeriod = 15 * time.Second
	// startupPeriod is how long after the first list a newly listed replica may have
	// existed before: entries appear one by one when all start together.
	startupPeriod = 5 * time.Second
)
