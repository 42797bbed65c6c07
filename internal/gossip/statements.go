package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/balance"
)

// What replicas stated of themselves in answers is known to the routers that they answered.
// One that starts would send them what they can't bear until they have answered it too.

const (
	// maxHelloRests bounds the replicas at rest that the answer to a hello names.
	maxHelloRests = 32
	// maxHelloBrittle is the same for services whose replicas are brittle.
	maxHelloBrittle = 32
	// learnRounds is for how many rounds after its start a router takes statements from others:
	// all have answered a hello by then. Later it knows those that it got itself.
	learnRounds = 16
)

// addStatements adds the replicas that asked this router for rest, and the services of brittle ones.
func (g *Gossip) addStatements(reply *gossippb.Freshness, now time.Time) {
	for _, rest := range g.watcher.Statements().Rests(maxHelloRests, now) {
		reply.Resting = append(reply.Resting, rest.ID)
		reply.RestLeftMs = append(reply.RestLeftMs, uint32(rest.Until.Sub(now).Milliseconds()))
	}
	brittle := g.balancer.BrittleServices(now)
	for _, stated := range brittle[:min(len(brittle), maxHelloBrittle)] {
		reply.Brittle = append(reply.Brittle, stated.Service)
		reply.BrittleRejections = append(reply.BrittleRejections, uint32(stated.Rejections))
		reply.BrittleLeftMs = append(reply.BrittleLeftMs, uint32(stated.Until.Sub(now).Milliseconds()))
	}
}

// mergeStatements records what replicas stated to another router, which answered a query of the
// time asked. An announced shutdown is not taken from it, as from a relayed request.
func (g *Gossip) mergeStatements(r *gossippb.Freshness, asked, now time.Time) {
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
	for i := range min(len(r.Brittle), len(r.BrittleRejections), len(r.BrittleLeftMs), maxHelloBrittle) {
		until := now.Add(milliseconds(r.BrittleLeftMs[i]))
		g.balancer.LearnBrittle(balance.BrittleService{Service: r.Brittle[i], Rejections: int(r.BrittleRejections[i]), Until: until}, now)
	}
}
