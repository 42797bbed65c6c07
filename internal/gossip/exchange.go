package gossip

import (
	"context"
	"fmt"
	"time"

	"storj.io/drpc"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// exchange performs one exchange and fetches the peer's knowledge if it is newer.
func (g *Gossip) exchange(ctx context.Context, address string, digest *gossippb.Digest) {
	defer func() {
		g.mu.Lock()
		delete(g.busy, address)
		g.mu.Unlock()
	}()
	asked := steady.Now()
	var reply *gossippb.Freshness
	err := g.client.Control(ctx, address, peer.Bound{Call: g.callWait.exchange, Kept: keptTimeout}, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = gossippb.NewDRPCGossipClient(conn).Exchange(ctx, digest)
		return err
	})
	if err != nil {
		return
	}
	g.meter.Called(digest, reply)
	if g.applyFreshness(address, reply, asked, steady.Now()) {
		g.fetchKnowledge(ctx, address, reply.ListRevision != 0)
	}
}

// applyFreshness applies the answer of a router that was queried at the time asked, and
// reports whether to fetch its knowledge.
func (g *Gossip) applyFreshness(address string, r *gossippb.Freshness, asked, now time.Time) bool {
	if err := checkAnswer(r); err != nil {
		g.rejectMessage(address, err)
		return false
	}
	if r.Stopping {
		g.recordLeave(address, now)
	} else {
		g.mu.Lock()
		regular := g.queriesAll()
		g.mu.Unlock()
		g.recordMessage(address, r.DataCentre, regular, now)
	}
	g.mu.Lock()
	g.members.Merge(decodeRows(r.Member, r.HeardMs), now)
	g.mu.Unlock()
	g.mergeMarks(r, now)
	g.mergeStatements(r, asked, now)
	g.watcher.ObservePeerAnswer(asked)
	if r.ProofMs == nil {
		return false
	}
	proven := asked.Add(-milliseconds(r.GetProofMs()))
	// Whether the source answers anybody is judged by the youngest age that the proof can
	// have.
	g.watcher.ObservePeerProof(asked, now.Add(-milliseconds(r.GetProofMs())))
	newer := g.watcher.ApplyPeerProof(digestOf(r), proven)
	return newer || !g.holdersKnown.Load()
}

// recordMessage records a message from a member, and whether the member sends one in each
// round.
func (g *Gossip) recordMessage(address, dataCentre string, regularly bool, now time.Time) {
	g.mu.Lock()
	record := g.members.RecordContact
	if regularly {
		record = g.members.RecordHeartbeat
	}
	added := record(address, now)
	delete(g.leaving, address)
	if dataCentre != "" {
		g.centres[address] = dataCentre
	}
	centre := g.centres[address]
	g.mu.Unlock()
	if g.balancer.SetCentreSilent(centre, false) {
		g.log.Write(event.CentreHeard, event.F("data_centre", centre), event.F("peer", address))
	}
	if added {
		g.log.Write(event.PeerBack, event.F("peer", address))
	}
}

// recordLeave records that a member announced its stop.
func (g *Gossip) recordLeave(address string, now time.Time) {
	g.mu.Lock()
	g.members.RecordLeave(address, now)
	if _, known := g.leaving[address]; !known {
		g.leaving[address] = now
	}
	g.mu.Unlock()
	g.forgetForm(address)
	g.balancer.RemovePeer(address)
	g.removeReport(address)
}

// fetchKnowledge fetches the knowledge of another router, from one at a time: when
// something is new, many routers have it. deltas is set if that router sends deltas.
func (g *Gossip) fetchKnowledge(ctx context.Context, address string, deltas bool) {
	if !g.fetching.CompareAndSwap(false, true) {
		return
	}
	defer g.fetching.Store(false)
	asked := steady.Now()
	have := g.watcher.KnowledgeRequest(deltas)
	request := &gossippb.KnowledgeRequest{
		Version: have.Version, Mark: have.ListHash, Facts: have.FactsHash, Sums: have.PartHashes, Holders: !g.holdersKnown.Load(),
		ListRevision: have.Revision, Generation: have.Generation,
	}
	var reply *gossippb.KnowledgeReply
	err := g.client.Control(ctx, address, peer.Bound{Call: g.callWait.knowledge}, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = gossippb.NewDRPCGossipClient(conn).Knowledge(ctx, request)
		return err
	})
	if err != nil || reply.ProofMs == nil {
		return
	}
	g.meter.Called(request, reply)
	knowledge, err := decodeKnowledge(reply, have)
	if err != nil {
		g.rejected.Add(1)
		g.log.Write(event.ConfigRejected, event.F("error", err), event.F("peer", address))
		return
	}
	g.watcher.ApplyKnowledge(knowledge, asked, asked.Add(-milliseconds(reply.GetProofMs())), address)
	if len(reply.Part) > 0 && g.watcher.Initialized() {
		g.balancer.MergeHolders(decodeHolders(reply.Part, reply.Holder), steady.Now())
		g.holdersKnown.Store(true)
	}
}

// decodeKnowledge decodes the reply to a router that already has some knowledge.
func decodeKnowledge(reply *gossippb.KnowledgeReply, have watch.KnowledgeRequest) (watch.Knowledge, error) {
	k := watch.Knowledge{Version: reply.Version, ListHash: reply.Mark, BaseHash: have.ListHash, Generation: reply.Generation, GenerationAge: milliseconds(reply.GenerationAgeMs), Since: reply.Since, Revision: reply.ListRevision}
	if len(reply.Facts) > 0 {
		k.Facts = &directory.Facts{}
		if err := unpack(reply.Facts, k.Facts); err != nil {
			return k, err
		}
	}
	if len(reply.Configuration) > 0 {
		k.Config = &route.Config{}
		if err := unpack(reply.Configuration, k.Config); err != nil {
			return k, err
		}
		if !k.Config.IsKeyRuleKnown() {
			// Routers of earlier builds do not send it. This one reads the configuration itself.
			k.Config = nil
		}
	}
	if len(reply.Replicas) == 0 {
		return k, nil
	}
	var listing directory.Listing
	if err := unpack(reply.Replicas, &listing); err != nil {
		return k, err
	}
	switch {
	case reply.Since != 0:
		k.Delta = &directory.Delta{Listing: listing, Removed: reply.Removed}
	case reply.Parts == 0:
		k.Listing = &listing
	case int(reply.Parts) == len(have.PartHashes):
		k.Excerpt = &directory.Excerpt{PartCount: int(reply.Parts), DifferingParts: reply.Differ, Listing: listing}
	default:
		return k, fmt.Errorf("%w: list has %d parts, requested %d", ErrMalformed, reply.Parts, len(have.PartHashes))
	}
	return k, nil
}
