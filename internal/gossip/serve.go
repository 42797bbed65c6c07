package gossip

import (
	"context"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
)

// Exchange implements the generated interface.
func (g *Gossip) Exchange(_ context.Context, d *gossippb.Digest) (*gossippb.Freshness, error) {
	now := steady.Now()
	g.applyDigest(d, now)
	reply := g.answer(d, now)
	g.meter.Received(d, reply)
	return reply, nil
}

// applyDigest applies a digest from another router.
func (g *Gossip) applyDigest(d *gossippb.Digest, now time.Time) {
	if err := checkMarks(d); err != nil {
		g.rejectMessage(d.Sender, err)
		return
	}
	if d.Stopping {
		g.recordLeave(d.Sender, now)
	} else {
		g.recordMessage(d.Sender, d.DataCentre, !d.AsksOnly, now)
	}
	switch {
	case d.Stopping:
	case d.AsksOnly:
		g.balancer.MergeRumors(decodeDigest(d, now).Rumors, now)
	default:
		g.mergeCounts(d, now)
		g.mergeRollouts(d, now)
		g.mergeReport(d, now)
	}
	g.mergeMarks(d, now)
	g.recordForm(d)
	if d.ReadFailedMs != nil {
		g.watcher.ObservePeerFailure(now.Add(-milliseconds(d.GetReadFailedMs())))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members.Merge(decodeRows(d.Member, d.HeardMs), now)
	g.members.MergeAliveHashes(d.Alive, now)
	g.recordCount(d, now)
}

// answer returns how new this router's knowledge is.
func (g *Gossip) answer(d *gossippb.Digest, now time.Time) *gossippb.Freshness {
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := &gossippb.Freshness{Stopping: g.stopped}
	if d.Hello {
		reply.DataCentre = g.options.DataCentre
		reply.Member, reply.HeardMs = g.rows(now)
		if relay, found := g.members.RelayFor(d.Sender, now); found {
			reply.Member = append(reply.Member, relay.Address)
			reply.HeardMs = append(reply.HeardMs, uint32(relay.Age.Milliseconds()))
		}
		reply.Marks = encodeMarks(g.poison.Sample(maxHelloMarks), now)
		reply.PartMarks = encodeMarks(g.parts.Sample(maxHelloParts), now)
		g.addStatements(reply, now)
	}
	word, age := g.ownDigest(now)
	if g.plain[d.Sender] {
		word.ListHash = g.watcher.PlainHash()
	}
	reply.Version, reply.Mark, reply.Generation, reply.Facts, reply.ProofMs = word.Version, word.ListHash, word.Generation, word.FactsHash, age
	reply.ListRevision = word.Revision
	return reply
}

// ownDigest returns what this router knows and the age of the proof, which is nil before
// there is one.
func (g *Gossip) ownDigest(now time.Time) (digest watch.Digest, proofMs *uint32) {
	if !g.watcher.Initialized() {
		return digest, nil
	}
	age := uint32(g.watcher.Age(now).Milliseconds()) + 1
	return g.watcher.Digest(), &age
}

// addOwnDigest adds what this router knows to a digest.
func (g *Gossip) addOwnDigest(d *gossippb.Digest, now time.Time) {
	if age, failed := g.watcher.LastFailure(now); failed {
		milliseconds := uint32(age.Milliseconds())
		d.ReadFailedMs = &milliseconds
	}
	word, age := g.ownDigest(now)
	d.Version, d.Mark, d.Generation, d.Facts, d.ProofMs = word.Version, word.ListHash, word.Generation, word.FactsHash, age
}

// digestOf returns what the sender of a digest or an answer knows.
func digestOf(m interface {
	GetVersion() uint64
	GetMark() uint64
	GetGeneration() uint64
	GetFacts() uint32
}) watch.Digest {
	d := watch.Digest{Version: m.GetVersion(), ListHash: m.GetMark(), Generation: m.GetGeneration(), FactsHash: m.GetFacts()}
	if answer, is := m.(*gossippb.Freshness); is {
		d.Revision = answer.ListRevision
	}
	return d
}

// mergeCounts merges the counts that a router sends for itself or for its line.
func (g *Gossip) mergeCounts(d *gossippb.Digest, now time.Time) {
	update := decodeDigest(d, now)
	if d.Lines > 0 {
		line := balance.LineCounts{Counts: update.Running, Singles: decodeSingles(d.Singles)}
		g.balancer.MergeLine(balance.Line{Number: int(d.Line), Total: int(d.Lines)}, line, update.Rumors, now)
		return
	}
	g.balancer.MergePeer(d.Sender, update, now)
}

// packed is one state of a value in wire form.
type packed[K comparable] struct {
	key  K
	text []byte
}

// listKey identifies an encoded list or delta.
type listKey struct {
	mark uint64
	// since is the revision that a delta starts from; 0 for a whole list.
	since uint64
	// second is when the list was read. Up to a second later the remaining cold times count
	// as the same.
	second int64
}

// packOnce packs each state of a value once: when something is new, many routers request
// it.
func packOnce[K comparable](last *atomic.Pointer[packed[K]], key K, value any) ([]byte, error) {
	if p := last.Load(); p != nil && p.key == key {
		return p.text, nil
	}
	text, err := pack(value)
	if err != nil {
		return nil, err
	}
	last.Store(&packed[K]{key, text})
	return text, nil
}

// maxPackedLists is how many encoded lists and deltas are kept: routers request what has
// changed since the few last reads.
const maxPackedLists = 8

// packList packs a list once for all routers that request it.
func (g *Gossip) packList(key listKey, list *directory.Listing) ([]byte, error) {
	if text, known := g.lists.Get(key); known {
		return text, nil
	}
	text, err := pack(list)
	if err == nil {
		g.lists.Add(key, text)
	}
	return text, err
}

// maxGenerationAge caps the age of a generation that is sent. It is far above any hold.
const maxGenerationAge = time.Hour

// Knowledge implements the generated interface.
func (g *Gossip) Knowledge(_ context.Context, r *gossippb.KnowledgeRequest) (*gossippb.KnowledgeReply, error) {
	if !g.watcher.Initialized() {
		return &gossippb.KnowledgeReply{}, nil
	}
	if g.budget.full(steady.Now()) {
		// Making a reply of a long list takes longer than sending it.
		g.refused.Add(1)
		return &gossippb.KnowledgeReply{}, nil
	}
	k, age := g.watcher.Knowledge(watch.KnowledgeRequest{
		Version: r.Version, ListHash: r.Mark, FactsHash: r.Facts, PartHashes: r.Sums, Revision: r.ListRevision, Generation: r.Generation,
	}, steady.Now())
	milliseconds := uint32(age.Milliseconds()) + 1
	reply := &gossippb.KnowledgeReply{Version: k.Version, Mark: k.ListHash, Generation: k.Generation, ProofMs: &milliseconds, ListRevision: k.Revision}
	reply.GenerationAgeMs = uint32(min(k.GenerationAge, maxGenerationAge).Milliseconds())
	if err := g.encodeKnowledge(reply, k); err != nil {
		return nil, err
	}
	if r.Holders && g.holdersKnown.Load() {
		reply.Part, reply.Holder = encodeHolders(g.balancer.Holders(steady.Now()))
	}
	if !g.budget.allow(proto.Size(reply), steady.Now()) {
		// The caller keeps what it has, and queries the next router that it hears from.
		g.refused.Add(1)
		return &gossippb.KnowledgeReply{}, nil
	}
	g.meter.Received(r, reply)
	return reply, nil
}

// encodeKnowledge adds the configuration and the list, or an excerpt of it.
func (g *Gossip) encodeKnowledge(reply *gossippb.KnowledgeReply, k watch.Knowledge) (err error) {
	if k.Config != nil {
		if reply.Configuration, err = packOnce(&g.config, k.Version, k.Config); err != nil {
			return err
		}
	}
	if k.Facts != nil {
		if reply.Facts, err = pack(k.Facts); err != nil {
			return err
		}
	}
	switch {
	case k.Excerpt != nil:
		reply.Parts, reply.Differ = uint32(k.Excerpt.PartCount), k.Excerpt.DifferingParts
		reply.Replicas, err = pack(&k.Excerpt.Listing)
	case k.Delta != nil:
		reply.Since, reply.Removed = k.Since, k.Delta.Removed
		reply.Replicas, err = g.packList(listKey{k.ListHash, k.Since, k.ListRead.Unix()}, &k.Delta.Listing)
	case k.Listing != nil:
		reply.Replicas, err = g.packList(listKey{k.ListHash, 0, k.ListRead.Unix()}, k.Listing)
	}
	return err
}
