package balance

import "time"

// RequestStarted counts a request that is about to be sent to a replica, whatever room it has.
func (b *Balancer) RequestStarted(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.running++
		b.busy[r] = true
	}
}

// StartChosen counts a request that is about to be sent to the replica that Pick chose. It counts
// nothing and reports false if requests that started since have taken the replica's room below the
// bound, or this router's part of it if it is brittle; Pick then has to choose again.
func (b *Balancer) StartChosen(c Choice, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[c.Replica.ID]
	if r == nil {
		return true
	}
	if b.mustSpare(r, now) || r.running > c.running && c.Load < c.Bound && b.load(r, now) >= b.serviceBound(r.Service, now) {
		return false
	}
	r.running++
	b.busy[r] = true
	return true
}

// RequestFinished ends a request that RequestStarted or StartChosen counted.
func (b *Balancer) RequestFinished(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil && r.running > 0 {
		if r.running--; r.running == 0 {
			delete(b.busy, r)
		}
	}
}

// RequestSucceeded records that a replica answered successfully and now holds the parts
// of the prompt. It reports whether that cleared the replica of earlier failures.
func (b *Balancer) RequestSucceeded(id string, parts []Part, now time.Time) (cleared bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return false
	}
	hadFailures := r.health.failures > 0
	r.health.recordSuccess(now)
	b.serviceOutcomes(r.Service).addSuccess(now)
	r.lastSuccess = now
	r.recordContact(now)
	r.centre.health.recordSuccess(now)
	for _, part := range parts[:max(len(parts)-1, 0)] {
		if !b.holders.heardRecently(part.ID, id, now) && b.shouldAnnounceHolder(r, part.ID, parts) {
			b.queueHolder(part.ID, r)
		}
		b.holders.add(part.ID, id, now)
	}
	return hadFailures && r.health.failures == 0
}

// shouldAnnounceHolder reports whether other routers can't guess that an engine holds a
// part. In a large fleet they assume that a prompt's last shared part is at its first
// home, and soon learn of some holder of an opening that many prompts share.
func (b *Balancer) shouldAnnounceHolder(r *replica, part uint64, parts []Part) bool {
	if !b.largeFleet {
		return true
	}
	if part != homeKey(parts) {
		return false
	}
	for _, other := range b.services[r.Service] {
		if homeRank(other, part) > homeRank(r, part) {
			return true
		}
	}
	return false
}
