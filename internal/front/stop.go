package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/pkg/route"
)

// stop is a planned stop that has begun.
type stop struct {
	// late is from when on streams must end well before cut, at which what is in
	// flight will be cut.
	late, cut time.Time
}

// BeginShutdown makes each further answer the last of its connection, and refuses what
// would not end before cut, at which what is in flight will be cut. Until late, new
// callers come who could not know of the stop.
func (f *Front) BeginShutdown(late, cut time.Time) {
	f.stopping.Store(&stop{late: late, cut: cut})
}

// CancelInFlight ends the requests in flight: those whose answer has not begun are told so,
// the others are broken off.
func (f *Front) CancelInFlight() { f.cut() }

// announceClose tells a caller of a stopping router not to use the connection again.
func (f *Front) announceClose(w http.ResponseWriter) {
	if f.stopping.Load() != nil {
		w.Header().Set("Connection", "close")
	}
}

// How much longer than the longest of late a request of a route may take: its streams differ
// much in length, and what takes longer than this says is cut.
const (
	stopMargin = 1.5
	lateMargin = 4
)

// checkStop refuses a request that a stopping router would have to cut, while it
// has not run: another router can serve it whole. A stream that is cut has lost what
// its caller has read of it; the caller of any other request is told.
func (f *Front) checkStop(r *route.Route, end, now time.Time) *refusal {
	s := f.stopping.Load()
	if s == nil || !end.After(s.cut) {
		return nil
	}
	margin := stopMargin
	if r.Kind == route.Stream && !now.Before(s.late) {
		margin = lateMargin
	}
	longest, known := f.longestDurations.Max(r.Name, now)
	if known && now.Add(time.Duration(float64(longest)*margin)).Before(s.cut) {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: retryElsewhere, closes: true}
}
