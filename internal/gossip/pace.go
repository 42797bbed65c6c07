package gossip

import (
	"math"
	"time"

	"github.com/croftyard/croftyard/pkg/membership"
)

// The partners of a router grow with the square root of the fleet, and so does what it sends
// in a round. Beyond a budget, the rounds of a large fleet are stretched while new counts are
// not urgent, but only so far that counts still arrive within their lifetime.
//
//	what a round sends / its time <= controlBudget  -> largeRoundFactor
//	more, counts not urgent                          -> up to maxStretch times as long
//	more, counts urgent                              -> largeRoundFactor
const (
	// controlBudget is what a router sends to the others at rest, in bytes per second,
	// headers included.
	controlBudget = 4000
	// datagramOverhead is the size of the headers of IP and UDP.
	datagramOverhead = 28
	// maxStretch is the most that rounds are stretched: two rounds are then as long as the
	// counts of another router are used.
	maxStretch = 2
)

// roundPace decides how long the rounds of a large fleet are.
type roundPace struct {
	// bytes is what the last round sent.
	bytes int
	// elapsed is the time since the last round of a large fleet, in rounds of a small one. It
	// begins with what the last round was late by, so that lengths between two multiples of a
	// period hold on average.
	elapsed float64
}

// stretch returns by how much the budget stretches rounds of a given length.
func (p *roundPace) stretch(round time.Duration) float64 {
	return min(max(float64(p.bytes)/(controlBudget*round.Seconds()), 1), maxStretch)
}

// due reports whether a round of a large fleet is due, in a round of a small one that is
// as long as period. soon is set while many replicas are idle, urgent while new counts are
// needed.
func (p *roundPace) due(period time.Duration, soon, urgent bool) bool {
	p.elapsed++
	wait := float64(largeRoundFactor)
	switch {
	case soon:
		wait = 1
	case !urgent:
		wait *= p.stretch(largeRoundFactor * period)
	}
	if p.elapsed < wait {
		return false
	}
	p.elapsed = math.Mod(p.elapsed-wait, 1)
	return true
}

// noteRound records the datagrams of a round.
func (p *roundPace) noteRound(datagrams, bytes int) { p.bytes = bytes + datagrams*datagramOverhead }

// longestRound is how long rounds may become at this router, and so about as long at the
// others. g.mu is held.
func (g *Gossip) longestRound() time.Duration {
	if !g.members.Large() {
		return g.options.Period
	}
	round := largeRoundFactor * g.options.Period
	return time.Duration(float64(round) * g.pace.stretch(round))
}

// partnerCount returns how many routers get a datagram in each round.
func partnerCount(p membership.Partners) int { return len(p.Line) + len(p.RelayTo) }
