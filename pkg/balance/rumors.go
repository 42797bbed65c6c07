package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Rumors are what a router saw or was told since it last told, to be passed on.
type Rumors struct {
	Failures []ObservedFailure
	Holders  []PartHolder
	Hot      []HotPart
}

// ObservedFailure is a failure that a router saw, with the steady time of the one
// who holds it.
type ObservedFailure struct {
	Replica uint32
	Failure Failure
	At      time.Time
}

// PartHolder says that a replica was sent a part of a prompt.
type PartHolder struct {
	Part    uint64
	Replica uint32
}

// Empty tells whether there is nothing to tell.
func (r Rumors) Empty() bool { return len(r.Failures)+len(r.Holders)+len(r.Hot) == 0 }

// TakeRumors returns what the others are to know, each failure, holder and part once.
func (b *Balancer) TakeRumors() Rumors {
	b.mu.Lock()
	defer b.mu.Unlock()
	rumors := b.untold
	b.untold = Rumors{}
	return rumors
}

// MergeRumors takes what another router saw or was told.
func (b *Balancer) MergeRumors(r Rumors, now time.Time) {
	b.mu.Lock()
	b.mergeRumors(r, now)
	b.unlockAndTell()
}

// rumorLife is how long a failure is worth passing on.
const rumorLife = 2 * time.Second

// Bounds of what waits to be told; the oldest is left out.
const (
	maxToldFailures = 64
	maxToldHolders  = 4096
	// maxToldLarge is the same for both in a large fleet, where all that is told
	// is passed on by all.
	maxToldLarge = 16
)

// maxTold is how much of a kind may wait to be told.
func (b *Balancer) maxTold(most int) int {
	if b.large {
		return maxToldLarge
	}
	return most
}

// tellFailure and tellHolder keep something for the next Tell. b.mu is held.
func (b *Balancer) tellFailure(r *replica, kind Failure, now time.Time) {
	if b.large && kind == Shed {
		// It is over before it has come round.
		return
	}
	if len(b.untold.Failures) < b.maxTold(maxToldFailures) {
		b.untold.Failures = append(b.untold.Failures, ObservedFailure{ReplicaHash(r.ID), kind, now})
	}
}

func (b *Balancer) tellHolder(part uint64, r *replica) {
	if len(b.untold.Holders) < b.maxTold(maxToldHolders) {
		b.untold.Holders = append(b.untold.Holders, PartHolder{part, ReplicaHash(r.ID)})
	}
}

// mergeRumors takes what another router saw or was told. In a large fleet what is
// new is passed on, since its teller can't tell everybody. b.mu is held.
func (b *Balancer) mergeRumors(t Rumors, now time.Time) {
	for _, f := range t.Failures {
		b.mergeFailure(f, now)
	}
	for _, h := range t.Holders {
		b.mergeHolder(h, now)
	}
	for _, h := range t.Hot {
		b.noteHot(h, now)
	}
}

// mergeFailure takes a failure that another router saw. b.mu is held.
func (b *Balancer) mergeFailure(f ObservedFailure, now time.Time) {
	r := b.byHash[f.Replica]
	if r == nil || f.Failure > Restart || b.without.Has(mechanism.Rumors) {
		return
	}
	if f.Failure == Restart {
		if b.mergeRestart(r, f.At) {
			b.restartsToTell = append(b.restartsToTell, r.Replica)
			if b.large {
				b.tellFailure(r, f.Failure, f.At)
			}
		}
		return
	}
	if f.At.Before(r.restarted) {
		return
	}
	if b.large {
		// Who is avoided already was told of already, on a quicker way or by another
		// router: what comes late must not go round again.
		if r.health.avoided(now) || now.Sub(f.At) > rumorLife || f.Failure.soft() && b.crowded(r.Service, now) {
			return
		}
		b.tellFailure(r, f.Failure, f.At)
		r.health.failed(f.Failure, f.At)
		return
	}
	b.doubt(r, f.Failure, f.At)
}

// mergeHolder takes a holder that another router saw. b.mu is held.
func (b *Balancer) mergeHolder(h PartHolder, now time.Time) {
	r := b.byHash[h.Replica]
	if r == nil || now.Sub(r.restarted) < lateHolders {
		return
	}
	if b.large && !b.holders.holds(h.Part, r.ID, now) {
		b.tellHolder(h.Part, r)
	}
	b.holders.note(h.Part, r.ID, now)
}

// Holders returns who is known to hold which parts, for a router that starts.
func (b *Balancer) Holders(now time.Time) []PartHolder {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []PartHolder
	for _, part := range b.holders.parts.Keys() {
		for _, id := range b.holders.list(part, now) {
			list = append(list, PartHolder{part, ReplicaHash(id)})
		}
	}
	return list
}

// MergeHolders takes what another router knew of holders. What is known here is newer.
func (b *Balancer) MergeHolders(list []PartHolder, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range list {
		if r := b.byHash[h.Replica]; r != nil && now.Sub(r.restarted) >= lateHolders && !b.holders.holds(h.Part, r.ID, now) {
			b.holders.note(h.Part, r.ID, now)
		}
	}
}

// PartsReported takes what an engine itself said that it holds, and tells the others.
func (b *Balancer) PartsReported(id string, parts []Part, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	for _, part := range parts {
		if !b.holders.holds(part.ID, id, now) {
			b.tellHolder(part.ID, r)
		}
		b.holders.note(part.ID, id, now)
	}
}
