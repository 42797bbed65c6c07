package overload

import "time"

const (
	// defaultTarget stands in for a target that is not configured: requests may then wait
	// for a quarter of a second, the time that a full replica queue adds.
	defaultTarget = time.Second
	// waitDivisor is the part of the target that requests may wait: one in waitDivisor. The
	// rest stays for the work, whose duration varies.
	waitDivisor = 4
	// gateDivisor is the part of the allowed wait above which a service is contended: one in
	// gateDivisor.
	gateDivisor = 2
	// maxRejected is the part of the requests that replicas may reject before a service is
	// contended.
	maxRejected = 0.02
	// contendedFor is how long a service stays contended after requests were last seen to wait
	// or to be rejected.
	// Without it the routers would stop reporting demand as soon as refusals empty the queues,
	// and admit too much until they report it again.
	contendedFor = 5 * time.Second
	// minEvidence, per second, is the rate of answers and rejections below which a service is
	// not contended. Ratios of rates do not decay: without this bound a service whose requests
	// were all refused would stay contended by figures of the past.
	minEvidence = 2
	// minLimit is the smallest limit, as a part of what the replicas have room for.
	minLimit = 0.5
)

// plan is what a service's decisions are based on until the sums are computed again.
type plan struct {
	// version is that of the sums; 0 if there is no plan.
	version uint64
	target  time.Duration
	status  Status
	// contended is set while requests wait or are rejected, and for contendedFor after that.
	contended bool
	// level is the rate that a share of weight 1 may have.
	level  float64
	totals totals
	// limitsAll is set if the demand is too large even without the shares that surge. Then
	// equalLevel is the rate that a share of the highest priority may have, whatever it
	// usually asks for.
	limitsAll  bool
	equalLevel float64
}

// others holds the means over those replicas of a service that have figures.
type others struct {
	known              int
	workTime, capacity float64
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
			Capacity: c.capacity(replica, r),
			Wait:     seconds(queue(r, replica.Slots) / r.answered),
			Took:     seconds(r.took()),
		}, true
	}
	_, o := c.load(usable)
	if o.known == 0 {
		return Estimate{}, false
	}
	return Estimate{Capacity: o.capacityOf(replica.Slots), Took: seconds(o.workTime)}, true
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
	s.plan = c.newPlan(s, target)
	return &s.plan
}

func (c *Controller) newPlan(s *service, target time.Duration) plan {
	p := plan{version: c.sums.version, target: target, totals: c.sums.totals(s.hash)}
	p.status.Demand = p.totals.offered
	l, o := c.load(s.usable)
	if o.known == 0 {
		return p
	}
	allowed := target.Seconds() / waitDivisor
	wait := l.queue / l.answered
	p.status.Wait, p.status.Took = seconds(wait), seconds(l.busy/l.answered)
	p.status.Capacity = l.capacity
	p.status.Limit = l.room(wait, allowed) * max(1+(allowed-wait)/window.Seconds(), minLimit)
	evidence := l.answered+l.rejected >= minEvidence
	if evidence && (wait > allowed/gateDivisor || l.rejected >= maxRejected*(l.answered+l.rejected)) {
		s.contendedUntil = c.sums.at.Add(contendedFor)
	}
	p.contended = evidence && c.sums.at.Before(s.contendedUntil)
	p.status.Limiting = p.contended && p.status.Demand > p.status.Limit
	if p.status.Limiting {
		p.limitsAll = p.totals.steady(c.sums.ratesOf(s.hash)) > overloadFactor*p.status.Limit
		if p.limitsAll {
			p.equalLevel = fairLevel(p.status.Limit, c.sums.demands(s.hash, equalWeight))
		}
		p.level = fairLevel(p.status.Limit, c.sums.demands(s.hash, p.totals.weightOf))
	}
	return p
}

// load sums up the figures of replicas. One without answers counts by the means of the
// others.
func (c *Controller) load(usable []Replica) (l load, o others) {
	workTime := 0.0
	for _, replica := range usable {
		r := c.sums.replicas[replica.Hash]
		l.rejected += r.rejected
		if r.answered < minRate {
			continue
		}
		c.workTimes.observe(replica, r, c.sums.at)
		o.known++
		l.answered += r.answered
		l.busy += r.busy
		l.queue += queue(r, replica.Slots)
		l.capacity += c.capacity(replica, r)
		workTime += c.workTimes.of(replica, r)
	}
	if o.known == 0 {
		return l, o
	}
	o.workTime = workTime / float64(o.known)
	o.capacity = l.capacity / float64(o.known)
	for _, replica := range usable {
		if c.sums.replicas[replica.Hash].answered < minRate {
			l.capacity += o.capacityOf(replica.Slots)
		}
	}
	return l, o
}

// room returns the rate that the replicas have room for. With requests waiting as long as
// allowed it is what they answer now: some work slower when they are nearly full, and at the
// capacity of calm times the queue would stay. With fewer waiting it approaches the capacity.
func (l load) room(wait, allowed float64) float64 {
	idle := max(1-wait/allowed, 0)
	return l.answered + max(l.capacity-l.answered, 0)*idle
}

// capacityOf returns the capacity of a replica without figures.
func (o others) capacityOf(slots int) float64 {
	if slots <= 0 {
		return o.capacity
	}
	return float64(slots) / o.workTime
}

// queue returns how many requests wait at a replica. It is 0 if its slots are unknown, since
// nothing then tells waiting requests from running ones.
func queue(r replicaRates, slots int) float64 {
	if slots <= 0 {
		return 0
	}
	return max(r.busy-float64(slots), 0)
}

// capacity returns the rate that a replica can answer: what it answers, or what its slots do
// in the time that it works on a request.
func (c *Controller) capacity(replica Replica, r replicaRates) float64 {
	return max(r.answered, float64(max(replica.Slots, 0))/c.workTimes.of(replica, r))
}
