package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/membership"
)

// newsDelay is the delay between a change of the configuration or of the list and its
// sending: changes come several at a time, and the delay of two hops is negligible beside
// a round.
const newsDelay = 20 * time.Millisecond

// sendNews tells the partners of a large fleet that this router knows something new,
// outside of the rounds: waiting for two of them sends requests to replicas that leave,
// and delays the operator's changes.
func (g *Gossip) sendNews(now time.Time) {
	g.mu.Lock()
	large, partners := g.members.Large(), g.partners
	d := &gossippb.Digest{AsksOnly: true, Stopping: g.stopped}
	g.addOwnDigest(d, now)
	g.mu.Unlock()
	if !large {
		return
	}
	g.sendAll(partners, d)
}

// sendAll sends a digest to all partners of a large fleet.
func (g *Gossip) sendAll(partners membership.Partners, d *gossippb.Digest) {
	packets := packetCache{g: g}
	for _, address := range partners.Line {
		g.send(address, packets.get(d, address))
	}
	for _, address := range partners.RelayTo {
		g.send(address, packets.get(d, address))
	}
}
