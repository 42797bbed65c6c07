package balance

import "time"

// A replica that asked for rest is not chosen meanwhile: whoever asks leaves it out. At
// the end of the rest its share comes back gradually. All that waited for it would else
// come at one moment, and it would have to ask again.

const (
	// resumePeriod is for how long after a rest a replica gets less than its share.
	resumePeriod = 2 * time.Second
	// resumeStep is how long it takes until this router may have one more request there.
	resumeStep = 250 * time.Millisecond
)

// RestUntil notes that a replica asked for no requests until a time.
func (b *Balancer) RestUntil(id string, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil && until.After(r.restUntil) {
		r.restUntil = until
	}
}

// atResumeLimit tells whether a replica whose rest is over has as many of this router's
// requests as it may have for now.
func (r *replica) atResumeLimit(now time.Time) bool {
	since := now.Sub(r.restUntil)
	if r.restUntil.IsZero() || since < 0 || since >= resumePeriod {
		return false
	}
	return r.running >= 1+int(since/resumeStep)
}
