package balance

import (
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Failure is a way in which a request to a replica fails.
type Failure uint8

// The failures, ordered by how strongly they count against the replica.
const (
	// Shed: the replica did not take the request because it is full or leaving.
	Shed Failure = iota
	// Errored: the replica answered with an error of its own.
	Errored
	// Broke: the connection ended before the answer was complete.
	Broke
	// Hung: no answer within a time in which other replicas answer.
	Hung
	// Refused: nothing, or another replica, listens at the address.
	Refused
	// Unreachable: opening a connection took too long.
	Unreachable
	// Restart: the replica restarted under its id. It is not a failure of the restarted
	// replica.
	Restart
)

// String implements fmt.Stringer.
func (f Failure) String() string {
	return [...]string{"shed", "errored", "broke", "hung", "refused", "unreachable", "restart"}[f]
}

// isSoft reports whether healthy replicas occasionally show the failure too.
func (f Failure) isSoft() bool { return f == Errored || f == Broke }

// isOfPath reports whether the failure may be that of the path between one router and the
// replica.
func (f Failure) isOfPath() bool { return f == Refused || f == Unreachable }

// isOfConnection reports whether the failure was seen on a connection to the replica, and
// not stated by the replica.
func (f Failure) isOfConnection() bool { return f == Broke || f == Hung || f.isOfPath() }

// baseAvoidance is how long a replica is avoided after one failure of the kind.
func (f Failure) baseAvoidance() time.Duration {
	switch f {
	case Shed:
		// About as long as a call of a plain service: one that avoids a replica for longer leaves
		// it without work.
		return 50 * time.Millisecond
	case Errored, Broke:
		return 700 * time.Millisecond
	}
	return time.Second
}

const (
	// maxAvoidance limits the doubling for repeated failures.
	maxAvoidance = 6 * time.Second
	// failureResetTime is the time without failures after which earlier ones no longer
	// count.
	failureResetTime = 8 * time.Second
	// recoveryStreak is how many consecutive successes clear an earlier failure.
	recoveryStreak = 3
	// maxDoublings limits the shift, maxShedDoublings that for a replica that takes none of several
	// requests in a row.
	maxDoublings     = 5
	maxShedDoublings = 3
)

// health decides whether a replica is avoided.
//
//	failure          -> avoided for baseAvoidance, twice as long for each further one; being full
//	                    counts only until a request is taken
//	time is over     -> tried again
//	successes        -> trusted again
type health struct {
	failures, sheds int
	streak          int
	avoidUntil      time.Time
	lastFailure     time.Time
	kind            Failure
}

// recordFailure records a failure. Its time may lie before that of the last one if
// another router saw it.
func (h *health) recordFailure(kind Failure, now time.Time) {
	if now.Sub(h.lastFailure) > failureResetTime {
		h.failures = 0
	}
	doublings := min(h.failures, maxDoublings)
	if kind == Shed {
		doublings = max(doublings, min(h.sheds, maxShedDoublings))
		h.sheds++
	}
	pause := min(kind.baseAvoidance()<<doublings, maxAvoidance)
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
	h.sheds = 0
	if h.failures > 0 && (h.streak >= recoveryStreak || now.After(h.avoidUntil)) {
		h.failures--
		h.streak = 0
	}
}

// isAvoided reports whether the replica must get no work.
func (h *health) isAvoided(now time.Time) bool { return now.Before(h.avoidUntil) }

// isSuspect reports whether a replica is passed over while others are left.
func (b *Balancer) isSuspect(r *replica, now time.Time) bool {
	return b.badness(r, now) > 0
}

// Degrees of badness. An engine that can't be reached can't be copied from.
const (
	badSlow = iota + 1
	badReported
	badFailing
	badUnreachable
	badAbsent
)

// badness orders replicas that should be avoided; 0 means healthy.
func (b *Balancer) badness(r *replica, now time.Time) int {
	degree := 0
	if b.isSlow(r, now) || r.atResumeLimit(now) {
		degree = badSlow
	}
	if r.reported.isAvoided(now) {
		degree = badReported
	}
	if r.health.isAvoided(now) {
		degree = badFailing
		if r.health.kind >= Refused {
			degree = badAbsent
		}
	}
	if r.isCutOff(now) {
		degree = max(degree, badUnreachable)
	}
	return degree
}

// isCutOff reports whether a replica's data centre appears to be unreachable.
func (r *replica) isCutOff(now time.Time) bool {
	return r.centre.silent || r.centre.health.isAvoided(now)
}

// RequestFailed records a failure at a replica. A replica in another data centre that
// can't be reached also counts against that data centre, since a network partition
// affects all of its replicas.
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
	if kind.isOfPath() {
		b.recordPathFailure(r, now)
	}
	if kind == Shed {
		b.recordRejection(r, now)
	}
	taken, speaks := b.recordFailure(r, kind, now)
	switch {
	case !b.largeFleet:
		// Each other router judges the failure by what it has seen and heard itself.
		b.queueFailure(r, kind, now)
	case speaks:
		b.queueFailure(r, taken, now)
	}
	if kind == Unreachable && r.DataCentre != ownDataCentre {
		b.checkUnreachableCentre(r.DataCentre, now)
	}
}

const (
	// recentSuccessWindow is how far back a success shows that a replica was alive while
	// it left another request unanswered: less than the time until the missing answer is
	// noticed.
	recentSuccessWindow = 500 * time.Millisecond
	// hangWindow is the time within which two unanswered requests, with no success in
	// between, show that a replica hangs. A single one may be a lost answer.
	hangWindow = 2 * time.Second
)

// confirmsHang records an unanswered request and reports whether it shows that the
// replica hangs, and not just that one answer was lost.
func (r *replica) confirmsHang(at time.Time) bool {
	before := r.lastHung
	r.lastHung = at
	return !r.lastSuccess.After(at.Add(-recentSuccessWindow)) && at.Sub(before) < hangWindow && !r.lastSuccess.After(before)
}

// recordFailure records a failure that this router or another one saw at a time. It
// returns the kind that the failure is taken for, and whether it counts against the
// replica.
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

// checkUnreachableCentre avoids a data centre once two of its replicas were unreachable
// within a short time.
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
	b.centre(name).health.recordFailure(Unreachable, now)
}

// SetCentreSilent sets whether the routers of a data centre have fallen silent and
// reports whether that changed. A network partition that separates routers separates
// replicas too, and silence shows sooner than an unanswered request.
func (b *Balancer) SetCentreSilent(name string, silent bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.centre(name)
	if c.silent == silent || b.disabled.Has(mechanism.Silence) {
		return false
	}
	c.silent = silent
	return true
}

// Suspected reports whether a replica is avoided now, for the state dump.
func (b *Balancer) Suspected(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.replicas[id]
	return r != nil && b.isSuspect(r, now)
}
