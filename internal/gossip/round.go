package gossip

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
)

// tick is one round: it tells the partners.
func (g *Gossip) tick(ctx context.Context) {
	now := steady.Now()
	g.mu.Lock()
	lost := g.members.Expire(now)
	large := g.members.Large()
	partners := g.members.Partners(now)
	known, changes := g.members.KnownAddresses(), g.members.Changes()
	news := changes != g.routersAt
	g.routersAt = changes
	g.partners = partners
	g.round++
	round := g.round
	g.mu.Unlock()
	g.balancer.SetLargeFleet(large)
	if news {
		g.balancer.SetRouters(g.server.Address(), known, now)
	}
	g.balancer.SetHoldersSynced(g.recalled.Load())
	g.noteLost(lost)
	if large {
		g.tellRumors(partners, now)
	}
	if large && round%largeRounds != 0 && !g.balancer.CapacityReduced(now) {
		return
	}
	d := g.digests(now, large)
	if large {
		g.tell(partners, d, round%largeHelloRounds == 0, now)
	} else {
		g.call(ctx, partners.Line, d, round%helloRounds == 0)
	}
	for _, address := range partners.Seeds {
		// Whose line a seed is of is not known.
		g.start(ctx, address, &gossippb.Digest{Sender: g.server.Address(), Stopping: d.own.Stopping, AsksOnly: true}, d)
	}
}

// call exchanges with all others, in a small fleet.
func (g *Gossip) call(ctx context.Context, partners []string, d digests, hello bool) {
	own := d.own
	if hello {
		own = d.with(own)
	}
	for _, address := range partners {
		g.start(ctx, address, own, d)
	}
}

// noteLost forgets members that fell silent.
func (g *Gossip) noteLost(members []string) {
	for _, address := range members {
		g.balancer.RemovePeer(address)
		g.forgetForm(address)
		g.mu.Lock()
		delete(g.missed, address)
		g.mu.Unlock()
		g.log.Write(event.PeerLost, event.F("peer", address))
	}
}

// start begins an exchange with a partner unless one is under way: then what the
// digest tells once is kept for the next round. Who may not know this router is
// told hello.
func (g *Gossip) start(ctx context.Context, address string, digest *gossippb.Digest, d digests) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[address] {
		g.miss(address, digest)
		return
	}
	g.busy[address] = true
	if g.centres[address] == "" && !digest.Hello {
		digest = d.with(digest)
	}
	if missed := g.missed[address]; missed != nil {
		digest = proto.CloneOf(digest)
		proto.Merge(digest, missed)
		delete(g.missed, address)
	}
	go g.exchange(ctx, address, digest)
}

// maxMissed bounds the failures, and the marks, that are kept for a partner that is busy.
const maxMissed = 64

// miss keeps the rumors of a digest for a partner. g.mu is held.
func (g *Gossip) miss(address string, digest *gossippb.Digest) {
	missed := g.missed[address]
	if missed == nil {
		missed = &gossippb.Digest{}
		g.missed[address] = missed
	}
	if len(missed.Failed) >= maxMissed || len(missed.Part) >= maxMissed || len(missed.Marks.GetCrashed()) >= maxMissed {
		return
	}
	proto.Merge(missed, &gossippb.Digest{
		Failed: digest.Failed, Failure: digest.Failure, FailedAgeMs: digest.FailedAgeMs,
		Part: digest.Part, Holder: digest.Holder, Marks: digest.Marks,
	})
}
