package gossip

import (
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/membership"
)

// newsDelay is how long after a change of the configuration or of the list it is told:
// changes come several at a time, and two steps of it are nothing to what a round takes.
const newsDelay = 20 * time.Millisecond

// sendNews tells the partners of a large fleet that this router knows something new,
// beside the rounds: waiting for two of them sends requests to replicas that leave, and holds
// up what the operator has changed.
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

// sendAll sends a digest to all partners in a large fleet.
func (g *Gossip) sendAll(partners membership.Partners, d *gossippb.Digest) {
	packets := packetCache{g: g}
	for _, address := range partners.Line {
		g.send(address, packets.get(d, address))
	}
	for _, address := range partners.RelayTo {
		g.send(address, packets.get(d, address))
	}
}
