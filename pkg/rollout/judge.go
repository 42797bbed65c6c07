package rollout

import (
	"fmt"
	"math"
)

// Verdict is what the evidence says about a version.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Bad
)

const (
	// confidence is the half width of the confidence intervals of failure rates, in
	// standard deviations. The intervals are looked at after every answer, so they are
	// wider than for a single test.
	confidence = 3
	// failureMargin is by how much the new version's failure rate must exceed the old
	// one's beyond the intervals.
	failureMargin = 0.05
	// minFailures is the least number of failures that counts.
	minFailures = 3
	// slowBuckets is by how many buckets the medians of a slow version differ: a factor
	// of 2.8, which cold caches alone do not reach.
	slowBuckets = 3
	// minTimed is the least number of durations in each arm for that comparison.
	minTimed = 8
	// minAnswers is the least number of answers of a good version, minRouteAnswers the
	// same on each route that is in use, and routeInUse when a route counts as such.
	minAnswers      = 20
	minRouteAnswers = 3
	routeInUse      = 100
)

// judge compares the two versions. A version is bad if it is on any route, or over all of
// them, and good if there is enough evidence to the contrary.
func judge(e Evidence) (Verdict, string) {
	total := e.total()
	if reason := faultOf(total); reason != "" {
		return Bad, reason
	}
	enough := total.New.Answered >= minAnswers
	for _, arms := range e {
		if reason := faultOf(arms); reason != "" {
			return Bad, "on one route: " + reason
		}
		enough = enough && (arms.Old.Answered < routeInUse || arms.New.Answered >= minRouteAnswers)
	}
	if !enough {
		return Undecided, fmt.Sprintf("%d answers are too few", total.New.Answered)
	}
	return Good, fmt.Sprintf("%d of %d answers failed, before %d of %d", total.New.Failed, total.New.Answered, total.Old.Failed, total.Old.Answered)
}

// faultOf says what is wrong with the new version, or returns "".
func faultOf(a Arms) string {
	switch {
	case failsMore(&a):
		return fmt.Sprintf("%d of %d answers failed, before %d of %d", a.New.Failed, a.New.Answered, a.Old.Failed, a.Old.Answered)
	case isSlower(&a):
		return fmt.Sprintf("median of %d answers is %.1f times that of before", a.New.timed(),
			math.Pow(2, float64(a.New.medianBucket()-a.Old.medianBucket())/bucketsPerOctave))
	}
	return ""
}

func failsMore(a *Arms) bool {
	if a.New.Failed < minFailures || !a.New.failsOnMost() {
		return false
	}
	least, _ := rateInterval(a.New.Failed, a.New.Answered)
	_, most := rateInterval(a.Old.Failed, a.Old.Answered)
	if a.Old.Answered == 0 {
		most = 0
	}
	return least > most+failureMargin
}

func isSlower(a *Arms) bool {
	return a.New.timed() >= minTimed && a.Old.timed() >= minTimed && a.New.medianBucket()-a.Old.medianBucket() >= slowBuckets
}

// rateInterval returns Wilson's confidence interval of a rate.
func rateInterval(failed, all uint32) (low, high float64) {
	if all == 0 {
		return 0, 1
	}
	const z = confidence
	n := float64(all)
	p := float64(failed) / n
	centre := p + z*z/(2*n)
	half := z * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	scale := 1 + z*z/n
	return (centre - half) / scale, (centre + half) / scale
}
