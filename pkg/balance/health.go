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

// isSoft tells whether sound replicas show the failure too, now and then.
func (f Failure) isSoft() bool { return f == Errored || f == Broke }

// baseAvoidance is how long a replica is avoided after one failure of the kind.
func (f Failure) baseAvoidance() time.Duration {
	switch f {
	case Shed:
		return 150 * time.Millisecond
	case Errored, Broke:
		return 700 * time.Millisecond
	}
	return time.Second
}

const (
	// maxAvoidance bounds the doubling for repeated failures.
	maxAvoidance = 6 * time.Second
	// failureResetTime is the quiet time after which earlier failures don't count.
	failureResetTime = 8 * time.Second
	// recoveryStreak is how many good answers in a row clear earlier failures.
	recoveryStreak = 3
	// maxDoublings keeps the shift small.
	maxDoublings = 5
)

// health says whether a replica is to be avoided.
//
//	failure          -> avoided for base, twice as long for each further one
//	time is over     -> tried again
//	good answers     -> trusted again
type health struct {
	failures    int
	streak      int
	avoidUntil  time.Time
	lastFailure time.Time
	kind        Failure
}

// recordFailure notes a failure at a time, which may lie before the last one if another
// router saw it.
func (h *health) recordFailure(kind Failure, now time.Time) {
	if now.Sub(h.lastFailure) > failureResetTime {
		h.failures = 0
	}
	pause := min(kind.baseAvoidance()<<min(h.failures, maxDoublings), maxAvoidance)
	if until := now.Add(pause); until.After(h.avoidUntil) {
		h.avoidUntil = until
	}
	if kind != Shed {
		h.failures++
	}
	if now.Before(h.lastFailure) {
		return
	}
	h.streak = 0
	h.lastFailure = now
	h.kind = kind
}

func (h *health) recordSuccess(now time.Time) {
	h.streak++
	if h.failures > 0 && (h.streak >= recoveryStreak || now.After(h.avoidUntil)) {
		h.failures--
		h.streak = 0
	}
}

// isAvoided tells whether the replica is to get no work.
func (h *health) isAvoided(now time.Time) bool { return now.Before(h.avoidUntil) }

// isSuspect tells whether a replica is to be passed over while others are left.
func (b *Balancer) isSuspect(r *replica, now time.Time) bool {
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
	if b.isSlow(r, now) || r.atResumeLimit(now) {
		bad = badSlow
	}
	if r.health.isAvoided(now) {
		bad = badFailing
		if r.health.kind >= Refused {
			bad = badAbsent
		}
	}
	if b.isCutOff(r.DataCentre, now) {
		bad = max(bad, badUnreachable)
	}
	return bad
}

// isCutOff tells whether a data centre can't be reached, as it seems.
func (b *Balancer) isCutOff(centre string, now time.Time) bool {
	if b.silentCentres[centre] {
		return true
	}
	c := b.centreHealth[centre]
	return c != nil && c.isAvoided(now)
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
	if kind.isSoft() {
		b.serviceOutcomes(r.Service).addFailure(now)
	}
	taken, speaks := b.recordFailure(r, kind, now)
	switch {
	case !b.largeFleet:
		// All others judge it by what they have seen and heard themselves.
		b.queueFailure(r, kind, now)
	case speaks:
		b.queueFailure(r, taken, now)
	}
	if kind == Unreachable && r.DataCentre != ownDataCentre {
		b.checkUnreachableCentre(r.DataCentre, now)
	}
}

const (
	// recentSuccessWindow is how far back an answer shows that a replica was there while it
	// left another request unanswered: less than it takes until that is noted.
	recentSuccessWindow = 500 * time.Millisecond
	// hangWindow is within what time two requests without an answer, and none with one
	// in between, show that a replica hangs. One alone is an answer that was lost.
	hangWindow = 2 * time.Second
)

// confirmsHang tells whether a request that was left without an answer shows that the
// replica confirmsHang, and not just that one answer was lost.
func (r *replica) confirmsHang(at time.Time) bool {
	before := r.lastHung
	r.lastHung = at
	return !r.lastSuccess.After(at.Add(-recentSuccessWindow)) && at.Sub(before) < hangWindow && !r.lastSuccess.After(before)
}

// recordFailure takes a failure that this router or another one saw at a time, and returns what it is
// taken for, and whether it speaks against the replica.
func (b *Balancer) recordFailure(r *replica, kind Failure, at time.Time) (taken Failure, speaks bool) {
	if kind == Hung && !b.disabled.Has(mechanism.Evidence) && !r.confirmsHang(at) {
		kind = Broke
	}
	if kind.isSoft() && !b.disabled.Has(mechanism.Evidence) {
		r.softOutcomes.addFailure(at)
		if !b.isOutlier(r, at) {
			return kind, false
		}
	}
	r.health.recordFailure(kind, at)
	return kind, true
}

// checkUnreachableCentre avoids a data centre once two of its replicas could not be
// reached within a moment.
func (b *Balancer) checkUnreachableCentre(name string, now time.Time) {
	const moment = 2 * time.Second
	unreachable := 0
	for _, r := range b.replicas {
		if r.DataCentre == name && r.health.kind == Unreachable && now.Sub(r.health.lastFailure) < moment && r.health.failures > 0 {
			unreachable++
		}
	}
	if unreachable < 2 {
		return
	}
	c := b.centreHealth[name]
	if c == nil {
		c = &health{}
		b.centreHealth[name] = c
	}
	c.recordFailure(Unreachable, now)
}

// SetCentreSilent notes whether the routers of a data centre were heard, and tells
// whether that changed. A cut that keeps routers apart keeps replicas apart too,
// and silence shows sooner than a request that got no answer.
func (b *Balancer) SetCentreSilent(name string, silent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silentCentres[name] == silent || b.disabled.Has(mechanism.Silence) {
		return false
	}
	b.silentCentres[name] = silent
	return true
}

// Suspected tells whether a replica is avoided now, for the state dump.
func (b *Balancer) Suspected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	return r != nil && b.isSuspect(r, now)
}
