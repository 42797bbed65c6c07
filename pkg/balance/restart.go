package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A replica that restarts under its id keeps nothing from before. What was known of its
// earlier life is dropped; late news about that life is ignored.

// lateHolderWindow is how long after a restart other routers may still report that the
// replica holds what it held before: rumors take two gossip rounds of a large fleet.
const lateHolderWindow = 1500 * time.Millisecond

// ReplicaHooks are called when a replica restarts, is removed or must be verified, without
// a lock held. All may be nil.
type ReplicaHooks struct {
	// Restarted: the replica with this id restarted, at this address.
	Restarted func(id, address string)
	// Removed: the replica is no longer listed.
	Removed func(id string)
	// Verify: other routers do not reach the replica at this address. The hook must not
	// block; the result is reported with Connected or RequestFailed.
	Verify func(id, address string)
}

// SetReplicaHooks sets the hooks.
func (b *Balancer) SetReplicaHooks(e ReplicaHooks) { b.hooks.Store(&e) }

// ReplicaRestarted records that a replica restarted under its id. tell is set if the list
// does not show this to all routers; then a rumor tells them.
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

// ReplicaRemoved records that a replica is no longer listed.
func (b *Balancer) ReplicaRemoved(id string) {
	if e := b.hooks.Load(); e != nil && e.Removed != nil {
		e.Removed(id)
	}
}

// resetReplica drops what was known of a replica's earlier life. Requests that this
// router still runs there end on their own. b.mu is held.
func (b *Balancer) resetReplica(r *replica, at time.Time) {
	*r = replica{Replica: r.Replica, rankHash: r.rankHash, shortHash: r.shortHash, centre: r.centre, running: r.running, peersRun: r.peersRun, joinedAt: at, restartedAt: at}
	b.holders.removeReplica(r.ID)
	clear(b.medians)
}

// mergeRestart handles another router's report that a replica restarted, and reports
// whether it was new. b.mu is held.
func (b *Balancer) mergeRestart(r *replica, at time.Time) bool {
	if at.Sub(r.restartedAt) < restartDedupWindow {
		return false
	}
	b.resetReplica(r, at)
	return true
}

// unlockAndNotify releases b.mu, which is held, and then calls the hooks for what was
// learned from rumors.
func (b *Balancer) unlockAndNotify() {
	restarts, checks := b.pendingRestarts, b.pendingChecks
	b.pendingRestarts, b.pendingChecks = nil, nil
	b.mu.Unlock()
	for _, r := range restarts {
		b.notifyRestart(r.ID, r.Address)
	}
	if e := b.hooks.Load(); e != nil && e.Verify != nil {
		for _, r := range checks {
			e.Verify(r.ID, r.Address)
		}
	}
}

// restartDedupWindow is the time within which reports of a restart refer to the same one:
// a replica is back after some seconds at the earliest, and the list is read about once a
// second.
const restartDedupWindow = 2 * time.Second

// isUsable reports whether a replica may be used at all.
func (r *replica) isUsable() bool { return r.State != directory.Unusable }
