package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reportExpiry is how long a report counts after its arrival: four gossip rounds of 0.6 s
	// were missed by then.
	reportExpiry = 2500 * time.Millisecond
	// maxRows bounds the rows of each kind in a report, sent and received.
	maxRows = 64
	// maxSources bounds the memory for reports. The largest deployment has 143 routers.
	maxSources = 256
	// sumsExpiry is how long the sums over all sources are kept: this router's own figures
	// decay by 5 % in it.
	sumsExpiry = 50 * time.Millisecond
)

// source holds the last report of a router or group.
type source struct {
	name     string
	at       time.Time
	replicas []ReplicaReport
	shares   []ShareReport
}

func (s *source) expired(now time.Time) bool { return now.Sub(s.at) > reportExpiry }

// sums are the rates over this router and all sources.
type sums struct {
	valid bool
	at    time.Time
	// version increases with each computation.
	version  uint64
	replicas map[uint32]replicaRates
	shares   map[shareKey]shareRates
	// rates and buffer are reused by the methods totals and demands.
	rates  []shareRates
	buffer []shareDemand
}

func newSums() sums {
	return sums{replicas: make(map[uint32]replicaRates), shares: make(map[shareKey]shareRates)}
}

// addSource adds a report as it arrived. It is not decayed by its age: what happened since is
// missing from it, so that decayed reports would show too few requests at replicas whose slots
// do not decay, and hide waiting.
func (s *sums) addSource(src *source) {
	for _, r := range src.replicas {
		rates := replicaRates{answered: r.Answered, rejected: r.Rejected, busy: r.Busy}
		s.replicas[r.Replica] = s.replicas[r.Replica].plus(rates)
	}
	for _, r := range src.shares {
		key := shareKey{r.Service, r.Organisation, uint8(r.Priority)}
		s.shares[key] = s.shares[key].plus(shareRates{r.Offered, r.Usual})
	}
}

// refresh computes the sums unless they are recent.
func (c *Controller) refresh(now time.Time) {
	if c.sums.valid && now.Sub(c.sums.at).Abs() <= sumsExpiry {
		return
	}
	c.sums.valid, c.sums.at = true, now
	c.sums.version++
	clear(c.sums.replicas)
	clear(c.sums.shares)
	for replica, r := range c.replicas {
		c.sums.replicas[replica] = r.ratesAt(now)
	}
	for key, r := range c.shares {
		c.sums.shares[key] = r.ratesAt(now)
	}
	for _, s := range c.sources {
		if !s.expired(now) {
			c.sums.addSource(s)
		}
	}
}

// Report returns what this router saw. It has rows of shares only for services that are
// contended as this router sees it.
func (c *Controller) Report(now time.Time) Report { return c.GroupReport(nil, now) }

// GroupReport returns the sum over this router and the named sources.
func (c *Controller) GroupReport(sources []string, now time.Time) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	group := newSums()
	for replica, r := range c.replicas {
		group.replicas[replica] = r.ratesAt(now)
	}
	contended := c.contendedServices(now)
	for key, r := range c.shares {
		if slices.Contains(contended, key.service) {
			group.shares[key] = r.ratesAt(now)
		}
	}
	for _, s := range c.sources {
		if !s.expired(now) && slices.Contains(sources, s.name) {
			group.addSource(s)
		}
	}
	return group.report()
}

func (c *Controller) contendedServices(now time.Time) []uint32 {
	c.refresh(now)
	var contended []uint32
	for _, s := range c.services {
		if c.planOf(s, s.target).contended {
			contended = append(contended, s.hash)
		}
	}
	return contended
}

// report returns the largest rows.
func (s *sums) report() Report {
	var r Report
	for replica, rates := range s.replicas {
		if !rates.negligible() {
			r.Replicas = append(r.Replicas, ReplicaReport{replica, rates.answered, rates.rejected, rates.busy})
		}
	}
	for key, rates := range s.shares {
		if !rates.negligible() {
			r.Shares = append(r.Shares, ShareReport{key.service, key.organisation, int(key.priority), rates.offered, rates.usual})
		}
	}
	slices.SortFunc(r.Replicas, func(a, b ReplicaReport) int {
		return cmp.Or(cmp.Compare(b.Answered+b.Rejected, a.Answered+a.Rejected), cmp.Compare(a.Replica, b.Replica))
	})
	slices.SortFunc(r.Shares, func(a, b ShareReport) int {
		return cmp.Or(cmp.Compare(b.Offered, a.Offered), cmp.Compare(b.Usual, a.Usual), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Priority, b.Priority))
	})
	r.Replicas = r.Replicas[:min(len(r.Replicas), maxRows)]
	r.Shares = r.Shares[:min(len(r.Shares), maxRows)]
	return r
}

// MergeReport takes the report of a router, or of a group that does not include this router.
// It replaces the source's last one. Invalid rows are dropped; a new source is ignored while
// there are too many.
func (c *Controller) MergeReport(name string, r Report, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	s := c.source(name, now)
	if s == nil {
		return
	}
	s.at = now
	s.replicas, s.shares = s.replicas[:0], s.shares[:0]
	for _, row := range r.Replicas[:min(len(r.Replicas), maxRows)] {
		s.mergeReplica(row)
	}
	for _, row := range r.Shares[:min(len(r.Shares), maxRows)] {
		s.mergeShare(row)
	}
	c.sums.valid = false
}

// RemoveSource drops the report of a source.
func (c *Controller) RemoveSource(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources = slices.DeleteFunc(c.sources, func(s *source) bool { return s.name == name })
	c.sums.valid = false
}

// source returns the entry of a source, or nil if there is no room. Known sources keep
// theirs, so that invented names can't displace them.
func (c *Controller) source(name string, now time.Time) *source {
	if i := slices.IndexFunc(c.sources, func(s *source) bool { return s.name == name }); i >= 0 {
		return c.sources[i]
	}
	if len(c.sources) >= maxSources {
		c.dropExpired(now)
	}
	if len(c.sources) >= maxSources {
		return nil
	}
	s := &source{name: name}
	c.sources = append(c.sources, s)
	return s
}

func (c *Controller) dropExpired(now time.Time) {
	c.sources = slices.DeleteFunc(c.sources, func(s *source) bool { return s.expired(now) })
}

func (s *source) mergeReplica(row ReplicaReport) {
	if !valid(row.Answered) || !valid(row.Rejected) || !valid(row.Busy) {
		return
	}
	if slices.ContainsFunc(s.replicas, func(r ReplicaReport) bool { return r.Replica == row.Replica }) {
		return
	}
	row.Answered = min(row.Answered, maxRate)
	row.Rejected = min(row.Rejected, maxRate)
	row.Busy = min(row.Busy, maxRate, row.Answered*maxTook.Seconds())
	s.replicas = append(s.replicas, row)
}

func (s *source) mergeShare(row ShareReport) {
	if !valid(row.Offered) || !valid(row.Usual) || row.Priority < 0 || row.Priority > maxPriority {
		return
	}
	if slices.ContainsFunc(s.shares, func(r ShareReport) bool {
		return r.Service == row.Service && r.Organisation == row.Organisation && r.Priority == row.Priority
	}) {
		return
	}
	row.Offered, row.Usual = min(row.Offered, maxRate), min(row.Usual, maxRate)
	s.shares = append(s.shares, row)
}

func valid(rate float64) bool { return rate >= 0 && !math.IsInf(rate, 1) }
