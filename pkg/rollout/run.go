package rollout

import "time"

// run is the roll-out of one service.
type run struct {
	record  Record
	phase   Phase
	reason  string
	own     Evidence
	sources map[string]Evidence
	// excluded holds versions that were never found good.
	excluded map[string]bool
	// wantedAt is since when the wanted status has not been written, triedAt when this
	// router last tried.
	wanted            State
	wantedAt, triedAt time.Time
}

// replaceOrder starts a new roll-out, or ends the one in progress if there is no order.
func (r *run) replaceOrder(next Record) {
	if r.record.Order.Version != "" && r.phase != Finished {
		r.excluded[r.record.Order.Version] = true
	}
	delete(r.excluded, next.Order.Version)
	excluded := r.excluded
	*r = run{record: next, excluded: excluded}
	if next.Order.Revision != 0 {
		r.phase, r.own, r.sources = Canary, make(Evidence), make(map[string]Evidence)
	}
}

// setElapsed takes over how long ago another router knows the order to have been seen first. A report
// that is delayed states too short a time, so the longest one is the best.
func (r *run) setElapsed(elapsed time.Duration, now time.Time) {
	if seen := now.Add(-min(elapsed, r.record.Order.Duration)); seen.Before(r.record.SeenAt) {
		r.record.SeenAt = seen
	}
}

// progress returns the part of the order's duration that is over.
func (r *run) progress(now time.Time) float64 {
	if r.record.Order.Duration <= 0 {
		return 1
	}
	return float64(now.Sub(r.record.SeenAt)) / float64(r.record.Order.Duration)
}

// allEvidence returns the evidence of all routers, as far as it is known here.
func (r *run) allEvidence() Evidence {
	sum := make(Evidence)
	sum.add(r.own)
	for _, other := range r.sources {
		sum.add(other)
	}
	return sum
}

// wantedState returns what the status should say, or "" if there is no order.
func (r *run) wantedState(now time.Time) State {
	switch {
	case r.phase == "":
		return ""
	case r.phase == Abandoned:
		return RolledBack
	case r.phase == Finished, r.phase == Shifting && r.progress(now) >= completeAt:
		return Completed
	}
	return InProgress
}
