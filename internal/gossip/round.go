package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
)

// runRound runs one round: it sends this router's state to the partners.
func (g *Gossip) runRound(ctx context.Context) {
	now := steady.Now()
	g.mu.Lock()
	lost := g.members.Expire(now)
	large := g.members.Large()
	partners := g.members.Partners(now)
	known, changes := g.members.KnownAddresses(), g.members.Changes()
	seedsKnown, seeds := g.members.SeedsKnown()
	leaving := g.leavingAddresses()
	changed := changes != g.announcedChanges
	g.announcedChanges = changes
	g.partners = partners
	g.round++
	round := g.round
	g.members.SetRound(g.longestRound())
	g.shareRetries(now)
	g.mu.Unlock()
	g.updateView(large)
	g.balancer.SetLargeFleet(large)
	g.balancer.SetSeedsKnown(seedsKnown, seeds, now)
	if changed {
		g.balancer.SetRouters(g.server.Address(), known, now)
	}
	g.mergePendingOrigins(now)
	g.fetchOrigins(now)
	g.balancer.SetLeavingRouters(leaving)
	g.balancer.SetHoldersSynced(g.holdersKnown.Load())
	g.forgetLost(lost)
	if large {
		g.sendRumors(partners, now)
	}
	if large && !g.largeRoundDue(now) {
		return
	}
	d := g.digests(now, large)
	if large {
		g.sendRound(partners, d, g.largeRounds%largeHelloRounds == 0, now)
	} else {
		g.exchangeAll(ctx, partners.Line, d, round%helloRounds == 0)
	}
	for _, address := range partners.Seeds {
		// The line of a seed is not known.
		g.startExchange(ctx, address, &gossippb.Digest{Sender: g.server.Address(), Stopping: d.own.Stopping, AsksOnly: true}, d)
	}
}

// largeRoundDue reports whether a round of a large fleet is due.
func (g *Gossip) largeRoundDue(now time.Time) bool {
	soon, urgent := g.balancer.CapacityReduced(now), g.balancer.CountsUrgent(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	// A report is dropped 2.5 s after it arrived, so rounds are not stretched while a service
	// is contended.
	due := g.pace.due(g.options.Period, soon, urgent || g.contended)
	if due {
		g.largeRounds++
	}
	return due
}

// exchangeAll exchanges with all partners of a small fleet.
func (g *Gossip) exchangeAll(ctx context.Context, partners []string, d digests, hello bool) {
	own := d.own
	if hello {
		own = d.withHello(own)
	}
	for _, address := range partners {
		g.startExchange(ctx, address, own, d)
	}
}

// forgetLost forgets members that fell silent.
func (g *Gossip) forgetLost(members []string) {
	for _, address := range members {
		g.balancer.RemovePeer(address)
		g.removeReport(address)
		g.forgetForm(address)
		g.mu.Lock()
		delete(g.deferred, address)
		g.mu.Unlock()
		g.log.Write(event.PeerLost, event.F("peer", address))
	}
}

// startExchange starts an exchange with a partner unless one is in progress; then it
// keeps the rumors of the digest for the next round. A partner that may not know this
// router gets a hello.
func (g *Gossip) startExchange(ctx context.Context, address string, digest *gossippb.Digest, d digests) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[address] {
		g.deferRumors(address, digest)
		return
	}
	g.busy[address] = true
	if g.centres[address] == "" && !digest.Hello {
		digest = d.withHello(digest)
	}
	if missed := g.deferred[address]; missed != nil {
		digest = proto.CloneOf(digest)
		proto.Merge(digest, missed)
		delete(g.deferred, address)
	}
	go g.exchange(ctx, address, digest)
}

// maxDeferred bounds the failures, and the marks, that are kept for a busy partner.
const maxDeferred = 64

// deferRumors keeps the rumors of a digest for a partner. g.mu is held.
func (g *Gossip) deferRumors(address string, digest *gossippb.Digest) {
	missed := g.deferred[address]
	if missed == nil {
		missed = &gossippb.Digest{}
		g.deferred[address] = missed
	}
	if len(missed.Failed) >= maxDeferred || len(missed.Part) >= maxDeferred || len(missed.Brittle) >= maxDeferred || len(missed.Marks.GetCrashed()) >= maxDeferred {
		return
	}
	proto.Merge(missed, &gossippb.Digest{
		Failed: digest.Failed, Failure: digest.Failure, FailedAgeMs: digest.FailedAgeMs,
		Part: digest.Part, Holder: digest.Holder, Marks: digest.Marks,
		Brittle: digest.Brittle, BrittleBears: digest.BrittleBears, BrittleAgeMs: digest.BrittleAgeMs,
	})
}
