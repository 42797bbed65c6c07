package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

const (
	// maxHelloRests bounds the replicas at rest that the answer to a hello names.
	maxHelloRests = 32
	// learnRounds is for how many rounds after its start a router takes rests from others: all
	// have answered a hello by then. Later it knows those that it was asked for itself.
	learnRounds = 16
)

// addRests adds the replicas that asked this router for rest.
func (g *Gossip) addRests(reply *gossippb.Freshness, now time.Time) {
	for _, rest := range g.watcher.Statements().Rests(maxHelloRests, now) {
		reply.Resting = append(reply.Resting, rest.ID)
		reply.RestLeftMs = append(reply.RestLeftMs, uint32(rest.Until.Sub(now).Milliseconds()))
	}
}

// mergeRests records the rests that replicas asked another router for, which answered a query of
// the time asked. An announced shutdown is not taken from it, as from a relayed request.
func (g *Gossip) mergeRests(r *gossippb.Freshness, asked, now time.Time) {
	g.mu.Lock()
	learns := g.round <= learnRounds
	g.mu.Unlock()
	if !learns {
		return
	}
	for i := range min(len(r.Resting), len(r.RestLeftMs), maxHelloRests) {
		until := now.Add(milliseconds(r.RestLeftMs[i]))
		g.watcher.Statements().MarkResting(r.Resting[i], asked, until, now)
		g.balancer.RestUntil(r.Resting[i], until)
	}
}
