package gossip

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/overload"
)

// OverloadReports holds the rates at services without engines that routers report to each
// other. *overload.Controller implements it.
type OverloadReports interface {
	Report(now time.Time) overload.Report
	GroupReport(sources []string, now time.Time) overload.Report
	MergeReport(source string, r overload.Report, now time.Time)
	RemoveSource(source string)
}

const (
	// maxReportRows bounds the rows of each kind that a report has. Deployments have up to
	// ten replicas of services without engines and some 50 shares.
	maxReportRows = 64
	// maxReportRate bounds a rate, far above what the routers of a fleet can forward.
	maxReportRate = 1e6
	// maxReportPriority is the least urgent priority that is told apart, as in package
	// overload.
	maxReportPriority = 15
	// maxReportSources bounds the routers and lines whose reports are taken.
	maxReportSources = 256
	hundredths       = 100
	// usualScale makes thousandths of the hundredths in which other rates are sent: one request
	// in the last minute is 0.017 per second.
	usualScale = 10
)

// encodeReport returns a report in wire form, nil if it says nothing. Of too many rows it
// keeps those with the highest rates.
func encodeReport(r overload.Report) *gossippb.Overload {
	var e gossippb.Overload
	for _, row := range largestRows(r.Replicas, func(row overload.ReplicaReport) float64 { return row.Answered + row.Rejected + row.Busy }) {
		answered, rejected, busy := encodeRate(row.Answered), encodeRate(row.Rejected), encodeRate(row.Busy)
		if answered == 0 && rejected == 0 && busy == 0 {
			continue
		}
		e.Replica = append(e.Replica, row.Replica)
		e.Answered, e.Rejected, e.Busy = append(e.Answered, answered), append(e.Rejected, rejected), append(e.Busy, busy)
	}
	for _, row := range largestRows(r.Shares, func(row overload.ShareReport) float64 { return row.Offered + row.Usual }) {
		offered, usual := encodeRate(row.Offered), encodeRate(row.Usual*usualScale)
		if offered == 0 && usual == 0 {
			continue
		}
		e.Service, e.Organisation = append(e.Service, row.Service), append(e.Organisation, row.Organisation)
		e.Priority = append(e.Priority, uint32(min(max(row.Priority, 0), maxReportPriority)))
		e.Offered, e.Usual = append(e.Offered, offered), append(e.Usual, usual)
	}
	if len(e.Replica) == 0 && len(e.Service) == 0 {
		return nil
	}
	return &e
}

// largestRows returns the rows with the highest rates if there are too many, otherwise all.
func largestRows[R any](rows []R, rate func(R) float64) []R {
	if len(rows) <= maxReportRows {
		return rows
	}
	sorted := slices.Clone(rows)
	slices.SortStableFunc(sorted, func(x, y R) int { return cmp.Compare(rate(y), rate(x)) })
	return sorted[:maxReportRows]
}

// encodeRate returns a rate in hundredths. What is not a positive number becomes 0.
func encodeRate(rate float64) uint32 {
	if !(rate > 0) {
		return 0
	}
	return uint32(math.Round(min(rate, maxReportRate) * hundredths))
}

func decodeRate(n uint32) float64 { return min(float64(n)/hundredths, maxReportRate) }

// decodeReport decodes a report. It reads columns of unequal length up to the shortest, and
// ignores rows beyond maxReportRows.
func decodeReport(e *gossippb.Overload) overload.Report {
	var r overload.Report
	for i := range min(len(e.Replica), len(e.Answered), len(e.Rejected), len(e.Busy), maxReportRows) {
		r.Replicas = append(r.Replicas, overload.ReplicaReport{
			Replica: e.Replica[i], Answered: decodeRate(e.Answered[i]), Rejected: decodeRate(e.Rejected[i]), Busy: decodeRate(e.Busy[i]),
		})
	}
	for i := range min(len(e.Service), len(e.Organisation), len(e.Priority), len(e.Offered), len(e.Usual), maxReportRows) {
		r.Shares = append(r.Shares, overload.ShareReport{
			Service: e.Service[i], Organisation: e.Organisation[i],
			Priority: int(min(e.Priority[i], maxReportPriority)), Offered: decodeRate(e.Offered[i]), Usual: decodeRate(e.Usual[i]) / usualScale,
		})
	}
	return r
}

// addReports adds the report of this router to its own digest, and in a large fleet that
// of its line to the digest of the line. g.mu is held.
func (g *Gossip) addReports(d digests, now time.Time) {
	if g.options.Overload == nil {
		return
	}
	own := g.options.Overload.Report(now)
	d.own.Overload = encodeReport(own)
	g.contended = len(own.Shares) > 0
	if d.line != nil {
		sum := g.options.Overload.GroupReport(g.partners.Line, now)
		d.line.Overload = encodeReport(sum)
		g.contended = g.contended || len(sum.Shares) > 0
	}
}

// lineView is how this router sees the division of the fleet.
type lineView struct {
	large       bool
	line, lines int
}

// mergeReport takes the report of a router about itself or about its line. In a large fleet
// it takes only what adds up: the reports of its own line's members, and the sums of the
// other lines by the same division. A router that both reported itself and was part of a
// sum would be counted twice, and requests be refused for demand that does not exist.
func (g *Gossip) mergeReport(d *gossippb.Digest, now time.Time) {
	if g.options.Overload == nil || d.Overload == nil {
		return
	}
	report := decodeReport(d.Overload)
	g.mu.Lock()
	defer g.mu.Unlock()
	source := d.Sender
	accepted := !g.view.large || slices.Contains(g.partners.Line, d.Sender)
	if d.Lines > 0 {
		source = fmt.Sprintf("line %d of %d", d.Line, d.Lines)
		accepted = g.view.large && int(d.Lines) == g.view.lines && d.Line < d.Lines && int(d.Line) != g.view.line
	}
	if !accepted || !g.reportSources[source] && len(g.reportSources) >= maxReportSources {
		return
	}
	g.reportSources[source] = true
	// The lock is held so that a report of the division before can't arrive after it was
	// dropped.
	g.options.Overload.MergeReport(source, report, now)
}

// updateView records the division of the fleet as of this round. If it changed, the reports
// received by the old one overlap with those to come, and are dropped.
func (g *Gossip) updateView(large bool) {
	g.mu.Lock()
	view := lineView{large: large}
	if large {
		view.line, view.lines = g.members.Line()
	}
	var old []string
	if view != g.view {
		for source := range g.reportSources {
			old = append(old, source)
		}
	}
	g.view = view
	g.mu.Unlock()
	for _, source := range old {
		g.removeReport(source)
	}
}

// removeReport drops the report of a source.
func (g *Gossip) removeReport(source string) {
	if g.options.Overload == nil {
		return
	}
	g.mu.Lock()
	delete(g.reportSources, source)
	g.mu.Unlock()
	g.options.Overload.RemoveSource(source)
}
