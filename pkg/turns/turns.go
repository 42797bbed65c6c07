// Package turns decides when a router reads a source that each router of a fleet could
// read for all others.
//
//	the source answers    the first by rank reads, the next two step in for it, the
//	                      others one after another, some while later
//	it answers nobody     each tries once for itself, and then in turns of its own, so
//	                      that together they ask at one rate, however many they are;
//	                      who finds it back tells the others
//	no router is heard    as if it were alone
//
// A source that is down comes back into the questions of all who miss it: if each asked for
// itself, and its requests besides, a large fleet would keep it down.
//
// The package does no I/O; time comes from the caller and is steady.
package turns

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// triesAPeriod is how often the fleet tries a source that answers nobody, so that it is
	// found back sooner than the next round of gossip tells of it.
	triesAPeriod = 8
	// aloneTries is the same of a router that hears no other.
	aloneTries = 4
)

// readAfter are the parts of the period after which a router reads, by its rank: the
// first reads for all while it can, the next two step in for it. To the others a proof
// may come over two more routers, some rounds of telling later.
var readAfter = [...]float64{0.85, 1.15, 1.3, 1.8}

// aloneAfter is for how long no other router must have answered for one to count as
// alone: three rounds of a large fleet.
const aloneAfter = 2 * time.Second

// untoldAfter is for how many periods no other router must have told of a failure for
// their turns not to be counted on: routers of a build that knows no turns tell of none.
// Where all do, each hears of one within a round or two, and there are eight a period.
const untoldAfter = 2

// Place is a router's among those that it knows.
type Place struct {
	// Rank is how many others read before it, Routers how many there are with it.
	Rank, Routers int
}

// Scheduler are those of one router. It is safe for concurrent use.
type Scheduler struct {
	mu sync.Mutex
	// period is the pause between two reads of the fleet.
	period time.Duration
	random *rand.Rand
	// failed is when an own read last failed, told when one of another router did, by
	// its word; answered when a read was sent of which the answer is known.
	failed, told, answered time.Time
	// heard is when another router was asked that answered.
	heard time.Time
	// first is the part of a turn after which the first one comes since the source was
	// lost: all lose it at the same moment. tries counts the failures since.
	first float64
	tries int
	// since is when the source was lost.
	since time.Time
}

// New returns the turns of a router. Seeds differ between routers.
func New(seed uint64) *Scheduler {
	return &Scheduler{random: rand.New(rand.NewPCG(seed, 0))}
}

// SetPeriod changes the pause between two reads of the fleet.
func (t *Scheduler) SetPeriod(period time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.period = period
}

// ReadAfter returns how old what is known may get before a router reads.
func (t *Scheduler) ReadAfter(p Place, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := len(readAfter) - 1
	parts := readAfter[min(p.Rank, last)]
	if p.Rank > last && !t.alone(now) {
		parts += float64(p.Rank-last) / triesAPeriod
	}
	return time.Duration(float64(t.period) * parts)
}

// alone tells whether no other router is heard. t.mu is held.
func (t *Scheduler) alone(now time.Time) bool { return now.Sub(t.heard) > aloneAfter }

// shared tells whether others try in turns too. t.mu is held.
func (t *Scheduler) shared(now time.Time) bool {
	untold := now.Sub(later(t.since, t.told)) > untoldAfter*t.period
	return !t.alone(now) && !untold
}

// ObservePeer notes that another router answered that was asked at a time.
func (t *Scheduler) ObservePeer(asked time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = later(t.heard, asked)
}

// ObserveSuccess notes that a read which was sent at a time had an answer, here or elsewhere.
func (t *Scheduler) ObserveSuccess(sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answered = later(t.answered, sent)
}

// ObserveFailure notes that an own read failed.
func (t *Scheduler) ObserveFailure(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost() {
		t.first, t.tries, t.since = t.random.Float64(), 0, now
	}
	t.failed = now
	t.tries++
}

// ObservePeerFailure takes another router's word that a read failed at a time.
func (t *Scheduler) ObservePeerFailure(failed time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.told = later(t.told, failed)
}

// LastFailure returns when a read failed last, here or elsewhere, that is newer than any
// read with an answer; zero if there is none.
func (t *Scheduler) LastFailure() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	last := later(t.failed, t.told)
	if !last.After(t.answered) {
		return time.Time{}
	}
	return last
}

// Wait returns how long a router is to wait until it may read, 0 if it may now. Each tries
// once for itself before it believes that the source answers nobody, and then in turns.
func (t *Scheduler) Wait(p Place, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.lost() {
		return 0
	}
	turn := t.period / aloneTries
	if t.shared(now) {
		turn = max(turn, t.period*time.Duration(p.Routers)/triesAPeriod)
		if t.tries == 1 {
			turn = time.Duration(float64(turn) * t.first)
		}
	}
	return max(t.failed.Add(turn).Sub(now), 0)
}

// SourceLost tells whether this router's last read failed, and none was answered since, here
// or elsewhere.
func (t *Scheduler) SourceLost() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost()
}

func (t *Scheduler) lost() bool { return t.failed.After(t.answered) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
