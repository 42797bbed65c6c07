package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
)

const (
	// silentRounds is for how many rounds all members of a data centre must be silent
	// before it counts as cut off. Each member is heard twice a round, when it queries
	// and when it answers, so several messages are missing by then. The first message
	// that is heard ends the silence.
	silentRounds = 1.3
	// fewSilentRounds is the same for a data centre of which at most fewMembers are
	// heard, each once a round: one datagram of each may be lost.
	fewSilentRounds = 2.2
	fewMembers      = 2
	// silenceChecks is the number of checks for silent data centres per round.
	silenceChecks = 4
)

// silentCentres returns the other data centres of which no member was heard lately, while
// some router was. A data centre with one member is left out, since that may have died.
// In a large fleet only members that contact this router itself count: it hears late of
// the others. g.mu is held.
func (g *Gossip) silentCentres(now time.Time) []string {
	limit := time.Duration(silentRounds * float64(g.longestRound()))
	fewLimit := limit
	if !g.queriesAll() {
		fewLimit = time.Duration(fewSilentRounds * float64(g.longestRound()))
	}
	members := make(map[string]int)
	// youngest is the time since a member of each data centre was last heard.
	youngest := make(map[string]time.Duration)
	anyone := false
	rows := g.members.Rows
	if g.members.Large() {
		rows = g.members.DirectRows
	}
	for _, row := range rows(now) {
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

// silencePause returns the time between two checks.
func (g *Gossip) silencePause() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.longestRound() / silenceChecks
}

// reportSilentCentres reports the data centres that fell silent. The next message from
// one ends that at once.
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
