package balance

import (
	"cmp"
	"slices"
	"time"
)

// report is what a replica told of its load.
type report struct {
	load float64
	// running is the own count when the report came.
	running int
	// at is when the replica told it, to this router or to another.
	at time.Time
	// untold: not yet passed on to other routers.
	untold bool
}

const (
	// reportLife is how long a report says something while all routers tell each
	// other what they run: engines report with a lag, and a request lasts about
	// as long.
	reportLife = 400 * time.Millisecond
	// largeReportLife is the same in a large fleet, where a report is all there
	// is and takes some rounds to come round.
	largeReportLife = 1200 * time.Millisecond
)

// reportAge is how old a report may be to count.
func (b *Balancer) reportAge() time.Duration {
	if b.large {
		return largeReportLife
	}
	return reportLife
}

// reported tells whether there is a report that still says something.
func (b *Balancer) reported(r *replica, now time.Time) bool {
	return now.Sub(r.report.at) < b.reportAge()
}

// load estimates the requests at a replica, of all routers.
func (b *Balancer) load(r *replica, now time.Time) float64 {
	load := float64(r.running)
	if !b.large {
		load += float64(b.others(r.short, now).Running)
	}
	if b.reported(r, now) {
		load = max(load, r.report.load+float64(r.running-r.report.running))
	}
	return load
}

// meanLoad estimates the mean load of a service's replicas. In a large fleet
// that is the mean of those that told theirs lately, once they are the half: of
// the others this router knows no more than its own part.
func (b *Balancer) meanLoad(all []*replica, now time.Time) float64 {
	total, told, reports := 0.0, 0.0, 0
	for _, r := range all {
		load := b.load(r, now)
		total += load
		if b.reported(r, now) {
			told += load
			reports++
		}
	}
	if b.large && 2*reports >= len(all) {
		return told / float64(reports)
	}
	return total / float64(len(all))
}

// Reported takes the load that a replica told, in requests running and waiting.
func (b *Balancer) Reported(id string, load int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.report = report{load: float64(load), running: r.running, at: now, untold: true}
	}
}

// Load is what a replica told of its load at a time, to whichever router.
type Load struct {
	Replica uint32
	Load    int
	At      time.Time
}

// maxToldLoads bounds the loads that one telling holds.
const maxToldLoads = 12

// tellLoads returns the newest loads that were not told yet. b.mu is held.
func (b *Balancer) tellLoads(now time.Time) []Load {
	var list []Load
	for _, r := range b.replicas {
		if r.report.untold && b.reported(r, now) {
			list = append(list, Load{r.short, int(r.report.load), r.report.at})
		}
	}
	slices.SortFunc(list, func(x, y Load) int { return cmp.Or(y.At.Compare(x.At), cmp.Compare(x.Replica, y.Replica)) })
	list = list[:min(len(list), maxToldLoads)]
	for _, l := range list {
		b.byHash[l.Replica].report.untold = false
	}
	return list
}

// mergeLoads takes loads that other routers were told, and passes them on if
// they are news. b.mu is held.
func (b *Balancer) mergeLoads(list []Load) {
	for _, l := range list {
		r := b.byHash[l.Replica]
		if r == nil || l.At.Sub(r.report.at) < sameNews {
			continue
		}
		r.report = report{load: float64(l.Load), running: r.running, at: l.At, untold: true}
	}
}
