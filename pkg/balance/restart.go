package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A replica that starts again under its id holds and knows nothing of before. What was
// known of its earlier life is dropped; what comes late of it changes nothing.

// lateHolders is for how long after a restart others may still tell that the replica
// holds what it held before: rumors take two rounds of a large fleet.
const lateHolders = 1500 * time.Millisecond

// ReplicaHooks are told what became of replicas, without a lock. Both may be nil.
type ReplicaHooks struct {
	// Restarted: the replica started again under its id, at an address.
	Restarted func(id, address string)
	// Removed: it is listed no more.
	Removed func(id string)
}

// SetReplicaHooks sets who is told.
func (b *Balancer) SetReplicaHooks(e ReplicaHooks) { b.ends.Store(&e) }

// ReplicaRestarted notes that a replica started again under its id. Where the list does not
// say so to all routers, they are told as a rumor.
func (b *Balancer) ReplicaRestarted(id string, tell bool, now time.Time) {
	b.mu.Lock()
	r := b.replicas[id]
	if r == nil {
		b.mu.Unlock()
		return
	}
	b.restart(r, now)
	if tell {
		b.tellFailure(r, Restart, now)
	}
	address := r.Address
	b.mu.Unlock()
	b.tellRestart(id, address)
}

func (b *Balancer) tellRestart(id, address string) {
	if e := b.ends.Load(); e != nil && e.Restarted != nil {
		e.Restarted(id, address)
	}
}

// ReplicaRemoved notes that a replica is listed no more.
func (b *Balancer) ReplicaRemoved(id string) {
	if e := b.ends.Load(); e != nil && e.Removed != nil {
		e.Removed(id)
	}
}

// restart drops what was known of a replica's earlier life. What this router runs there
// ends by itself. b.mu is held.
func (b *Balancer) restart(r *replica, at time.Time) {
	*r = replica{Replica: r.Replica, hash: r.hash, short: r.short, running: r.running, joined: at, restarted: at}
	b.holders.forget(r.ID)
	clear(b.medians)
}

// mergeRestart takes another router's word that a replica started again, and returns it
// if that was news. b.mu is held.
func (b *Balancer) mergeRestart(r *replica, at time.Time) bool {
	if at.Sub(r.restarted) < oneRestart {
		return false
	}
	b.restart(r, at)
	return true
}

// unlockAndTell tells of the restarts that a rumor brought, without the lock, which is
// held.
func (b *Balancer) unlockAndTell() {
	restarts := b.restartsToTell
	b.restartsToTell = nil
	b.mu.Unlock()
	for _, r := range restarts {
		b.tellRestart(r.ID, r.Address)
	}
}

// oneRestart is within what time words of a restart are of one: a replica is back after
// some seconds at the earliest, and the list is read each second or so.
const oneRestart = 2 * time.Second

// usable tells whether a replica may be used for anything.
func (r *replica) usable() bool { return r.State != directory.Unusable }
