package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Rumors are observations that a router made or received since its last update, to be
// forwarded.
type Rumors struct {
	Failures []ObservedFailure
	Holders  []PartHolder
	Hot      []HotPart
	Brittle  []BrittleStatement
}

// ObservedFailure is a failure that a router saw. At is on the monotonic clock of the
// router that stores it.
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

// Empty reports whether there is nothing to send.
func (r Rumors) Empty() bool {
	return len(r.Failures)+len(r.Holders)+len(r.Hot)+len(r.Brittle) == 0
}

// TakeRumors returns what the other routers need to know. It returns each failure, holder,
// hot part and statement once.
func (b *Balancer) TakeRumors(now time.Time) Rumors {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.takeRumors(now)
}

// takeRumors returns the queued rumors, without failures of services that this router has
// lost the path to: its own path may be at fault. b.mu is held.
func (b *Balancer) takeRumors(now time.Time) Rumors {
	rumors := b.pendingRumors
	b.pendingRumors = Rumors{}
	rumors.Failures = slices.DeleteFunc(rumors.Failures, func(f ObservedFailure) bool {
		r := b.byShortHash[f.Replica]
		return r != nil && f.Failure.isOfConnection() && b.pathLost(r.Service, now)
	})
	return rumors
}

// MergeRumors takes what another router observed or received.
func (b *Balancer) MergeRumors(r Rumors, now time.Time) {
	b.mu.Lock()
	b.mergeRumors(r, now)
	b.unlockAndNotify()
}

// rumorLifetime is how long a failure is worth forwarding.
const rumorLifetime = 2 * time.Second

// Limits on queued rumors; beyond them new ones are left out.
const (
	maxPendingFailures = 64
	maxPendingHolders  = 4096
	// maxPendingLarge is the limit for each kind in a large fleet, where every router
	// forwards every rumor.
	maxPendingLarge = 16
)

// maxPending returns how many rumors of a kind may be queued.
func (b *Balancer) maxPending(most int) int {
	if b.largeFleet {
		return maxPendingLarge
	}
	return most
}

// queueFailure and queueHolder queue a rumor for the next update. b.mu is held.
func (b *Balancer) queueFailure(r *replica, kind Failure, now time.Time) {
	if _, brittle := b.brittleOf(r.Service, now); b.largeFleet && kind == Shed && !brittle {
		// The avoidance ends before the rumor has spread.
		return
	}
	if len(b.pendingRumors.Failures) < b.maxPending(maxPendingFailures) {
		b.pendingRumors.Failures = append(b.pendingRumors.Failures, ObservedFailure{ReplicaHash(r.ID), kind, now})
	}
}

func (b *Balancer) queueHolder(part uint64, r *replica) {
	if len(b.pendingRumors.Holders) < b.maxPending(maxPendingHolders) {
		b.pendingRumors.Holders = append(b.pendingRumors.Holders, PartHolder{part, ReplicaHash(r.ID)})
	}
}

// mergeRumors takes what another router observed or received. In a large fleet new rumors
// are forwarded, since their sender can't reach every router. b.mu is held.
func (b *Balancer) mergeRumors(t Rumors, now time.Time) {
	for _, f := range t.Failures {
		b.mergeFailure(f, now)
	}
	for _, h := range t.Holders {
		b.mergeHolder(h, now)
	}
	for _, h := range t.Hot {
		b.addHotPart(h, now)
	}
	for _, s := range t.Brittle {
		b.mergeBrittle(s, now)
	}
}

// mergeFailure takes a failure that another router saw. b.mu is held.
func (b *Balancer) mergeFailure(f ObservedFailure, now time.Time) {
	r := b.byShortHash[f.Replica]
	if r == nil || f.Failure > Restart || b.disabled.Has(mechanism.Rumors) {
		return
	}
	if f.Failure == Restart {
		if b.mergeRestart(r, f.At) {
			b.pendingRestarts = append(b.pendingRestarts, r.Replica)
			if b.largeFleet {
				b.queueFailure(r, f.Failure, f.At)
			}
		}
		return
	}
	if f.At.Before(r.restartedAt) || f.Failure.isOfPath() && r.isDisproved(f.At, now) {
		return
	}
	if b.largeFleet {
		// If the replica is avoided already, its failure has been forwarded already,
		// having arrived by a faster path or from another router. A late rumor must not
		// circulate again.
		if r.health.isAvoided(now) || r.reported.isAvoided(now) || now.Sub(f.At) > rumorLifetime || f.Failure.isSoft() && b.tooManyAvoided(r.Service, now) {
			return
		}
		b.queueFailure(r, f.Failure, f.At)
	}
	switch {
	case f.Failure.isOfPath():
		b.recordReport(r, f, now)
	case b.largeFleet:
		r.health.recordFailure(f.Failure, f.At)
	default:
		b.recordFailure(r, f.Failure, f.At)
	}
}

// mergeHolder takes a holder that another router saw. b.mu is held.
func (b *Balancer) mergeHolder(h PartHolder, now time.Time) {
	r := b.byShortHash[h.Replica]
	if r == nil || now.Sub(r.restartedAt) < lateHolderWindow {
		return
	}
	if b.largeFleet && !b.holders.holds(h.Part, r.ID, now) {
		b.queueHolder(h.Part, r)
	}
	b.holders.add(h.Part, r.ID, now)
}

// Holders returns the known holders of all parts, for a router that starts.
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

// MergeHolders takes the holders that another router knew. What is known here is newer.
func (b *Balancer) MergeHolders(list []PartHolder, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, h := range list {
		if r := b.byShortHash[h.Replica]; r != nil && now.Sub(r.restartedAt) >= lateHolderWindow && !b.holders.holds(h.Part, r.ID, now) {
			b.holders.add(h.Part, r.ID, now)
		}
	}
}

// PartsReported records the parts that an engine itself reported to hold, and announces
// them to the other routers.
func (b *Balancer) PartsReported(id string, parts []Part, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	for _, part := range parts {
		if !b.holders.holds(part.ID, id, now) {
			b.queueHolder(part.ID, r)
		}
		b.holders.add(part.ID, id, now)
	}
}
