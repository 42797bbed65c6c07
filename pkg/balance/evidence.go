package balance

import (
	"math"
	"time"
)

// outcomeCounts counts how requests ended, with exponential decay.
type outcomeCounts struct {
	successes, failures float64
	at                  time.Time
}

const (
	// outcomeDecayTime is the time after which an outcome weighs 1/e: long enough for an
	// engine to get some requests from all routers, so that its failure share is
	// meaningful.
	outcomeDecayTime = 1500 * time.Millisecond
	// outlierMargin is how far a replica's failure share must exceed twice that of the
	// others before it is avoided. Parts of an avoided engine have to be copied or read
	// elsewhere, which costs more than a few retries.
	outlierMargin = 0.1
	// minOutlierFailures is the least number of failures that is significant.
	minOutlierFailures = 1.5
	// maxAvoidedFraction is the largest part of a large fleet's service that is avoided
	// for failures which healthy replicas show too: more than fail independently at a
	// time, and few enough for the others to carry their load.
	maxAvoidedFraction = 0.25
	// calmFailureRate is the failure share of the other replicas up to which one more
	// failure counts against a replica that failed recently.
	calmFailureRate = 0.1
)

// decay ages the counts up to now.
func (e *outcomeCounts) decay(now time.Time) {
	if past := now.Sub(e.at); past > 0 {
		left := math.Exp(-past.Seconds() / outcomeDecayTime.Seconds())
		e.successes *= left
		e.failures *= left
		e.at = now
	}
}

func (e *outcomeCounts) addSuccess(now time.Time) {
	e.decay(now)
	e.successes++
}

func (e *outcomeCounts) addFailure(now time.Time) {
	e.decay(now)
	e.failures++
}

// serviceOutcomes returns the outcomes that this router saw at a service.
func (b *Balancer) serviceOutcomes(service string) *outcomeCounts {
	e := b.outcomes[service]
	if e == nil {
		e = &outcomeCounts{}
		b.outcomes[service] = e
	}
	return e
}

// isOutlier reports whether failures of a kind that healthy replicas also show,
// occasionally or all at once, count against a replica: its failure share must stand out
// from that of the other replicas of its service. Routers share failures but not
// successes, so the successes of all routers are estimated from this router's own.
func (b *Balancer) isOutlier(r *replica, now time.Time) bool {
	own := b.serviceOutcomes(r.Service)
	own.decay(now)
	if b.largeFleet {
		// Failures arrive late and incompletely, so replicas count as healthy only if the
		// service fails as a whole.
		serviceFails := own.failures >= outlierMargin*2*(own.successes+own.failures) && own.failures >= minOutlierFailures
		return !serviceFails && !b.tooManyAvoided(r.Service, now)
	}
	list := b.services[r.Service]
	others := 0.0
	for _, other := range list {
		if other != r {
			other.softOutcomes.decay(now)
			others += other.softOutcomes.failures
		}
	}
	r.softOutcomes.decay(now)
	// A replica's share of the successes of all routers.
	successes := own.successes * float64(len(b.peers)+1) / float64(max(len(list), 1))
	share := r.softOutcomes.failures / (r.softOutcomes.failures + successes)
	othersShare := others / math.Max(others+successes*float64(len(list)-1), 1)
	if r.health.failures > 0 && now.Sub(r.health.lastFailure) < failureResetTime && othersShare < calmFailureRate {
		return true
	}
	return r.softOutcomes.failures >= minOutlierFailures && share > 2*othersShare+outlierMargin
}

// tooManyAvoided reports whether so many replicas of a service are avoided for failures
// that healthy ones show too that no further one may be avoided. The others have to carry
// the load of avoided replicas, and in a large fleet the counts of that load are old.
func (b *Balancer) tooManyAvoided(service string, now time.Time) bool {
	list := b.services[service]
	avoided := 0
	for _, r := range list {
		if r.health.kind.isSoft() && r.health.isAvoided(now) {
			avoided++
		}
	}
	return float64(avoided) >= maxAvoidedFraction*float64(len(list))
}
