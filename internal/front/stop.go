package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
)

// shutdown is a planned shutdown in progress.
type shutdown struct {
	// announcedAt is when callers can know of the shutdown, cutAt when requests in flight are
	// aborted.
	announcedAt, cutAt time.Time
}

// BeginShutdown makes each further answer the last on its connection, and refuses requests
// that would not end before cut, when those in flight are aborted. Until announced, callers
// arrive that cannot know of the shutdown yet. Further calls change the times.
func (f *Front) BeginShutdown(announced, cut time.Time) {
	f.stopping.Store(&shutdown{announcedAt: announced, cutAt: cut})
}

// CancelInFlight ends the requests in flight. Those whose answer has not begun get an error;
// the others are aborted.
func (f *Front) CancelInFlight() { f.cut() }

// announceClose tells the caller not to reuse the connection if the router is shutting down.
func (f *Front) announceClose(w http.ResponseWriter) {
	if f.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// shutdownMargin is the factor by which a request may take longer than the longest recent one
// of its route.
const shutdownMargin = 1.5

// checkShutdown refuses, before an attempt, a request that the shutdown could abort: another
// router can serve it completely.
func (c *call) checkShutdown(now time.Time) *refusal {
	if c.fitsShutdown(now) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryElsewhere, closes: true, unable: true}
}

// fitsShutdown reports whether an attempt may start although the router is shutting down. Once
// callers can know of the shutdown, only the request's own deadline shows that it ends in time.
// Recent requests do not: a single longer one is aborted after its caller has read most of it.
//
// The refusal of a request that may have run promises nothing, and one whose answer has begun
// would lose it. So the former is retried if recent requests were short enough, the latter
// always.
func (c *call) fitsShutdown(now time.Time) bool {
	s := c.front.stopping.Load()
	if s == nil || c.headSent {
		return true
	}
	if !c.mayHaveRun && !now.Before(s.announcedAt) {
		return !c.deadline.After(s.cutAt)
	}
	return c.front.retryFitsShutdown(c.route.Name, c.deadline, now)
}

// retryFitsShutdown reports whether a retry of a request that may have run is expected to end before
// the shutdown, if there is one, aborts it.
func (f *Front) retryFitsShutdown(route string, deadline, now time.Time) bool {
	s := f.stopping.Load()
	return s == nil || !deadline.After(s.cutAt) || f.endsBefore(route, s.cutAt, now)
}

// endsBefore reports whether a request of a route that starts now is expected to end before a
// time, by the longest recent one.
func (f *Front) endsBefore(route string, end, now time.Time) bool {
	longest, known := f.longestDurations.Max(route, now)
	return known && now.Add(time.Duration(float64(longest)*shutdownMargin)).Before(end)
}

// logStopEstimate logs an attempt that starts during a shutdown and could outlast it.
func (c *call) logStopEstimate(now time.Time) {
	s := c.front.stopping.Load()
	if s == nil || !c.deadline.After(s.cutAt) {
		return
	}
	longest, _ := c.front.longestDurations.Max(c.route.Name, now)
	c.front.log.Write(event.StopEstimate, event.F("request", c.id), event.F("route", c.route.Name), event.F("recent_ms", longest.Milliseconds()),
		event.F("left_ms", s.cutAt.Sub(now).Milliseconds()), event.F("deadline_ms", c.deadline.Sub(now).Milliseconds()))
}
