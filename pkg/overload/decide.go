package overload

import "time"

const (
	// minAdmission is the part of a share's requests that is admitted at least, so that wrong
	// figures shut nobody out. It exceeds the fair part only of a share that asks for more
	// than a hundred times that part.
	minAdmission = 0.01
	// minRetryAfter and maxRetryAfter bound what callers are told. Rates change little in less
	// than a tenth of their window, and beyond two windows nothing is known.
	minRetryAfter = window / 10
	maxRetryAfter = 2 * window
	// retryPart is the part of their remaining time that callers are prepared to wait: one
	// in retryPart.
	retryPart = 3
)

// Decide admits or refuses a request.
func (c *Controller) Decide(q Request, now time.Time) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	s := c.service(q.Service, now)
	if s == nil {
		return Decision{Admitted: true}
	}
	p := c.plan(s, q.Target, q.Usable, now)
	key := keyOf(s, q.Share)
	share := c.share(key)
	d := Decision{Admitted: true, Status: p.status, Offered: share.offered, Granted: p.granted(key, share)}
	switch {
	case p.tooLate(q.Left):
		d.Admitted, d.Reason = false, TooLate
	case !c.draw(d.Granted, d.Offered):
		d.Admitted, d.Reason = false, OverShare
	}
	if !d.Admitted {
		d.RetryAfter = c.retryAfter(p.status.Wait, q.Left)
	}
	return d
}

// share returns the demand of a share, or of all uncounted shares if it is one of them.
func (c *Controller) share(key shareKey) shareRates {
	if r, ok := c.sums.shares[key]; ok {
		return r
	}
	return c.sums.shares[overflowKey(key)]
}

// granted returns the rate that a share may have: what it asks for, unless it surges or the
// demand is too large without those that do.
func (p *plan) granted(key shareKey, r shareRates) float64 {
	part := r.offered
	switch {
	case !p.status.Limiting:
	case p.limitsAll:
		part = p.equalLevel * equalWeight(key, r)
	case p.totals.surges(r):
		if surged := p.level * p.totals.weightOf(key, r); r.offered-surged >= minSurge*p.status.Limit {
			part = surged
		}
	}
	return min(max(part, r.offered*minAdmission), r.offered)
}

// tooLate reports whether an answer is expected after the deadline because requests wait. The
// mean duration of answers includes their wait.
// A request that is too late without waiting is not refused: that no queue is left while
// replicas still reject is due to figures of the past.
func (p *plan) tooLate(left time.Duration) bool {
	return p.contended && p.status.Wait > 0 && left > 0 && p.status.Took > left
}

// draw admits a request with the probability granted / offered.
func (c *Controller) draw(granted, offered float64) bool {
	return granted >= offered || c.random.Float64()*offered < granted
}

// retryAfter returns when capacity is expected: the time in which the replicas answer what
// waits there. It is spread so that callers return as capacity becomes available. The excess
// of demand does not enter it: callers that return after their target displace others that
// could still be served in time.
func (c *Controller) retryAfter(wait, left time.Duration) time.Duration {
	longest := maxRetryAfter
	if left > 0 {
		longest = min(longest, left/retryPart)
	}
	base := max(wait, minRetryAfter)
	if 2*base > longest {
		base = longest / 2
	}
	return base + time.Duration(c.random.Float64()*float64(base))
}
