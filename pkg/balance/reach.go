package balance

import "time"

// probeInterval is how often a router sends a request to a service none of whose
// replicas could be reached a moment ago: a connection that is not answered is given
// up after 0.3 s, and it is to be noticed soon that one is.
const probeInterval = 250 * time.Millisecond

// isOutOfReach tells whether a replica, or another of its data centre, could not be
// reached a moment ago, and it has not answered since. One that refuses connections
// says so at once; trying it costs nothing.
func (b *Balancer) isOutOfReach(r *replica, now time.Time) bool {
	if noSuccessSinceFailure(&r.health, r, now) && r.health.kind == Unreachable {
		return true
	}
	centre := b.centreHealth[r.DataCentre]
	return centre != nil && noSuccessSinceFailure(centre, r, now)
}

// noSuccessSinceFailure tells whether a replica is avoided for a failure since which it has not
// answered.
func noSuccessSinceFailure(h *health, r *replica, now time.Time) bool {
	return h.isAvoided(now) && !r.lastSuccess.After(h.lastFailure)
}

// startProbe tells whether a service is due to be tried although it is out of reach.
func (b *Balancer) startProbe(service string, now time.Time) bool {
	if now.Sub(b.lastProbe[service]) < probeInterval {
		return false
	}
	b.lastProbe[service] = now
	return true
}

// probePending tells whether a request is not to be sent even to the best of what is left.
func (b *Balancer) probePending(best *replica, now time.Time) bool {
	return b.isOutOfReach(best, now) && !b.startProbe(best.Service, now)
}
