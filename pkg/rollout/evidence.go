package rollout

import (
	"math"
	"math/bits"
	"time"
)

// buckets is the number of buckets of a histogram of durations. Bucket i starts at
// 2^(i/2) ms, so that the last one starts at about 4 s.
const (
	buckets          = 25
	bucketsPerOctave = 2
)

// Arm counts how requests of one route ended at one of the two versions. All counts only
// grow, so that the larger one of two reports about the same requests is the newer one.
type Arm struct {
	// Answered counts the answers, Failed those that were errors of the replica.
	Answered, Failed uint32
	// Durations is a histogram of how long answers took.
	Durations [buckets]uint32
	// UsedOn and FailedOn are the replicas that answered and that failed, one bit of their
	// hashes each.
	UsedOn, FailedOn uint32
}

func bucketOf(d time.Duration) int {
	milliseconds := float64(d) / float64(time.Millisecond)
	if milliseconds < 1 {
		return 0
	}
	return min(int(bucketsPerOctave*math.Log2(milliseconds)), buckets-1)
}

// Outcome is how a request ended at a replica.
type Outcome struct {
	Failed bool
	// Duration is how long the answer took, or one event of a stream; 0 if unknown.
	Duration time.Duration
}

func (a *Arm) add(replica uint32, o Outcome) {
	bit := uint32(1) << (replica % 32)
	a.Answered++
	a.UsedOn |= bit
	if o.Failed {
		a.Failed++
		a.FailedOn |= bit
		return
	}
	if o.Duration > 0 {
		a.Durations[bucketOf(o.Duration)]++
	}
}

// plus returns the sum of two arms that count different requests.
func (a Arm) plus(b Arm) Arm {
	a.Answered += b.Answered
	a.Failed += b.Failed
	for i := range a.Durations {
		a.Durations[i] += b.Durations[i]
	}
	a.UsedOn |= b.UsedOn
	a.FailedOn |= b.FailedOn
	return a
}

// newest returns the union of two reports about the same requests.
func (a Arm) newest(b Arm) Arm {
	a.Answered = max(a.Answered, b.Answered)
	a.Failed = max(a.Failed, b.Failed)
	for i := range a.Durations {
		a.Durations[i] = max(a.Durations[i], b.Durations[i])
	}
	a.UsedOn |= b.UsedOn
	a.FailedOn |= b.FailedOn
	return a
}

// timed returns how many durations the arm holds.
func (a *Arm) timed() uint32 {
	total := uint32(0)
	for _, n := range a.Durations {
		total += n
	}
	return total
}

// medianBucket returns the bucket of the median duration.
func (a *Arm) medianBucket() int {
	half := (a.timed() + 1) / 2
	for i, n := range a.Durations {
		if n >= half {
			return i
		}
		half -= n
	}
	return buckets - 1
}

// failsOnMost reports whether most of the replicas that answered also failed. A faulty
// version fails wherever it runs; a single faulty replica does not.
func (a *Arm) failsOnMost() bool {
	return 2*bits.OnesCount32(a.FailedOn) > bits.OnesCount32(a.UsedOn)
}

// Arms are the two sides of a comparison.
type Arms struct{ Old, New Arm }

func (a Arms) plus(b Arms) Arms   { return Arms{a.Old.plus(b.Old), a.New.plus(b.New)} }
func (a Arms) newest(b Arms) Arms { return Arms{a.Old.newest(b.Old), a.New.newest(b.New)} }

// maxRoutes bounds the routes that are compared separately. Requests of further routes are
// counted as those of one.
const maxRoutes = 16

// Evidence holds the arms of each route, by the hash of its name.
type Evidence map[uint32]Arms

// otherRoutes is the key for the routes beyond maxRoutes.
const otherRoutes = 0

func (e Evidence) key(route uint32) uint32 {
	if _, known := e[route]; !known && len(e) >= maxRoutes {
		return otherRoutes
	}
	return route
}

func (e Evidence) add(other Evidence) {
	for route, arms := range other {
		key := e.key(route)
		e[key] = e[key].plus(arms)
	}
}

func (e Evidence) merge(other Evidence) {
	for route, arms := range other {
		key := e.key(route)
		e[key] = e[key].newest(arms)
	}
}

// total returns the sum over all routes.
func (e Evidence) total() Arms {
	var sum Arms
	for _, arms := range e {
		sum = sum.plus(arms)
	}
	return sum
}
