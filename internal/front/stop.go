package front

import (
	"net/http"
	"time"

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
func (f *Front) checkShutdown(r *route.Route, end, now time.Time) *refusal {
	s := f.stopping.Load()
	if s == nil || !end.After(s.cutAt) {
		return nil
	}
	margin := shutdownMargin
	if r.Kind == route.Stream && !now.Before(s.lateAt) {
		margin = lateMargin
	}
	longest, known := f.longestDurations.Max(r.Name, now)
	if known && now.Add(time.Duration(float64(longest)*margin)).Before(s.cutAt) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryElsewhere, closes: true, unable: true}
}
