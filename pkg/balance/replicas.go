package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// centre is what is known about a data centre.
type centre struct {
	// silent is set while no message from its routers arrives.
	silent bool
	health health
}

// centre returns the state of a data centre. b.mu is held.
func (b *Balancer) centre(name string) *centre {
	c := b.centres[name]
	if c == nil {
		c = &centre{}
		b.centres[name] = c
	}
	return c
}

// SetReplicas sets the replicas of the directory, as of now. Draining and evacuated
// replicas get no new work but may still be copied from, since the copying engine asks
// them, not a router.
func (b *Balancer) SetReplicas(list []directory.Replica, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.ID] = true
	}
	for id, r := range b.replicas {
		if !listed[id] {
			b.removeReplica(r, now)
		}
	}
	b.setReplicas(list, now)
	b.afterReplicaChange(now)
}

// setReplicas adds or changes replicas. Lists of services that change by many replicas are
// sorted once, since each insertion moves half of a list.
func (b *Balancer) setReplicas(list []directory.Replica, now time.Time) {
	const few = 16
	b.appending = len(list) > few
	for _, r := range list {
		b.setReplica(r, now)
	}
	if b.appending {
		b.appending = false
		for _, lists := range []map[string][]*replica{b.services, b.evacuated} {
			for _, of := range lists {
				slices.SortFunc(of, byID)
			}
		}
	}
}

func byID(x, y *replica) int { return cmp.Compare(x.ID, y.ID) }

// UpdateReplicas adds or changes some replicas and removes others, as of now. Its cost
// grows with their number, and little with that of all replicas.
func (b *Balancer) UpdateReplicas(changed []directory.Replica, removed []string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range removed {
		if r := b.replicas[id]; r != nil {
			b.removeReplica(r, now)
		}
	}
	b.setReplicas(changed, now)
	b.afterReplicaChange(now)
}

func (b *Balancer) afterReplicaChange(now time.Time) {
	if b.firstListedAt.IsZero() {
		b.firstListedAt = now
	}
	b.pruneDeparted(now)
	b.peerTotalsAt = time.Time{}
	clear(b.medians)
	clear(b.slots)
}

// setReplica adds a replica or changes what the list says of it.
func (b *Balancer) setReplica(listed directory.Replica, now time.Time) {
	r := b.replicas[listed.ID]
	if r == nil {
		r = &replica{rankHash: hashString(listed.ID), shortHash: ReplicaHash(listed.ID)}
		if !b.firstListedAt.IsZero() && now.Sub(b.firstListedAt) > startupPeriod {
			r.joinedAt = now
		}
		b.replicas[listed.ID] = r
		b.byShortHash[r.shortHash] = r
		b.byTinyHash[uint16(r.shortHash)] = append(b.byTinyHash[uint16(r.shortHash)], r)
		delete(b.departed, listed.ID)
	} else {
		b.withdraw(r)
	}
	r.Replica = listed
	r.centre = b.centre(listed.DataCentre)
	b.offer(r)
}

// offer adds a replica to those that may get work, if it may.
func (b *Balancer) offer(r *replica) {
	if !r.ColdUntil.IsZero() {
		b.cold[r] = true
	}
	if r.Evacuated {
		b.evacuatedCount++
	}
	switch {
	case r.State != directory.Ready:
	case r.Evacuated:
		b.evacuated[r.Service] = b.insertReplica(b.evacuated[r.Service], r)
	default:
		b.services[r.Service] = b.insertReplica(b.services[r.Service], r)
	}
}

// withdraw reverts offer.
func (b *Balancer) withdraw(r *replica) {
	delete(b.cold, r)
	if r.Evacuated {
		b.evacuatedCount--
	}
	switch {
	case r.State != directory.Ready:
	case r.Evacuated:
		b.evacuated[r.Service] = deleteReplica(b.evacuated[r.Service], r)
	default:
		b.services[r.Service] = deleteReplica(b.services[r.Service], r)
	}
}

func (b *Balancer) removeReplica(r *replica, now time.Time) {
	b.withdraw(r)
	delete(b.replicas, r.ID)
	delete(b.busy, r)
	if b.byShortHash[r.shortHash] == r {
		delete(b.byShortHash, r.shortHash)
	}
	tiny := uint16(r.shortHash)
	if b.byTinyHash[tiny] = deleteReplica(b.byTinyHash[tiny], r); len(b.byTinyHash[tiny]) == 0 {
		delete(b.byTinyHash, tiny)
	}
	b.retainDeparted(r, now)
}

// insertReplica inserts a replica into a list that is sorted by id, or appends it if the
// list is sorted later.
func (b *Balancer) insertReplica(list []*replica, r *replica) []*replica {
	if b.appending {
		return append(list, r)
	}
	i, _ := slices.BinarySearchFunc(list, r, byID)
	return slices.Insert(list, i, r)
}

func deleteReplica(list []*replica, r *replica) []*replica {
	if i := slices.Index(list, r); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
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
