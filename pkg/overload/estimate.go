package overload

import "time"

const (
	// defaultTarget stands in for a target that is not configured: requests may then wait
	// for a quarter of a second, the time that a full replica queue adds.
	defaultTarget = time.Second
	// waitDivisor is the part of the target that requests may wait. The rest stays for the
	// work, whose duration varies.
	waitDivisor = 4
	// gateDivisor is the part of the allowed wait above which a service is contended.
	gateDivisor = 2
	// maxRejected is the part of the requests that replicas may reject before a service is
	// contended.
	maxRejected = 0.02
	// minEvidence, per second, is the rate of answers and rejections below which a service is
	// not contended. Ratios of rates do not decay: without this bound a service whose requests
	// were all refused would stay contended by figures of the past.
	minEvidence = 2
	// minLimit is the smallest limit, as a part of the capacity.
	minLimit = 0.5
)

// plan is what a service's decisions are based on until the sums are computed again.
type plan struct {
	// version is that of the sums; 0 if there is no plan.
	version uint64
	target  time.Duration
	status  Status
	// contended is set while requests are seen to wait or to be rejected.
	contended bool
	// level is the rate that a share of weight 1 may have.
	level float64
}

// others holds the means over those replicas of a service that have figures.
type others struct {
	known          int
	took, capacity float64
}

// load sums up the figures of a service's replicas.
type load struct {
	answered, rejected, busy, queue, capacity float64
}

// Estimate returns what is known of one of a service's usable replicas. It returns false if
// nothing is known of any of them.
func (c *Controller) Estimate(replica Replica, usable []Replica, now time.Time) (Estimate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refresh(now)
	if r := c.sums.replicas[replica.Hash]; r.answered >= minRate {
		return Estimate{
			Capacity: capacity(r, replica.Slots),
			Wait:     seconds(queue(r, replica.Slots) / r.answered),
			Took:     seconds(r.took()),
		}, true
	}
	_, o := c.sums.load(usable)
	if o.known == 0 {
		return Estimate{}, false
	}
	return Estimate{Capacity: o.capacityOf(replica.Slots), Took: seconds(o.took)}, true
}

// Status returns what is known of a service whose usable replicas are given.
func (c *Controller) Status(service string, target time.Duration, usable []Replica, now time.Time) Status {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	s := c.service(service, now)
	if s == nil {
		return Status{}
	}
	return c.plan(s, target, usable, now).status
}

// plan returns the plan of a service for what its caller says of it.
func (c *Controller) plan(s *service, target time.Duration, usable []Replica, now time.Time) *plan {
	s.observe(target, usable, now)
	c.refresh(now)
	return c.planOf(s, target)
}

// planOf returns the plan of a service by its remembered replicas and the current sums.
func (c *Controller) planOf(s *service, target time.Duration) *plan {
	if target <= 0 {
		target = defaultTarget
	}
	if s.plan.version == c.sums.version && s.plan.target == target {
		return &s.plan
	}
	s.plan = c.sums.plan(s, target)
	return &s.plan
}

func (s *sums) plan(svc *service, target time.Duration) plan {
	demands := s.demands(svc.hash)
	p := plan{version: s.version, target: target}
	for _, d := range demands {
		p.status.Demand += d.offered
	}
	l, o := s.load(svc.usable)
	if o.known == 0 {
		return p
	}
	allowed := target.Seconds() / waitDivisor
	wait := l.queue / l.answered
	p.status.Wait, p.status.Took = seconds(wait), seconds(o.took)
	p.status.Capacity = l.capacity
	p.status.Limit = l.capacity * max(1+(allowed-wait)/window.Seconds(), minLimit)
	p.contended = l.answered+l.rejected >= minEvidence &&
		(wait > allowed/gateDivisor || l.rejected >= maxRejected*(l.answered+l.rejected))
	p.status.Limiting = p.contended && p.status.Demand > p.status.Limit
	if p.status.Limiting {
		p.level = fairLevel(p.status.Limit, demands)
	}
	return p
}

// load sums up the figures of replicas. One without answers counts by the means of the
// others.
func (s *sums) load(usable []Replica) (l load, o others) {
	for _, replica := range usable {
		r := s.replicas[replica.Hash]
		l.rejected += r.rejected
		if r.answered < minRate {
			continue
		}
		o.known++
		l.answered += r.answered
		l.busy += r.busy
		l.queue += queue(r, replica.Slots)
		l.capacity += capacity(r, replica.Slots)
	}
	if o.known == 0 {
		return l, o
	}
	o.took = max(l.busy/l.answered, minTook.Seconds())
	o.capacity = l.capacity / float64(o.known)
	for _, replica := range usable {
		if s.replicas[replica.Hash].answered < minRate {
			l.capacity += o.capacityOf(replica.Slots)
		}
	}
	return l, o
}

// capacityOf returns the capacity of a replica without figures.
func (o others) capacityOf(slots int) float64 {
	if slots <= 0 {
		return o.capacity
	}
	return float64(slots) / o.took
}

// queue returns how many requests wait at a replica. It is 0 if its slots are unknown, since
// nothing then tells waiting requests from running ones.
func queue(r replicaRates, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return max(r.busy-float64(slots), 0)
}

func capacity(r replicaRates, slots int) float64 {
	return max(r.answered, float64(max(slots, 0))/r.took())
}
