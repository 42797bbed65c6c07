package balance

import "time"

// probePause is how often a router sends a request to a service none of whose
// replicas could be reached a moment ago: a connection that is not answered is given
// up after 0.3 s, and it is to be noticed soon that one is.
const probePause = 250 * time.Millisecond

// outOfReach tells whether a replica, or another of its data centre, could not be
// reached a moment ago, and it has not answered since. One that refuses connections
// says so at once; trying it costs nothing.
func (b *Balancer) outOfReach(r *replica, now time.Time) bool {
	if unanswered(&r.health, r, now) && r.health.kind == Unreachable {
		return true
	}
	centre := b.centres[r.DataCentre]
	return centre != nil && unanswered(centre, r, now)
}

// unanswered tells whether a replica is avoided for a failure since which it has not
// answered.
func unanswered(h *health, r *replica, now time.Time) bool {
	return h.avoided(now) && !r.answered.After(h.last)
}

// mayProbe tells whether a service is due to be tried although it is out of reach.
func (b *Balancer) mayProbe(service string, now time.Time) bool {
	if now.Sub(b.probed[service]) < probePause {
		return false
	}
	b.probed[service] = now
	return true
}

// hopeless tells whether a request is not to be sent even to the best of what is left.
func (b *Balancer) hopeless(best *replica, now time.Time) bool {
	return b.outOfReach(best, now) && !b.mayProbe(best.Service, now)
}
