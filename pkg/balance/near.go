package balance

import "time"

// smallPromptTokens is the number of shared tokens up to which a prompt's parts are kept
// in each data centre: copying them costs less than the streams between data centres that
// a network partition delays or breaks.
const smallPromptTokens = 1024

// sharedTokenCount returns the size of the parts of a prompt that other requests have
// too.
func sharedTokenCount(parts []Part) int {
	tokens := 0
	for _, part := range sharedParts(parts) {
		tokens += part.Tokens
	}
	return tokens
}

// keptPerDataCentre reports whether a prompt is kept in each data centre instead of at
// one home for the whole fleet.
func keptPerDataCentre(parts []Part) bool {
	return len(parts) > 1 && sharedTokenCount(parts) <= smallPromptTokens
}

// Between these parts of the way from the mean load to the bound, the share of requests that
// prefer the engines of their own data centre falls from all to none.
const (
	nearPreferredTo = 0.5
	nearAvoidedFrom = 0.75
)

// prefersNear draws whether a request prefers the engines of its own data centre, given their mean
// load. In a large fleet counts are old: if all routers of a data centre preferred an engine until
// they saw it at the bound, they would exceed the bound together.
func (b *Balancer) prefersNear(near, all []*replica, bound float64, now time.Time) bool {
	if !b.largeFleet || len(near) == 0 {
		return true
	}
	load := b.meanLoad(near, now)
	if load <= nearPreferredTo*bound {
		// The mean need not be computed: no mean makes the limits lower.
		return true
	}
	mean := b.meanLoad(all, now)
	from, to := mean+nearPreferredTo*(bound-mean), mean+nearAvoidedFrom*(bound-mean)
	if load <= from {
		return true
	}
	return load < to && b.random.Float64() < (to-load)/(to-from)
}
