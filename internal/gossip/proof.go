package gossip

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/membership"
)

// One router reads the store for a large fleet. If what it reads travelled with the rounds,
// it would age by two rounds on the way, and if each router that learns it notified all its
// partners, their messages would grow faster than the fleet. So it travels beside the
// rounds, by the same two hops as counts:
//
//	reader                notifies its line, and one member of each other line
//	member of its line    queries the reader, fetches what has changed, and notifies the
//	                      routers to which it relays the sums of the line
//
// Each router is notified once. It queries the sender, since a proof must be dated from the
// time of a query. The rounds make up for what is lost.

// sendProof notifies the partners of a large fleet that this router has read the store.
func (g *Gossip) sendProof(now time.Time) {
	g.mu.Lock()
	large, partners := g.members.Large(), g.partners
	d := &gossippb.Digest{AsksOnly: true, FirstHand: true, Stopping: g.stopped}
	g.addOwnDigest(d, now)
	g.mu.Unlock()
	if large {
		g.sendAll(partners, d)
	}
}

// sendAll sends a digest to all partners of a large fleet.
func (g *Gossip) sendAll(partners membership.Partners, d *gossippb.Digest) {
	packets := packetCache{g: g}
	for _, address := range slices.Concat(partners.Line, partners.RelayTo) {
		g.send(address, packets.get(d, address))
	}
}

// relayProof notifies the routers to which the line's sums are relayed that this router has
// newer knowledge.
func (g *Gossip) relayProof(now time.Time) {
	g.mu.Lock()
	partners := g.partners
	d := &gossippb.Digest{AsksOnly: true, Stopping: g.stopped}
	g.addOwnDigest(d, now)
	g.mu.Unlock()
	packets := packetCache{g: g}
	for _, address := range partners.RelayTo {
		g.send(address, packets.get(d, address))
	}
}

// relaysProofOf reports whether this router passes on what the sender of a digest knows.
func (g *Gossip) relaysProofOf(d *gossippb.Digest) bool {
	if !d.FirstHand {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Large() && slices.Contains(g.partners.Line, d.Sender)
}
