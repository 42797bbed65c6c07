package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Report is what a router sends to others about one roll-out.
type Report struct {
	// Service is the hash of the service's name, Order the revision of the order.
	Service uint32
	Order   uint64
	// Bad is set once the sender found the version bad.
	Bad bool
	// Elapsed is the time since the order was first seen, as far as the sender knows; 0 if it is not stated.
	Elapsed  time.Duration
	Evidence Evidence
}

// Reports returns what this router counted itself about the roll-outs in progress.
func (c *Controller) Reports(now time.Time) []Report {
	return c.reports(now, func(r *run) Evidence {
		own := make(Evidence)
		own.add(r.own)
		return own
	})
}

// GroupReports returns the sum over this router and the named others, as they reported.
func (c *Controller) GroupReports(members []string, now time.Time) []Report {
	return c.reports(now, func(r *run) Evidence {
		sum := make(Evidence)
		sum.add(r.own)
		for _, member := range members {
			sum.add(r.sources[member])
		}
		return sum
	})
}

func (c *Controller) reports(now time.Time, evidence func(*run) Evidence) []Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Report
	for service, r := range c.runs {
		if r.phase == "" || r.record.Outcome().Final() {
			continue
		}
		list = append(list, Report{
			Service: hash32(service), Order: r.record.Order.Revision, Bad: r.phase == Abandoned,
			Elapsed: max(now.Sub(r.record.SeenAt), 0), Evidence: evidence(r),
		})
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// MergeReports takes the reports of one source: a router, or a group of routers that sends
// sums. Repeated, late and lost reports do no harm.
func (c *Controller) MergeReports(source string, list []Report, now time.Time) {
	if len(list) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, r := range c.runs {
		for _, report := range list {
			if r.phase != "" && report.Service == hash32(service) && report.Order == r.record.Order.Revision {
				r.setElapsed(report.Elapsed, now)
				c.mergeReport(r, source, report)
			}
		}
	}
}

func (c *Controller) mergeReport(r *run, source string, report Report) {
	if report.Bad {
		c.enter(r, Abandoned, "found bad by another router")
	}
	known := r.sources[source]
	if known == nil {
		if len(r.sources) >= maxSources {
			return
		}
		known = make(Evidence)
		r.sources[source] = known
	}
	known.merge(report.Evidence)
}
