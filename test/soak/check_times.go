package soak

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// drain checks that a replica gets nothing new once its leaving had the time to be
// known, from routers in touch.
func (c *checker) drain() {
	departed := make(map[string]time.Time)
	for _, d := range c.Departures {
		if at, known := departed[d.Instance]; !known || d.Acked.Before(at) {
			departed[d.Instance] = d.Acked
		}
	}
	for i := range c.Runs {
		run := &c.Runs[i]
		at, left := departed[run.Instance]
		a := c.attempts[run.Attempt]
		if !left || a == nil || run.At.Sub(at) <= c.Bounds.Drain {
			continue
		}
		bound := c.inTouch(a.Life.Router, run.At.Add(-c.Bounds.Contact), run.At) && c.storeStable(at)
		if bound || c.knewAll(a.Life.Router, at, run.At) {
			c.add(Drain, a.ID, "came to %s %s after it said that it leaves", run.Instance, run.At.Sub(at))
		}
	}
}

// knewAll tells whether a router must have known of a leaving before anything befell the
// store, and nothing has befallen the router since: what it knew binds it whatever the
// store says later.
func (c *checker) knewAll(router string, at, now time.Time) bool {
	for _, d := range c.Disturbances {
		own := d.Router == router && d.Instance == ""
		if own && d.overlaps(at.Add(-c.Bounds.Contact), now) || d.ofStore() && d.overlaps(at.Add(-c.Bounds.Contact), at.Add(c.Bounds.Drain)) {
			return false
		}
	}
	return true
}

func (c *checker) storeStable(at time.Time) bool {
	for _, d := range c.Disturbances {
		if d.ofStore() && d.overlaps(at.Add(-c.Bounds.Contact), at) {
			return false
		}
	}
	return true
}

// Parts of the rule on lost requests. Source: the users' rules.
const (
	// earlyStop is how long after an order to stop a request may come that is still
	// at work at the end of the grace time.
	earlyStop = 3 * time.Second
	// lastPart of the grace time is that end.
	lastPart = 6
	// timeUp is how close to its deadline an answer counts as ended by it.
	timeUp = 100 * time.Millisecond
)

// lost checks that a whole request on an open connection is answered, unless
// something unplanned befell the router.
func (c *checker) lost(a *Attempt) {
	if !a.Closed || !a.Whole || !a.LeftAt.IsZero() {
		return
	}
	ran := c.ran(a.ID)
	// What the process had not read whole, or only just, crosses its close.
	crossed := len(ran) == 0 && (a.Reset || a.End.Sub(a.LastByte) <= c.Bounds.Crossing)
	if crossed || c.unplanned(a) || c.outOfTime(a) || c.replicaAtFault(a, ran) || c.relayAtFault(a) || c.graceOver(a, ran) {
		return
	}
	c.add(Lost, a.ID, "connection closed %s after its last byte, runs: %d, status %d, reused %v, %s after the order to stop: %s",
		a.End.Sub(a.LastByte), len(ran), a.Status, a.Reused, a.sinceTerm(), a.Detail)
}

// sinceTerm is how long after the order to stop a request was sent; 0 if there was none.
func (a *Attempt) sinceTerm() time.Duration {
	if a.Life.Term.IsZero() {
		return 0
	}
	return a.Sent.Sub(a.Life.Term)
}

// unplanned tells whether something unplanned befell the router of an attempt.
func (c *checker) unplanned(a *Attempt) bool {
	for _, d := range c.Disturbances {
		if d.Router == a.Life.Router && !d.Planned && d.overlaps(a.Sent.Add(-c.Bounds.Contact), a.End) {
			return true
		}
	}
	return false
}

// outOfTime tells whether the caller's time or the route's was over.
func (c *checker) outOfTime(a *Attempt) bool {
	limit := a.Deadline
	for _, v := range c.Versions {
		if route, known := v.route(a.Path); known && route.Timeout > 0 {
			limit = min(limit, route.Timeout)
		}
	}
	return a.End.Sub(a.Sent) >= limit-timeUp
}

// relayAtFault reports whether another router was killed while it may have served the attempt for
// its own, which was cut off from replicas and may relay until a probe reaches them again. A
// router whose replicas have all crashed relays too; then a replica saw the killed one leave.
func (c *checker) relayAtFault(a *Attempt) bool {
	relays := slices.ContainsFunc(c.Partitions, func(p Partition) bool {
		return slices.Contains(p.Routers, a.Life.Router) && !p.From.After(a.End) && !p.To.Add(c.Bounds.Contact).Before(a.Sent)
	})
	return slices.ContainsFunc(c.Disturbances, func(d Disturbance) bool {
		killed := d.What == kindKill && d.Router != a.Life.Router && d.overlaps(a.Sent, a.End)
		return killed && (c.leftWith(a, d) || relays && c.lostWith(a, d))
	})
}

// passing is how long a connection takes to close, or an answer to pass a router.
const passing = 20 * time.Millisecond

// leftWith reports whether a replica that ran an attempt saw its router leave as another one was
// killed.
func (c *checker) leftWith(a *Attempt, kill Disturbance) bool {
	return slices.ContainsFunc(c.runs[a.ID], func(run *standin.ReplicaRun) bool {
		return run.Left && !run.Ended.Before(kill.From) && !run.Ended.After(kill.To.Add(passing))
	})
}

// lostWith reports whether a kill may have taken a relayed attempt: no replica had it, or the last
// run ended as the router was killed, whose answer may have been on its way.
func (c *checker) lostWith(a *Attempt, kill Disturbance) bool {
	runs := c.runs[a.ID]
	if len(runs) == 0 {
		return true
	}
	last := slices.MaxFunc(runs, func(x, y *standin.ReplicaRun) int { return x.Ended.Compare(y.Ended) })
	return !last.Ended.Before(kill.From.Add(-passing)) && !last.Ended.After(kill.To.Add(passing))
}

// replicaAtFault tells whether a replica broke off, or its link was harmed.
func (c *checker) replicaAtFault(a *Attempt, ran []*standin.ReplicaRun) bool {
	for _, p := range c.Partitions {
		// One that begins may reset the connection by which another router was served.
		begins := !p.From.Before(a.Sent) && !p.From.After(a.End)
		if begins || slices.Contains(p.Routers, a.Life.Router) && !p.From.After(a.End) && !p.To.Before(a.Sent) {
			return true
		}
	}
	for _, run := range ran {
		if run.Broken {
			return true
		}
		for _, d := range c.Disturbances {
			if d.Instance == run.Instance && d.overlaps(a.Sent.Add(-c.Bounds.Contact), a.End) {
				return true
			}
		}
	}
	return false
}

// graceOver tells whether a stop cut what was at work until the grace time ended.
func (c *checker) graceOver(a *Attempt, ran []*standin.ReplicaRun) bool {
	term := a.Life.Term
	if term.IsZero() || a.Sent.After(term.Add(earlyStop)) {
		return false
	}
	last := term.Add(c.Bounds.Grace - c.Bounds.Grace/lastPart)
	for _, run := range ran {
		if run.Ended.IsZero() || run.Ended.After(last) {
			return true
		}
	}
	return false
}

// Parts of the rule on callers that left. Source: the users' rules.
const (
	// goneTime is how long replicas may go on after a caller left.
	goneTime = 500 * time.Millisecond
	// gonePart: more than one in so many is too many.
	gonePart = 4
	// goneFew are too few to judge by.
	goneFew = 8
)

// gone checks that replicas stop when callers leave.
func (c *checker) gone() {
	left, late := 0, 0
	for _, a := range c.Attempts {
		if a.LeftAt.IsZero() || c.mayRunOnce(a) && a.Events == 0 || !c.inTouch(a.Life.Router, a.Sent.Add(-c.Bounds.Contact), a.End.Add(goneTime)) {
			continue
		}
		left++
		for _, run := range c.ran(a.ID) {
			if run.Ended.IsZero() || run.Ended.Sub(a.LeftAt) > goneTime {
				late++
				break
			}
		}
	}
	if left >= goneFew && late*gonePart > left {
		c.add(Gone, "", "replicas went on for %d of %d callers that left", late, left)
	}
}
