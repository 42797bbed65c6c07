package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A replica that starts again under its id holds and knows nothing of before. What was
// known of its earlier life is dropped; what comes late of it changes nothing.

// lateHolderWindow is for how long after a restart others may still tell that the replica
// holds what it held before: rumors take two rounds of a large fleet.
const lateHolderWindow = 1500 * time.Millisecond

// ReplicaHooks are told what became of replicas, without a lock. Both may be nil.
type ReplicaHooks struct {
	// Restarted: the replica started again under its id, at an address.
	Restarted func(id, address string)
	// Removed: it is listed no more.
	Removed func(id string)
}

// SetReplicaHooks sets who is told.
func (b *Balancer) SetReplicaHooks(e ReplicaHooks) { b.hooks.Store(&e) }

// ReplicaRestarted notes that a replica started again under its id. Where the list does not
// say so to all routers, they are told as a rumor.
func (b *Balancer) ReplicaRestarted(id string, tell bool, now time.Time) {
	b.mu.Lock()
	r := b.replicas[id]
	if r == nil {
		b.mu.Unlock()
		return
	}
	b.resetReplica(r, now)
	if tell {
		b.queueFailure(r, Restart, now)
	}
	address := r.Address
	b.mu.Unlock()
	b.notifyRestart(id, address)
}

func (b *Balancer) notifyRestart(id, address string) {
	if e := b.hooks.Load(); e != nil && e.Restarted != nil {
		e.Restarted(id, address)
	}
}

// ReplicaRemoved notes that a replica is listed no more.
func (b *Balancer) ReplicaRemoved(id string) {
	if e := b.hooks.Load(); e != nil && e.Removed != nil {
		e.Removed(id)
	}
}

// resetReplica drops what was known of a replica's earlier life. What this router runs there
// ends by itself. b.mu is held.
func (b *Balancer) resetReplica(r *replica, at time.Time) {
	*r = replica{Replica: r.Replica, rankHash: r.rankHash, shortHash: r.shortHash, running: r.running, joinedAt: at, restartedAt: at}
	b.holders.removeReplica(r.ID)
	clear(b.medians)
}

// mergeRestart takes another router's word that a replica started again, and returns it
// if that was news. b.mu is held.
func (b *Balancer) mergeRestart(r *replica, at time.Time) bool {
	if at.Sub(r.restartedAt) < restartDedupWindow {
		return false
	}
	b.resetReplica(r, at)
	return true
}

// unlockAndNotify tells of the restarts that a rumor brought, without the lock, which is
// held.
func (b *Balancer) unlockAndNotify() {
	restarts := b.pendingRestarts
	b.pendingRestarts = nil
	b.mu.Unlock()
	for _, r := range restarts {
		b.notifyRestart(r.ID, r.Address)
	}
}

// restartDedupWindow is within what time words of a restart are of one: a replica is back after
// some seconds at the earliest, and the list is read each second or so.
const restartDedupWindow = 2 * time.Second

// isUsable tells whether a replica may be used for anything.
func (r *replica) isUsable() bool { return r.State != directory.Unusable }
