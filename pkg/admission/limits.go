package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Limits holds the part that this router may admit of each organisation's
// surge limit. It is not safe for concurrent use.
//
// An organisation's limit is one token bucket for the fleet. Each router has a
// part of it, by the part of the organisation's demand that it sees; so callers
// that all come through one router get the whole limit there. The alternative,
// a bucket in the platform's service, would cost a write for each request.
type Limits struct {
	buckets map[string]*bucket
}

type bucket struct {
	limiter *rate.Limiter
	demand  Meter
	// rate is the organisation's limit for the whole fleet.
	rate float64
	// part is the fraction of the organisation's limit that is this router's.
	part float64
}

// NewLimits returns limits without any organisation.
func NewLimits() *Limits {
	return &Limits{buckets: make(map[string]*bucket)}
}

// Limit is an organisation's surge limit for the whole fleet.
type Limit struct {
	// Rate is in work tokens a second, Burst in work tokens.
	Rate  float64
	Burst float64
}

// Admit draws work from the organisation's part. It returns nil or a refusal
// that tells when the bucket will hold enough. evenPart is this router's part
// while nothing is known of the others' demand: 1 / number of routers.
func (l *Limits) Admit(now time.Time, organisation string, limit Limit, work, evenPart float64) *Refusal {
	b := l.buckets[organisation]
	if b == nil {
		b = &bucket{limiter: rate.NewLimiter(0, 0), part: evenPart}
		l.buckets[organisation] = b
		b.limit(now, limit)
		// A fresh bucket is full; setting the burst of an empty one fills nothing.
		b.limiter = rate.NewLimiter(b.limiter.Limit(), b.limiter.Burst())
	}
	b.demand.Add(now, work)
	b.limit(now, limit)
	// A request larger than the bucket would never pass: it takes all of it.
	n := min(int(math.Ceil(work)), b.limiter.Burst())
	if b.limiter.AllowN(now, n) {
		return nil
	}
	return Refuse(SurgeLimit, b.wait(now, n), "the organisation's surge limit is used up")
}

func (b *bucket) limit(now time.Time, limit Limit) {
	b.rate = limit.Rate
	perSecond := rate.Limit(limit.Rate * b.part)
	if b.limiter.Limit() != perSecond {
		b.limiter.SetLimitAt(now, perSecond)
	}
	burst := max(int(limit.Burst*b.part), 1)
	if b.limiter.Burst() != burst {
		b.limiter.SetBurstAt(now, burst)
	}
}

func (b *bucket) wait(now time.Time, n int) time.Duration {
	missing := float64(n) - b.limiter.TokensAt(now)
	seconds := missing / float64(b.limiter.Limit())
	return time.Duration(seconds * float64(time.Second))
}

// Demand returns what the organisation asks of this router, in work tokens a
// second, admitted or not.
func (l *Limits) Demand(now time.Time, organisation string) float64 {
	b := l.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.demand.Rate(now)
}

// VisitNearLimit calls visit for each organisation whose demand here would, if all
// routers saw as much, come near its limit. Only these need to be told to other
// routers: for the rest the split does not bind.
func (l *Limits) VisitNearLimit(now time.Time, routers int, visit func(organisation string, demand float64)) {
	const near = 0.5
	for organisation, b := range l.buckets {
		demand := b.demand.Rate(now)
		if demand*float64(routers) >= near*b.rate {
			visit(organisation, demand)
		}
	}
}

// VisitDemands calls visit for each organisation seen lately and forgets the others.
func (l *Limits) VisitDemands(now time.Time, visit func(organisation string, demand float64)) {
	const forgotten = 0.01
	for organisation, b := range l.buckets {
		demand := b.demand.Rate(now)
		if demand < forgotten {
			delete(l.buckets, organisation)
			continue
		}
		visit(organisation, demand)
	}
}

// SetFraction gives this router its part of the organisation's limit from the
// demand of the others, in work tokens a second, as the digests tell it. routers is the
// number of routers; without digests pass others < 0 for an even split.
func (l *Limits) SetFraction(now time.Time, organisation string, others float64, routers int) {
	b := l.buckets[organisation]
	if b == nil {
		return
	}
	b.part = LimitFraction(b.demand.Rate(now), others, routers)
}

// LimitFraction is the fraction of a limit for a router that sees demand own while the
// others see others. A tenth is split evenly, so that a router whose demand is
// new admits something at once.
func LimitFraction(own, others float64, routers int) float64 {
	const evenly = 0.1
	even := 1 / float64(max(routers, 1))
	total := own + others
	if others < 0 || total <= 0 {
		return even
	}
	return (1-evenly)*own/total + evenly*even
}

// Meter is an exponentially decaying rate. The zero value is ready.
type Meter struct {
	rate float64
	last time.Time
}

// meterTime is the time over which a Meter forgets.
const meterTime = 5 * time.Second

// Add counts an amount at now.
func (m *Meter) Add(now time.Time, amount float64) {
	m.rate = m.Rate(now) + amount/meterTime.Seconds()
	m.last = now
}

// Rate returns the amount a second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterTime.Seconds())
}
