package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/route"
)

// shutdown is a planned shutdown in progress.
type shutdown struct {
	// From lateAt on, streams must be expected to end well before cutAt, when requests in
	// flight are aborted.
	lateAt, cutAt time.Time
}

// BeginShutdown makes each further answer the last on its connection, and refuses requests
// that would not end before cut, when those in flight are aborted. Until late, callers arrive
// that cannot know of the shutdown yet.
func (f *Front) BeginShutdown(late, cut time.Time) {
	f.stopping.Store(&shutdown{lateAt: late, cutAt: cut})
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

// Factors by which a request may take longer than the longest recent one of its route. Streams
// vary widely in length, and a request that takes longer than estimated is aborted.
const (
	shutdownMargin = 1.5
	lateMargin     = 4
)

// checkShutdown refuses, before it runs, a request that the shutdown would abort: another
// router can serve it completely. The caller of an aborted stream loses what it has read; the
// caller of any other request gets an error.
func (c *call) checkShutdown(now time.Time) *refusal {
	s := c.front.stopping.Load()
	if s == nil || !c.deadline.After(s.cutAt) {
		return nil
	}
	margin := shutdownMargin
	if c.route.Kind == route.Stream && !now.Before(s.lateAt) {
		margin = lateMargin
	}
	longest, known := c.front.longestDurations.Max(c.route.Name, now)
	if known && now.Add(time.Duration(float64(longest)*margin)).Before(s.cutAt) {
		c.front.log.Write(event.StopEstimate, event.F("request", c.id), event.F("route", c.route.Name), event.F("recent_ms", longest.Milliseconds()),
			event.F("left_ms", s.cutAt.Sub(now).Milliseconds()), event.F("deadline_ms", c.deadline.Sub(now).Milliseconds()))
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryElsewhere, closes: true, unable: true}
}
