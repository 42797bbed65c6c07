package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// SetReplicas takes the replicas of the directory, as they were at a time. Those
// that drain or are evacuated get no new work, but may still be copied from: the
// one that copies asks them, no router.
func (b *Balancer) SetReplicas(list []directory.Replica, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.listed.IsZero() {
		b.listed = now
	}
	replicas := make(map[string]*replica, len(list))
	services := make(map[string][]*replica)
	evacuated := make(map[string][]*replica)
	byHash := make(map[uint32]*replica, len(list))
	for _, r := range list {
		known := b.replicas[r.ID]
		if known == nil {
			known = &replica{hash: hashText(r.ID), short: ReplicaHash(r.ID)}
			if now.Sub(b.listed) > settleTime {
				known.joined = now
			}
		}
		known.Replica = r
		replicas[r.ID] = known
		byHash[known.short] = known
		switch {
		case r.State != directory.Ready:
		case r.Evacuated:
			evacuated[r.Service] = append(evacuated[r.Service], known)
		default:
			services[r.Service] = append(services[r.Service], known)
		}
	}
	b.keepLeavers(replicas, now)
	b.replicas, b.services, b.byHash, b.evacuated = replicas, services, byHash, evacuated
	b.bySingle = make(map[uint16][]*replica, len(replicas))
	for _, r := range replicas {
		b.bySingle[uint16(r.short)] = append(b.bySingle[uint16(r.short)], r)
	}
	clear(b.medians)
}

// ServiceEvacuated tells whether a service has no replica that may get work because its data
// centres are evacuated.
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

// isNew tells whether an engine joined a moment ago.
func (r *replica) isNew(now time.Time) bool { return now.Sub(r.joined) < newLife }

const (
	// newLife is for how long an engine that joined is taken to lack the parts
	// whose home it became.
	newLife = 15 * time.Second
	// settleTime is for how long after the first list replicas that join may have
	// been there before: entries come one by one when all start together.
	settleTime = 5 * time.Second
)
