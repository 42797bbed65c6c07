package gossip

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/membership"
)

// aliveInterval is the number of rounds of a large fleet between two reports of the live
// members of a line. Each member is reported several times before it would be forgotten.
const aliveInterval = 2

// sendRound sends each partner of a large fleet a datagram, and queries some of them. The
// datagrams without a query are identical, and encoded once.
func (g *Gossip) sendRound(partners membership.Partners, d digests, hello bool, now time.Time) {
	g.expireQueries(now)
	all := partnerCount(partners)
	first, asks := g.nextQueried(all)
	packets := packetCache{g: g}
	bytes := 0
	for i := range all {
		address, digest := "", d.own
		if i < len(partners.Line) {
			address = partners.Line[i]
		} else {
			address, digest = partners.RelayTo[i-len(partners.Line)], d.line
		}
		unmet := g.centreUnknown(address)
		if unmet || (i-first+all)%all < asks {
			digest = g.withQuery(address, digest, d, unmet || hello, now)
			if g.usesPlainForm(address) {
				digest = g.inPlainForm(digest)
			}
			packet := encodeDigest(digest)
			bytes += len(packet)
			g.send(address, packet)
			continue
		}
		packet := packets.get(digest, address)
		bytes += len(packet)
		g.send(address, packet)
	}
	g.sayHelloToSilentRelays(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pace.noteRound(all, bytes)
}

// sayHelloToSilentRelays sends a hello to members that may not know this router and should relay their
// lines' sums to it. A router without a list sends none: each router that it learns of is one more that
// it asks for the list, while few have one.
func (g *Gossip) sayHelloToSilentRelays(now time.Time) {
	if !g.watcher.Initialized() {
		return
	}
	g.mu.Lock()
	silent := g.members.SilentRelays(maxSilentRelays, now)
	g.mu.Unlock()
	for _, address := range silent {
		g.send(address, encodeDigest(&gossippb.Digest{AsksOnly: true, Hello: true, DataCentre: g.options.DataCentre, Ask: g.addQuery(query{address: address, at: now})}))
	}
}

// maxSilentRelays bounds the hellos to silent relays in a round.
const maxSilentRelays = 4

// packetCache holds digests that are sent to many routers, each encoded once in each
// form.
type packetCache struct {
	g       *Gossip
	encoded map[packetKey][]byte
}

type packetKey struct {
	digest *gossippb.Digest
	plain  bool
}

// get returns a digest, encoded in the form that a router uses.
func (p *packetCache) get(digest *gossippb.Digest, address string) []byte {
	key := packetKey{digest, p.g.usesPlainForm(address)}
	packet, done := p.encoded[key]
	if done {
		return packet
	}
	if p.encoded == nil {
		p.encoded = make(map[packetKey][]byte)
	}
	if key.plain {
		digest = p.g.inPlainForm(digest)
	}
	packet = encodeDigest(digest)
	p.encoded[key] = packet
	return packet
}

// withQuery returns a digest that requests an answer, with or without a hello.
func (g *Gossip) withQuery(address string, digest *gossippb.Digest, d digests, hello bool, now time.Time) *gossippb.Digest {
	if hello {
		digest = d.withHello(digest)
	} else {
		digest = proto.CloneOf(digest)
	}
	digest.Ask = g.addQuery(query{address: address, at: now})
	return digest
}

// centreUnknown reports whether a member has not reported its data centre.
func (g *Gossip) centreUnknown(address string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.centres[address] == ""
}

func encodeDigest(d *gossippb.Digest) []byte { return encodeDatagram(&gossippb.Datagram{Digest: d}) }

// encodeDatagram returns nil if a text is not valid UTF-8. Names and addresses are
// checked when the settings are read.
func encodeDatagram(d *gossippb.Datagram) []byte {
	packet, err := proto.Marshal(d)
	if err != nil {
		return nil
	}
	return packet
}

// send sends a datagram to a member at the address on which it listens.
func (g *Gossip) send(address string, packet []byte) {
	to, err := netip.ParseAddrPort(address)
	if err == nil && len(packet) <= peer.MaxDatagram {
		err = g.datagrams.Send(to, packet)
	}
	if err != nil || len(packet) > peer.MaxDatagram {
		g.unsent.Add(1)
	}
}

// UnsentDatagrams returns how many datagrams could not be sent.
func (g *Gossip) UnsentDatagrams() uint64 { return g.unsent.Load() }

// handleDatagram handles a datagram from another router.
func (g *Gossip) handleDatagram(from netip.AddrPort, packet []byte) {
	var d gossippb.Datagram
	if err := proto.Unmarshal(packet, &d); err != nil {
		g.rejectMessage(from.String(), fmt.Errorf("%w: %w", ErrMalformed, err))
		return
	}
	now := steady.Now()
	switch {
	case d.Digest != nil:
		// Trusting a sender named in the datagram would let it direct this router's
		// datagrams elsewhere.
		d.Digest.Sender = from.String()
		g.handleDigest(d.Digest, now)
	case d.Answer != nil:
		g.handleAnswer(from, d.Answer, now)
	case d.Origin != nil:
		g.mergeOrigin(from.String(), d.Origin, now)
	case d.OriginQuery != nil:
		g.answerOriginQuery(from.String(), d.OriginQuery, now)
	case d.OriginReply != nil:
		if err := g.originQueries.reply(from.String(), d.OriginReply); err != nil {
			g.rejectMessage(from.String(), err)
		}
	case d.ServedQuery != nil:
		g.answerServedQuery(from.String(), d.ServedQuery)
	case d.ServedReply != nil:
		g.receiveServed(from.String(), d.ServedReply)
	case d.HeldQuery != nil:
		g.answerHeldQuery(from.String(), d.HeldQuery)
	case d.HeldReply != nil:
		g.receiveHeld(from.String(), d.HeldReply)
	case d.RetryQuery != nil:
		g.lendRetries(from.String(), d.RetryQuery, now)
	case d.RetryLoan != nil:
		g.receiveLoan(from.String(), d.RetryLoan)
	case d.RetrySettlement != nil:
		g.settleRetries(d.RetrySettlement, now)
	default:
		// A later build may send others.
		g.rejectMessage(from.String(), errNoMessage)
	}
}

// handleDigest applies a digest from a datagram, answers its query if it has one, and
// queries the sender if that seems to know more.
func (g *Gossip) handleDigest(d *gossippb.Digest, now time.Time) {
	g.applyDigest(d, now)
	if d.Ask != 0 {
		answer := g.answer(d, now)
		answer.Ask = d.Ask
		g.send(d.Sender, encodeDatagram(&gossippb.Datagram{Answer: answer}))
	}
	if d.Stopping {
		return
	}
	unmet := g.centreUnknown(d.Sender) && g.maySayHello(d.Sender, now)
	if (unmet || g.seemsNewer(d, now)) && g.mayQuery(d.Sender, now) {
		g.sendQuery(d.Sender, unmet, g.relaysProofOf(d), now)
	}
}
