package balance

import "time"

// probeInterval is how often a router sends a request to a service whose replicas were
// all unreachable moments ago. An unanswered connection attempt is given up after 0.3 s,
// and a recovery must be noticed soon.
const probeInterval = 250 * time.Millisecond

// isOutOfReach reports whether a replica, or another one in its data centre, was recently
// unreachable and the replica has not answered since. A replica that refuses connections
// does so at once, so trying it costs nothing.
func (b *Balancer) isOutOfReach(r *replica, now time.Time) bool {
	if noSuccessSinceFailure(&r.health, r, now) && r.health.kind == Unreachable {
		return true
	}
	return noSuccessSinceFailure(&r.centre.health, r, now)
}

// noSuccessSinceFailure reports whether a replica is avoided for a failure and has not
// answered successfully since.
func noSuccessSinceFailure(h *health, r *replica, now time.Time) bool {
	return h.isAvoided(now) && !r.lastSuccess.After(h.lastFailure)
}

// startProbe reports whether an unreachable service is due for another try, and records
// the try.
func (b *Balancer) startProbe(service string, now time.Time) bool {
	if now.Sub(b.lastProbe[service]) < probeInterval {
		return false
	}
	b.lastProbe[service] = now
	return true
}

// probePending reports whether a request must not be sent even to the best remaining
// replica, because it is unreachable and another request has just tried.
func (b *Balancer) probePending(best *replica, now time.Time) bool {
	return b.isOutOfReach(best, now) && !b.startProbe(best.Service, now)
}
