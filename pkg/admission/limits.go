package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// Limits enforces this router's fraction of each organisation's surge limit.
// It is not safe for concurrent use.
//
// An organisation's limit is one token bucket for the fleet. Each router has a
// fraction of it, in proportion to the organisation's demand that it sees, so
// callers that all use one router get nearly the whole limit there. The alternative,
// a bucket in the platform's service, would cost a write for each request.
//
// What a router does not know counts as used up: buckets are empty when a process starts,
// since the one before it may just have admitted a whole burst, and routers that are not
// heard from keep their parts.
type Limits struct {
	buckets map[string]*bucket
	// began is when the limits were first used. Buckets fill from then on.
	began time.Time
	// full is set by StartFull.
	full bool
}

type bucket struct {
	limiter *rate.Limiter
	demand  Meter
	// rate is the organisation's limit for the whole fleet.
	rate float64
	// fraction is this router's fraction of the organisation's limit, evenFraction that of
	// an even split over all routers.
	fraction, evenFraction float64
}

// NewLimits returns limits without any organisation, of a router that takes the place of
// another one.
func NewLimits() *Limits {
	return &Limits{buckets: make(map[string]*bucket)}
}

// StartFull lets buckets start full, since no router has admitted anything before.
func (l *Limits) StartFull() { l.full = true }

// Limit is an organisation's surge limit for the whole fleet.
type Limit struct {
	// Rate is in work tokens a second, Burst in work tokens.
	Rate  float64
	Burst float64
}

// Admit takes work from this router's bucket of the organisation. It returns nil or
// a refusal that tells when the bucket will hold enough. evenFraction is this router's
// fraction while the others' demand is unknown: 1 / number of routers that may be at work.
func (l *Limits) Admit(now time.Time, organisation string, limit Limit, work, evenFraction float64) *Refusal {
	l.begin(now)
	b := l.buckets[organisation]
	if b == nil {
		b = l.newBucket(now, limit, evenFraction)
		l.buckets[organisation] = b
	}
	b.evenFraction = evenFraction
	b.demand.Add(now, work)
	b.setLimit(now, limit)
	// A request larger than the bucket takes all of it; otherwise it could never pass.
	n := min(int(math.Ceil(work)), b.limiter.Burst())
	if b.limiter.AllowN(now, n) {
		return nil
	}
	return Refuse(SurgeLimit, b.timeUntil(now, n), "the organisation's surge limit is used up")
}

func (l *Limits) begin(now time.Time) {
	if l.began.IsZero() {
		l.began = now
	}
}

func (l *Limits) newBucket(now time.Time, limit Limit, fraction float64) *bucket {
	b := &bucket{limiter: rate.NewLimiter(0, 0), fraction: fraction, evenFraction: fraction}
	b.setLimit(l.began, limit)
	if l.full {
		// A new limiter starts full, whereas raising the burst of an empty one adds no
		// tokens.
		b.limiter = rate.NewLimiter(b.limiter.Limit(), b.limiter.Burst())
	}
	return b
}

func (b *bucket) setLimit(now time.Time, limit Limit) {
	b.rate = limit.Rate
	perSecond := rate.Limit(limit.Rate * b.fraction)
	if b.limiter.Limit() != perSecond {
		b.limiter.SetLimitAt(now, perSecond)
	}
	burst := max(int(limit.Burst*b.fraction), 1)
	if b.limiter.Burst() != burst {
		b.limiter.SetBurstAt(now, burst)
	}
}

func (b *bucket) timeUntil(now time.Time, n int) time.Duration {
	missing := float64(n) - b.limiter.TokensAt(now)
	seconds := missing / float64(b.limiter.Limit())
	return time.Duration(seconds * float64(time.Second))
}

// Demand returns the organisation's demand on this router, admitted or not, in
// work tokens a second.
func (l *Limits) Demand(now time.Time, organisation string) float64 {
	b := l.buckets[organisation]
	if b == nil {
		return 0
	}
	return b.demand.Rate(now)
}

// VisitNearLimit calls visit for each organisation whose demand would come near its
// limit if all routers saw as much as this one. Only these need to be reported to other
// routers: for the rest the split does not matter.
func (l *Limits) VisitNearLimit(now time.Time, routers int, visit func(organisation string, demand float64)) {
	const nearLimit = 0.5
	for organisation, b := range l.buckets {
		demand := b.demand.Rate(now)
		if demand*float64(routers) >= nearLimit*b.rate {
			visit(organisation, demand)
		}
	}
}

// VisitDemands calls visit for each organisation with recent demand and drops the others.
func (l *Limits) VisitDemands(now time.Time, visit func(organisation string, demand float64)) {
	const minDemand = 0.01
	l.begin(now)
	for organisation, b := range l.buckets {
		demand := b.demand.Rate(now)
		if demand < minDemand {
			delete(l.buckets, organisation)
			continue
		}
		visit(organisation, demand)
	}
}

// SetFraction sets this router's fraction of the organisation's limit. others is the
// demand on the other routers in work tokens a second, as their digests report it, or
// below 0 for an even split when there are no digests. routers is how many routers these
// cover, this one included: the others have their parts of an even split, whatever they do.
func (l *Limits) SetFraction(now time.Time, organisation string, others float64, routers int) {
	b := l.buckets[organisation]
	if b == nil {
		return
	}
	covered := min(float64(routers)*b.evenFraction, 1)
	b.fraction = covered * LimitFraction(b.demand.Rate(now), others, routers)
}

// LimitFraction returns the fraction of a limit for a router that sees demand own while
// the others see others. A tenth of the limit is split evenly, so that a router whose
// demand is new admits something at once.
func LimitFraction(own, others float64, routers int) float64 {
	const evenlySplit = 0.1
	even := 1 / float64(max(routers, 1))
	total := own + others
	if others < 0 || total <= 0 {
		return even
	}
	return (1-evenlySplit)*own/total + evenlySplit*even
}

// Meter measures a rate with exponential decay. The zero value is ready to use.
type Meter struct {
	rate float64
	last time.Time
}

// meterTime is the time constant of a Meter's decay.
const meterTime = 5 * time.Second

// Add adds an amount at now.
func (m *Meter) Add(now time.Time, amount float64) {
	m.rate = m.Rate(now) + amount/meterTime.Seconds()
	m.last = now
}

// Rate returns the decayed rate per second.
func (m *Meter) Rate(now time.Time) float64 {
	if m.last.IsZero() {
		return 0
	}
	return m.rate * math.Exp(-now.Sub(m.last).Seconds()/meterTime.Seconds())
}
