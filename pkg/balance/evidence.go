package balance

import (
	"math"
	"time"
)

// evidence counts how requests ended, the older the less.
type evidence struct {
	good, bad float64
	at        time.Time
}

const (
	// evidenceLife is the time after which an outcome weighs 1/e: enough for an engine to
	// get some requests of all routers, so that a share of them says something.
	evidenceLife = 1500 * time.Millisecond
	// standsOut is how much higher a replica's share of failures must be than
	// twice that of the others before it is avoided for them. What is avoided has to
	// be copied or read elsewhere, which costs more than a few repeats.
	standsOut = 0.1
	// standsOutLeast is the least number of failures that say something.
	standsOutLeast = 1.5
	// crowdPart is the part of a large fleet's service that is avoided at most for failures
	// which sound replicas show as well: more than fail by themselves at a time, and so few
	// that the others bear what is passed over.
	crowdPart = 0.25
	// calm is the share of failures of the others up to which one more failure
	// speaks against a replica that failed a moment ago.
	calm = 0.1
)

// decay brings the counts to a time.
func (e *evidence) decay(now time.Time) {
	if past := now.Sub(e.at); past > 0 {
		left := math.Exp(-past.Seconds() / evidenceLife.Seconds())
		e.good *= left
		e.bad *= left
		e.at = now
	}
}

func (e *evidence) succeeded(now time.Time) {
	e.decay(now)
	e.good++
}

func (e *evidence) failed(now time.Time) {
	e.decay(now)
	e.bad++
}

// own returns what this router saw of a service.
func (b *Balancer) own(service string) *evidence {
	e := b.outcomes[service]
	if e == nil {
		e = &evidence{}
		b.outcomes[service] = e
	}
	return e
}

// speaks tells whether failures of a kind that sound replicas show as well, now
// and then or all at once, speak against one of them: its share of failures must
// stand out against that of the others of its service. Failures are told among
// routers, good answers are not; those of all are estimated from the own ones.
func (b *Balancer) speaks(r *replica, now time.Time) bool {
	own := b.own(r.Service)
	own.decay(now)
	if b.large {
		// Failures are told of late and in part, so only a service that fails as a
		// whole is taken for sound.
		whole := own.bad >= standsOut*2*(own.good+own.bad) && own.bad >= standsOutLeast
		return !whole && !b.crowded(r.Service, now)
	}
	list := b.services[r.Service]
	others := 0.0
	for _, other := range list {
		if other != r {
			other.bad.decay(now)
			others += other.bad.bad
		}
	}
	r.bad.decay(now)
	// What a replica gets of all routers' good answers.
	good := own.good * float64(len(b.peers)+1) / float64(max(len(list), 1))
	share := r.bad.bad / (r.bad.bad + good)
	usual := others / math.Max(others+good*float64(len(list)-1), 1)
	if r.health.failures > 0 && now.Sub(r.health.last) < forgetAfter && usual < calm {
		return true
	}
	return r.bad.bad >= standsOutLeast && share > 2*usual+standsOut
}

// crowded tells whether so many replicas of a service are avoided for failures that sound ones
// show as well, that one more speaks against none: what is passed over has to be carried by the
// others, by counts that are old in a large fleet.
func (b *Balancer) crowded(service string, now time.Time) bool {
	list := b.services[service]
	avoided := 0
	for _, r := range list {
		if r.health.kind.soft() && r.health.avoided(now) {
			avoided++
		}
	}
	return float64(avoided) >= crowdPart*float64(len(list))
}
