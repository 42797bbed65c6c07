package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Failure is how a request to a replica went wrong.
type Failure uint8

// The failures, by how much they say against the replica.
const (
	// Shed: the replica did not take it, being full or leaving.
	Shed Failure = iota
	// Errored: it answered with an error of its own.
	Errored
	// Broke: the connection ended without a whole answer.
	Broke
	// Hung: no answer in a time in which others answer.
	Hung
	// Refused: nothing listens at its address, or another replica does.
	Refused
	// Unreachable: opening a connection took too long.
	Unreachable
	// Restart: it started again under its id. No failure of this life.
	Restart
)

// String implements fmt.Stringer.
func (f Failure) String() string {
	return [...]string{"shed", "errored", "broke", "hung", "refused", "unreachable", "restart"}[f]
}

// soft tells whether sound replicas show the failure too, now and then.
func (f Failure) soft() bool { return f == Errored || f == Broke }

// base is how long a replica is avoided after one failure of the kind.
func (f Failure) base() time.Duration {
	switch f {
	case Shed:
		return 150 * time.Millisecond
	case Errored, Broke:
		return 700 * time.Millisecond
	}
	return time.Second
}

const (
	// longestSuspicion bounds the doubling for repeated failures.
	longestSuspicion = 6 * time.Second
	// forgetAfter is the quiet time after which earlier failures don't count.
	forgetAfter = 8 * time.Second
	// forgiveStreak is how many good answers in a row clear earlier failures.
	forgiveStreak = 3
	// maxDoublings keeps the shift small.
	maxDoublings = 5
)

// health says whether a replica is to be avoided.
//
//	failure          -> avoided for base, twice as long for each further one
//	time is over     -> tried again
//	good answers     -> trusted again
type health struct {
	failures int
	good     int
	until    time.Time
	last     time.Time
	kind     Failure
}

// failed notes a failure at a time, which may lie before the last one if another
// router saw it.
func (h *health) failed(kind Failure, now time.Time) {
	if now.Sub(h.last) > forgetAfter {
		h.failures = 0
	}
	pause := min(kind.base()<<min(h.failures, maxDoublings), longestSuspicion)
	if until := now.Add(pause); until.After(h.until) {
		h.until = until
	}
	if kind != Shed {
		h.failures++
	}
	if now.Before(h.last) {
		return
	}
	h.good = 0
	h.last = now
	h.kind = kind
}

func (h *health) succeeded(now time.Time) {
	h.good++
	if h.failures > 0 && (h.good >= forgiveStreak || now.After(h.until)) {
		h.failures--
		h.good = 0
	}
}

// avoided tells whether the replica is to get no work.
func (h *health) avoided(now time.Time) bool { return now.Before(h.until) }

// suspect tells whether a replica is to be passed over while others are left.
func (b *Balancer) suspect(r *replica, now time.Time) bool {
	return b.badness(r, now) > 0
}

// Degrees of badness. One that can't be reached is no place to copy from.
const (
	badSlow = iota + 1
	badFailing
	badUnreachable
	badAbsent
)

// badness orders replicas that should be avoided: 0 is sound.
func (b *Balancer) badness(r *replica, now time.Time) int {
	bad := 0
	if b.slow(r, now) || r.resumes(now) {
		bad = badSlow
	}
	if r.health.avoided(now) {
		bad = badFailing
		if r.health.kind >= Refused {
			bad = badAbsent
		}
	}
	if b.cutOff(r.DataCentre, now) {
		bad = max(bad, badUnreachable)
	}
	return bad
}

// cutOff tells whether a data centre can't be reached, as it seems.
func (b *Balancer) cutOff(centre string, now time.Time) bool {
	if b.silent[centre] {
		return true
	}
	c := b.centres[centre]
	return c != nil && c.avoided(now)
}

// RequestFailed notes a failure at a replica. A replica in another data centre that
// can't be reached speaks against the whole of it: a cut strikes them all.
func (b *Balancer) RequestFailed(id string, kind Failure, ownDataCentre string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	if r == nil {
		return
	}
	if kind.soft() {
		b.own(r.Service).failed(now)
	}
	taken, speaks := b.doubt(r, kind, now)
	switch {
	case !b.large:
		// All others judge it by what they have seen and heard themselves.
		b.tellFailure(r, kind, now)
	case speaks:
		b.tellFailure(r, taken, now)
	}
	if kind == Unreachable && r.DataCentre != ownDataCentre {
		b.centreUnreachable(r.DataCentre, now)
	}
}

const (
	// aliveLook is how far back an answer shows that a replica was there while it
	// left another request unanswered: less than it takes until that is noted.
	aliveLook = 500 * time.Millisecond
	// hungLook is within what time two requests without an answer, and none with one
	// in between, show that a replica hangs. One alone is an answer that was lost.
	hungLook = 2 * time.Second
)

// hangs tells whether a request that was left without an answer shows that the
// replica hangs, and not just that one answer was lost.
func (r *replica) hangs(at time.Time) bool {
	before := r.hung
	r.hung = at
	return !r.answered.After(at.Add(-aliveLook)) && at.Sub(before) < hungLook && !r.answered.After(before)
}

// doubt takes a failure that this router or another one saw at a time, and returns what it is
// taken for, and whether it speaks against the replica.
func (b *Balancer) doubt(r *replica, kind Failure, at time.Time) (taken Failure, speaks bool) {
	if kind == Hung && !b.without.Has(mechanism.Evidence) && !r.hangs(at) {
		kind = Broke
	}
	if kind.soft() && !b.without.Has(mechanism.Evidence) {
		r.bad.failed(at)
		if !b.speaks(r, at) {
			return kind, false
		}
	}
	r.health.failed(kind, at)
	return kind, true
}

// centreUnreachable avoids a data centre once two of its replicas could not be
// reached within a moment.
func (b *Balancer) centreUnreachable(name string, now time.Time) {
	const moment = 2 * time.Second
	unreachable := 0
	for _, r := range b.replicas {
		if r.DataCentre == name && r.health.kind == Unreachable && now.Sub(r.health.last) < moment && r.health.failures > 0 {
			unreachable++
		}
	}
	if unreachable < 2 {
		return
	}
	c := b.centres[name]
	if c == nil {
		c = &health{}
		b.centres[name] = c
	}
	c.failed(Unreachable, now)
}

// SetCentreSilent notes whether the routers of a data centre were heard, and tells
// whether that changed. A cut that keeps routers apart keeps replicas apart too,
// and silence shows sooner than a request that got no answer.
func (b *Balancer) SetCentreSilent(name string, silent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent[name] == silent || b.without.Has(mechanism.Silence) {
		return false
	}
	b.silent[name] = silent
	return true
}

// Suspected tells whether a replica is avoided now, for the state dump.
func (b *Balancer) Suspected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	return r != nil && b.suspect(r, now)
}
