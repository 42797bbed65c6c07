package balance

import "time"

// A replica that asked for rest is not chosen meanwhile: callers of Pick exclude it.
// After the rest its share returns gradually. Otherwise all requests that waited for it
// would arrive at once, and it would have to ask for rest again.

const (
	// resumePeriod is how long after a rest a replica gets less than its share.
	resumePeriod = 2 * time.Second
	// resumeStep is the interval after which this router may send one more concurrent
	// request to the replica.
	resumeStep = 250 * time.Millisecond
)

// RestUntil records that a replica asked to get no requests until a time.
func (b *Balancer) RestUntil(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil && until.After(r.restUntil) {
		r.restUntil = until
	}
}

// atResumeLimit reports whether a replica whose rest is over already has as many of this
// router's requests as it may have for now.
func (r *replica) atResumeLimit(now time.Time) bool {
	since := now.Sub(r.restUntil)
	if r.restUntil.IsZero() || since < 0 || since >= resumePeriod {
		return false
	}
	return r.running >= 1+int(since/resumeStep)
}
