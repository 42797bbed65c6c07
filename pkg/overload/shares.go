package overload

import (
	"cmp"
	"math"
	"slices"
)

const (
	// surgeFactor is how many times more than the others a share's demand must have grown for
	// its requests to be refused. While all ask for more in about the same proportion,
	// refusals would serve nobody better: the replicas turn away what they can't queue, and
	// an answer that is late is still worth something to its caller. It is above two since
	// refused callers return, which alone doubles the demand of a share.
	surgeFactor = 2.5
	// minSurge is the least excess of a refused share over its part, as a part of the limit.
	// A share that asks for a few requests per second exceeds its usual by chance.
	minSurge = 0.1
	// overloadFactor is how many times the limit the demand of shares that do not surge must
	// be for them to be limited too. Below it the queues of the replicas take most of the
	// excess; beyond it they are full, and most answers late.
	overloadFactor = 1.2
	// minUsualPart is the least usual demand that a share counts with, as a part of the mean
	// over all shares: a new one has a right to some room too.
	minUsualPart = 0.5
)

// shareDemand is what one share of a service asks for.
type shareDemand struct {
	offered, weight float64
}

// totals are the sums over all shares of a service.
type totals struct {
	offered, usual float64
	shares         int
}

// usualOf returns what a share usually asks for, at least minUsualPart of the mean.
func (t totals) usualOf(r shareRates) float64 {
	return max(r.usual, minUsualPart*t.usual/float64(max(t.shares, 1)))
}

// surges reports whether the demand of a share has grown clearly more than that of the others.
// Its part of the whole demand would not tell: that of a large organisation can hardly grow.
func (t totals) surges(r shareRates) bool {
	others := shareRates{t.offered - r.offered, t.usual - r.usual}
	return r.offered*others.usual > surgeFactor*t.usualOf(r)*others.offered
}

// steady returns the demand of the shares that do not surge, according to a list of them.
func (t totals) steady(rates []shareRates) float64 {
	steady := 0.0
	for _, r := range rates {
		if !t.surges(r) {
			steady += r.offered
		}
	}
	return steady
}

// weightOf is proportional to what a share usually asks for, and halved with each step of
// priority.
func (t totals) weightOf(key shareKey, r shareRates) float64 {
	return equalWeight(key, r) * t.usualOf(r)
}

// ratesOf returns the rates of all shares of a service, in the order of their figures: the
// order of a map would change the last digits of sums, and decisions with them. The list is
// valid until the next call.
func (s *sums) ratesOf(service uint32) []shareRates {
	s.rates = s.rates[:0]
	for key, r := range s.shares {
		if key.service == service {
			s.rates = append(s.rates, r)
		}
	}
	slices.SortFunc(s.rates, func(a, b shareRates) int {
		return cmp.Or(cmp.Compare(a.offered, b.offered), cmp.Compare(a.usual, b.usual))
	})
	return s.rates
}

// totals returns the sums over all shares of a service.
func (s *sums) totals(service uint32) totals {
	rates := s.ratesOf(service)
	t := totals{shares: len(rates)}
	for _, r := range rates {
		t.offered += r.offered
		t.usual += r.usual
	}
	return t
}

// equalWeight is halved with each step of priority.
func equalWeight(key shareKey, _ shareRates) float64 { return math.Exp2(-float64(key.priority)) }

// demands returns the demand of each share of a service, those that ask for least by their
// weight first.
func (s *sums) demands(service uint32, weightOf func(shareKey, shareRates) float64) []shareDemand {
	s.buffer = s.buffer[:0]
	for key, r := range s.shares {
		if key.service == service && r.offered > 0 {
			s.buffer = append(s.buffer, shareDemand{r.offered, weightOf(key, r)})
		}
	}
	slices.SortFunc(s.buffer, func(a, b shareDemand) int {
		return cmp.Or(cmp.Compare(a.offered/a.weight, b.offered/b.weight), cmp.Compare(a.weight, b.weight))
	})
	return s.buffer
}

// fairLevel divides a limit by weighted max-min fairness: a share gets its demand, or its
// weight times the level if that is less. Demands are sorted by demand over weight. The level
// is infinite if the limit suffices for all.
func fairLevel(limit float64, demands []shareDemand) float64 {
	weights := 0.0
	for _, d := range demands {
		weights += d.weight
	}
	for _, d := range demands {
		if level := limit / weights; d.offered > d.weight*level {
			return level
		}
		limit -= d.offered
		weights -= d.weight
	}
	return math.Inf(1)
}
