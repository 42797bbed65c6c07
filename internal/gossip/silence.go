package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
)

const (
	// silentRounds is for how many rounds all members of a data centre are silent
	// before it is taken to be cut off. Each of them is heard twice a round, when
	// it asks and when it answers, so that is several times missed already; and
	// the first that is heard ends it.
	silentRounds = 1.3
	// fewSilentRounds is the same for a data centre of which only fewMembers are heard,
	// where each is heard once a round: one datagram of each may be lost.
	fewSilentRounds = 2.2
	fewMembers      = 2
	// silenceChecks is how often in a round that is looked at.
	silenceChecks = 4
)

// period is the pause between two rounds of this router. g.mu is held.
func (g *Gossip) period() time.Duration {
	if g.members.Large() {
		return largeRoundFactor * g.options.Period
	}
	return g.options.Period
}

// silentCentres returns the other data centres of which no member was heard for
// a moment, while somebody was. One member alone may have died. In a large fleet
// those count that speak to this router itself: of the others it hears late.
// g.mu is held.
func (g *Gossip) silentCentres(now time.Time) []string {
	limit := time.Duration(silentRounds * float64(g.period()))
	fewLimit := limit
	if !g.queriesAll() {
		fewLimit = time.Duration(fewSilentRounds * float64(g.period()))
	}
	members := make(map[string]int)
	// youngest is how long ago a member of each was heard last.
	youngest := make(map[string]time.Duration)
	anyone := false
	look := g.members.Rows
	if g.members.Large() {
		look = g.members.DirectRows
	}
	for _, row := range look(now) {
		centre := g.centres[row.Address]
		if members[centre]++; members[centre] == 1 || row.Age < youngest[centre] {
			youngest[centre] = row.Age
		}
		anyone = anyone || row.Age <= limit
	}
	var names []string
	for centre, n := range members {
		silentFor := limit
		if n <= fewMembers {
			silentFor = fewLimit
		}
		if anyone && centre != "" && centre != g.options.DataCentre && n > 1 && youngest[centre] > silentFor {
			names = append(names, centre)
		}
	}
	return names
}

// reportSilentCentres notes the data centres that fell silent. One that is heard again
// is noted at once.
func (g *Gossip) reportSilentCentres(now time.Time) {
	g.mu.Lock()
	silent := g.silentCentres(now)
	g.mu.Unlock()
	for _, name := range silent {
		if g.balancer.SetCentreSilent(name, true) {
			g.log.Write(event.CentreSilent, event.F("data_centre", name))
		}
	}
}
