// Package turns schedules the reads of a source that each router of a fleet can read for
// all others.
//
//	the source answers     the first router by rank reads, the next two stand in for it, the
//	                       others follow one after another, some time later
//	it answers nobody      each router tries once for itself, and then at intervals, so that
//	                       the fleet's rate of attempts does not depend on its size; the one
//	                       that succeeds tells the others
//	no router is heard     each acts as if it were alone
//	all lack a long list   seeds read it at once, the others by rank if none has passed it on
//
// A source that was down returns under the load of all routers that need it: if each read
// for itself, and for its requests besides, a large fleet would keep it down.
//
// The package does no I/O; time comes from the caller and is steady.
package turns

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// triesPerPeriod is how often the fleet tries a source that answers nobody, so that
	// its return is found sooner than the next round of gossip reports it.
	triesPerPeriod = 8
	// aloneTriesPerPeriod is the same for a router that hears no other.
	aloneTriesPerPeriod = 4
)

// readAfter holds the fractions of the period after which a router reads, by its rank:
// the first reads for all while it can, the next two stand in for it. The others may
// receive a proof over two more routers, some rounds of gossip later.
var readAfter = [...]float64{0.85, 1.15, 1.3, 1.8}

// aloneTimeout is how long no other router must have answered for a router to count as
// alone: three rounds of a large fleet.
const aloneTimeout = 2 * time.Second

// silentPeriods is after how many periods without a reported failure a router no longer
// relies on the others' turns: builds that do not take turns report no failures. Where
// all do, each router hears of one within a round or two, and there are eight per period.
const silentPeriods = 2

// Place is a router's position among those that it knows.
type Place struct {
	// Rank is the number of routers that read before this one, Routers the number of all,
	// this one included.
	Rank, Routers int
}

// Scheduler schedules the reads of one router. It is safe for concurrent use.
type Scheduler struct {
	mu sync.Mutex
	// period is the time between two reads of the fleet.
	period time.Duration
	random *rand.Rand
	// failed is when an own read last failed, peerFailed when one of another router did,
	// as it reports; succeeded is when the last read that is known to be answered was
	// sent.
	failed, peerFailed, succeeded time.Time
	// peerHeard is when the last query was sent that another router answered with a proof,
	// peerAnswered the same with or without one.
	peerHeard, peerAnswered time.Time
	// firstTurn is the random fraction of a turn before the first one after the source
	// was lost, since all routers lose it at the same moment. tries counts the failures
	// since.
	firstTurn float64
	tries     int
	// lostAt is when the source was lost.
	lostAt time.Time
}

// New returns the scheduler of a router. Seeds must differ between routers.
func New(seed uint64) *Scheduler {
	return &Scheduler{random: rand.New(rand.NewPCG(seed, 0))}
}

// SetPeriod sets the time between two reads of the fleet.
func (t *Scheduler) SetPeriod(period time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.period = period
}

// ReadAfter returns the age of a router's knowledge at which it reads.
func (t *Scheduler) ReadAfter(p Place, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(readAfter) - 1
	parts := readAfter[min(p.Rank, last)]
	if p.Rank > last && !t.alone(now) {
		parts += float64(p.Rank-last) / triesPerPeriod
	}
	return time.Duration(float64(t.period) * parts)
}

const (
	// firstTurn is after how many periods the first router reads a long list that all routers
	// lack, and turnsPerPeriod how many follow in each period: a read takes about one, and
	// more readers would share the source's link.
	firstTurn      = 1.0
	turnsPerPeriod = 1.5
)

// FirstRead returns how long a router that has lacked the list since a time waits before it
// reads a long one: others that have it, or read it already, pass it on. A router that no
// other has answered waits until it counts as alone.
func (t *Scheduler) FirstRead(p Place, since, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	turn := since.Add(time.Duration(float64(t.period) * (firstTurn + float64(p.Rank)/turnsPerPeriod)))
	alone := later(t.peerAnswered, since).Add(aloneTimeout)
	if alone.Before(turn) {
		turn = alone
	}
	return max(turn.Sub(now), 0)
}

// ObservePeerAnswer records that another router answered a query sent at the time asked,
// whatever it knows.
func (t *Scheduler) ObservePeerAnswer(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerAnswered = later(t.peerAnswered, asked)
}

// alone reports whether no other router is heard. t.mu is held.
func (t *Scheduler) alone(now time.Time) bool { return now.Sub(t.peerHeard) > aloneTimeout }

// peersTakeTurns reports whether other routers take turns too. t.mu is held.
func (t *Scheduler) peersTakeTurns(now time.Time) bool {
	untold := now.Sub(later(t.lostAt, t.peerFailed)) > silentPeriods*t.period
	return !t.alone(now) && !untold
}

// ObservePeer records that another router answered a query sent at the time asked.
func (t *Scheduler) ObservePeer(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerHeard = later(t.peerHeard, asked)
}

// ObserveSuccess records that a read sent at a time was answered, here or elsewhere.
func (t *Scheduler) ObserveSuccess(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.succeeded = later(t.succeeded, sent)
}

// ObserveFailure records that an own read failed.
func (t *Scheduler) ObserveFailure(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost() {
		t.firstTurn, t.tries, t.lostAt = t.random.Float64(), 0, now
	}
	t.failed = now
	t.tries++
}

// ObservePeerFailure records another router's report that a read failed at a time.
func (t *Scheduler) ObservePeerFailure(failed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerFailed = later(t.peerFailed, failed)
}

// LastFailure returns the time of the last failed read, here or elsewhere, if it is later
// than any answered read, and the zero time otherwise.
func (t *Scheduler) LastFailure() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := later(t.failed, t.peerFailed)
	if !last.After(t.succeeded) {
		return time.Time{}
	}
	return last
}

// Wait returns how long a router must wait before it may read, 0 if it may now. Each
// tries once for itself before it assumes that the source answers nobody, and then in
// turns.
func (t *Scheduler) Wait(p Place, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost() {
		return 0
	}
	turn := t.period / aloneTriesPerPeriod
	if t.peersTakeTurns(now) {
		turn = max(turn, t.period*time.Duration(p.Routers)/triesPerPeriod)
		if t.tries == 1 {
			turn = time.Duration(float64(turn) * t.firstTurn)
		}
	}
	return max(t.failed.Add(turn).Sub(now), 0)
}

// SourceLost reports whether this router's last read failed, and none was answered since,
// here or elsewhere.
func (t *Scheduler) SourceLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost()
}

func (t *Scheduler) lost() bool { return t.failed.After(t.succeeded) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
