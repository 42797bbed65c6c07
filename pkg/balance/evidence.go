package balance

import (
	"math"
	"time"
)

// outcomeCounts counts how requests ended, the older the less.
type outcomeCounts struct {
	successes, failures float64
	at                  time.Time
}

const (
	// outcomeDecayTime is the time after which an outcome weighs 1/e: enough for an engine to
	// get some requests of all routers, so that a share of them says something.
	outcomeDecayTime = 1500 * time.Millisecond
	// outlierMargin is how much higher a replica's share of failures must be than
	// twice that of the others before it is avoided for them. What is avoided has to
	// be copied or read elsewhere, which costs more than a few repeats.
	outlierMargin = 0.1
	// minOutlierFailures is the least number of failures that say something.
	minOutlierFailures = 1.5
	// maxAvoidedFraction is the part of a large fleet's service that is avoided at most for failures
	// which sound replicas show as well: more than fail by themselves at a time, and so few
	// that the others bear what is passed over.
	maxAvoidedFraction = 0.25
	// calmFailureRate is the share of failures of the others up to which one more failure
	// speaks against a replica that failed a moment ago.
	calmFailureRate = 0.1
)

// decay brings the counts to a time.
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

// serviceOutcomes returns what this router saw of a service.
func (b *Balancer) serviceOutcomes(service string) *outcomeCounts {
	e := b.outcomes[service]
	if e == nil {
		e = &outcomeCounts{}
		b.outcomes[service] = e
	}
	return e
}

// isOutlier tells whether failures of a kind that sound replicas show as well, now
// and then or all at once, speak against one of them: its share of failures must
// stand out against that of the others of its service. Failures are told among
// routers, good answers are not; those of all are estimated from the own ones.
func (b *Balancer) isOutlier(r *replica, now time.Time) bool {
	own := b.serviceOutcomes(r.Service)
	own.decay(now)
	if b.largeFleet {
		// Failures are told of late and in part, so only a service that fails as a
		// whole is taken for sound.
		whole := own.failures >= outlierMargin*2*(own.successes+own.failures) && own.failures >= minOutlierFailures
		return !whole && !b.tooManyAvoided(r.Service, now)
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
	// What a replica gets of all routers' good answers.
	good := own.successes * float64(len(b.peers)+1) / float64(max(len(list), 1))
	share := r.softOutcomes.failures / (r.softOutcomes.failures + good)
	usual := others / math.Max(others+good*float64(len(list)-1), 1)
	if r.health.failures > 0 && now.Sub(r.health.lastFailure) < failureResetTime && usual < calmFailureRate {
		return true
	}
	return r.softOutcomes.failures >= minOutlierFailures && share > 2*usual+outlierMargin
}

// tooManyAvoided tells whether so many replicas of a service are avoided for failures that sound ones
// show as well, that one more speaks against none: what is passed over has to be carried by the
// others, by counts that are old in a large fleet.
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
