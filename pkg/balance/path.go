package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A connection to a replica fails because of the replica or because of the path from this
// router. Whose fault it is shows in what else is reached:
//
//	one router, several replicas of a service, none reached since -> the router's path is
//	    lost; what it sees of these replicas is not sent to other routers
//	another router does not reach a replica -> avoided until this router has verified it
//	    with a connection of its own: at once in a small fleet, in a large one when it would
//	    send the replica a request

// path is the state of the path from this router to a replica.
type path struct {
	// lostAt is the first failure since a connection was last opened, zero if there was none:
	// kept connections may live on while no new one opens.
	lostAt time.Time
	// failedAt is the last failure, contactAt the last answer or opened connection.
	failedAt, contactAt time.Time
	// checkedAt is when the replica was last to be verified.
	checkedAt time.Time
	// resets: connections open and are reset.
	resets bool
}

const (
	// pathFailureLifetime is how long a failure of the path speaks for its loss: several
	// probes fall into it.
	pathFailureLifetime = 2 * time.Second
	// minLostReplicas is how many replicas must be out of reach for the path to be lost. A
	// single one may have ended.
	minLostReplicas = 2
	// contactLifetime is how long an answer speaks against the loss of the path to a service,
	// whatever failed since: two replicas may end in the moment between two answers.
	contactLifetime = 100 * time.Millisecond
	// verificationLifetime is how long after a replica was verified further reports of
	// other routers are ignored.
	verificationLifetime = time.Second
)

func (b *Balancer) recordPathFailure(r *replica, now time.Time) {
	b.pathFailedAt = now
	if r.path.lostAt.IsZero() {
		r.path.lostAt = now
	}
	r.path.failedAt = now
}

// recordContact records that the replica answered this router.
func (r *replica) recordContact(now time.Time) {
	r.path.contactAt = now
	r.reported = health{}
}

// Connected records that a new connection to a replica was opened. It ends the avoidance
// for failures of the path, that of the replica's data centre too.
func (b *Balancer) Connected(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	r.recordContact(now)
	r.path.lostAt, r.path.resets = time.Time{}, false
	if r.health.kind.isOfPath() {
		r.health = health{}
	}
	r.centre.health = health{}
}

// ConnectionsReset records that connections to a replica open and are reset, after
// RequestFailed recorded that they fail. What is written on one may have run.
func (b *Balancer) ConnectionsReset(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.path.resets = true
	}
}

// isDisproved reports whether this router reached the replica after another one failed to,
// or verified it recently.
func (r *replica) isDisproved(failedAt, now time.Time) bool {
	contact := r.path.contactAt
	return contact.After(failedAt) || !contact.Before(r.path.checkedAt) && now.Sub(r.path.checkedAt) < verificationLifetime
}

// recordReport records that another router does not reach a replica. b.mu is held.
//
// In a large fleet a report reaches every router. If each opened a connection because of it,
// they would take up the connections that the replica accepts, and be reset.
func (b *Balancer) recordReport(r *replica, f ObservedFailure, now time.Time) {
	r.reported.recordFailure(f.Failure, f.At)
	if !b.largeFleet {
		b.requestCheck(r, now)
	}
}

// verifyWanted has a replica verified that a request would go to if it was not reported. b.mu
// is held.
func (b *Balancer) verifyWanted(r *replica, now time.Time) {
	if r.reported.isAvoided(now) {
		b.requestCheck(r, now)
	}
}

// requestCheck has a replica verified unless that was done recently. b.mu is held.
func (b *Balancer) requestCheck(r *replica, now time.Time) {
	if now.Sub(r.path.checkedAt) >= verificationLifetime {
		r.path.checkedAt = now
		b.pendingChecks = append(b.pendingChecks, r.Replica)
	}
}

// VerificationFailed records that this router does not reach a replica that others reported. In
// a large fleet it is not reported, since other routers would verify it again, and is no evidence
// about this router's own path, since the replica was selected by its failures.
func (b *Balancer) VerificationFailed(id string, kind Failure, ownDataCentre string, now time.Time) {
	b.mu.Lock()
	r, large := b.replicas[id], b.largeFleet
	if r != nil && large {
		r.health.recordFailure(kind, now)
	}
	b.mu.Unlock()
	if !large {
		b.RequestFailed(id, kind, ownDataCentre, now)
	}
}

// isPathLost reports whether this router recently failed to reach a replica and has not
// reached it since.
func (r *replica) isPathLost(now time.Time) bool {
	return !r.path.lostAt.IsZero() && now.Sub(r.path.failedAt) < pathFailureLifetime
}

// pathLost reports whether this router seems to have lost the path to a service: none of its
// replicas was reached since several of them, or the only one, went out of reach, or since
// several failed again and half of all are out of reach.
func (b *Balancer) pathLost(service string, now time.Time) bool {
	if now.Sub(b.pathFailedAt) >= pathFailureLifetime {
		return false
	}
	list := b.services[service]
	var contact time.Time
	for _, r := range list {
		if r.path.contactAt.After(contact) {
			contact = r.path.contactAt
		}
	}
	if now.Sub(contact) < contactLifetime {
		return false
	}
	lost, failed, all := 0, 0, 0
	for _, r := range list {
		if !r.isPathLost(now) {
			continue
		}
		all++
		if r.path.lostAt.After(contact) {
			lost++
		}
		if r.path.failedAt.After(contact) {
			failed++
		}
	}
	least := max(min(minLostReplicas, len(list)), 1)
	return lost >= least || failed >= least && 2*all >= len(list)
}

// isPathLostFor reports whether a request should rather be handed to another router: the
// path to the service is lost, or it is to half of the replicas and the choice is a last
// resort.
func (b *Balancer) isPathLostFor(service string, reason Reason, now time.Time) bool {
	return b.pathLost(service, now) || reason == LastResort && b.isPathHalfLost(service, now)
}

// isPathHalfLost reports whether at least half of a service's replicas are out of reach.
func (b *Balancer) isPathHalfLost(service string, now time.Time) bool {
	lost := b.outOfReach(service, now)
	return lost > 0 && 2*lost >= len(b.services[service])
}

// outOfReach returns how many replicas of a service this router does not reach.
func (b *Balancer) outOfReach(service string, now time.Time) int {
	lost := 0
	for _, r := range b.services[service] {
		if r.isPathLost(now) || r.health.kind.isOfPath() && r.health.isAvoided(now) {
			lost++
		}
	}
	return lost
}

// AnyOutOfReach reports whether this router does not reach some replica of a service.
func (b *Balancer) AnyOutOfReach(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outOfReach(service, now) > 0
}

// PathLost reports whether this router seems to have lost the path to a service.
func (b *Balancer) PathLost(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pathLost(service, now)
}

// LostServices returns the services that this router seems to have lost the path to, sorted.
func (b *Balancer) LostServices(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var lost []string
	for service := range b.services {
		if b.pathLost(service, now) {
			lost = append(lost, service)
		}
	}
	slices.Sort(lost)
	return lost
}

// maxPathProbes bounds the replicas of a service that are probed at a time once one of
// them was reached again.
const maxPathProbes = 8

// isProbed reports whether connections to a replica did not open lately and PathProbes
// returns it until one does. Those that are refused cost nothing to try.
func (b *Balancer) isProbed(r *replica, now time.Time) bool {
	costly := r.health.kind == Unreachable || r.health.kind == Refused && r.path.resets
	if !r.isPathLost(now) || !r.health.isAvoided(now) || !costly {
		return false
	}
	lost, list := 0, b.services[r.Service]
	for _, other := range list {
		if !other.path.lostAt.IsZero() {
			lost++
		}
	}
	return lost >= min(minLostReplicas, len(list))
}

// PathProbes returns the replicas to which a connection should be opened to notice that the
// path is back: one of each service that lost several, the one tried least recently, and
// more once the service is reached again.
func (b *Balancer) PathProbes(now time.Time) []directory.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	var probes []directory.Replica
	for service, list := range b.services {
		var lost []*replica
		for _, r := range list {
			if !r.path.lostAt.IsZero() {
				lost = append(lost, r)
			}
		}
		if len(lost) < min(minLostReplicas, len(list)) {
			continue
		}
		slices.SortFunc(lost, func(x, y *replica) int {
			return cmp.Or(x.path.failedAt.Compare(y.path.failedAt), byID(x, y))
		})
		most := maxPathProbes
		if b.pathLost(service, now) {
			most = 1
		}
		for _, r := range lost[:min(most, len(lost))] {
			probes = append(probes, r.Replica)
		}
	}
	return probes
}

// probedAvoidance is how long a replica stays avoided after a probe failed: probes notice
// its return, so that no request has to.
const probedAvoidance = time.Second

// ProbeFailed records that a connection for PathProbes did not open.
func (b *Balancer) ProbeFailed(id string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil || r.path.lostAt.IsZero() {
		return
	}
	b.pathFailedAt, r.path.failedAt = now, now
	if until := now.Add(probedAvoidance); r.health.kind.isOfPath() && until.After(r.health.avoidUntil) {
		r.health.avoidUntil = until
	}
}

// ReachedSince reports whether another replica of any service answered this router, or took a
// connection from it, after a time.
func (b *Balancer) ReachedSince(since time.Time, except string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.replicas {
		if id != except && r.path.contactAt.After(since) {
			return true
		}
	}
	return false
}

// OtherReplicas returns up to count listed replicas of any service besides one. Those that were
// reached last come first.
func (b *Balancer) OtherReplicas(except string, count int) []directory.Replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	var others []*replica
	for id, r := range b.replicas {
		if id != except {
			others = append(others, r)
		}
	}
	slices.SortFunc(others, func(x, y *replica) int {
		return cmp.Or(y.path.contactAt.Compare(x.path.contactAt), byID(x, y))
	})
	var list []directory.Replica
	for _, r := range others[:min(count, len(others))] {
		list = append(list, r.Replica)
	}
	return list
}
