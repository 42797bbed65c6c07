package router

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/router/pause"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/placement"
)

// sendDigests tells the partners this router's load, period by period.
func (r *Router) sendDigests(ctx context.Context) error {
	for pause.For(ctx, r.jitter(r.digestPeriod())) {
		r.tick()
		r.sendRound(ctx)
	}
	return nil
}

func (r *Router) digestPeriod() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fleet.ScaledPeriod(r.settings.Limits.DigestPeriod, r.fleetSize())
}

// tick refreshes what ages: suspects that may be tried again, loads, the parts
// of the surge limits.
func (r *Router) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	r.board.DropStale(now)
	r.view.DropExpired(now)
	for name, seen := range r.leavingSeen {
		if now.Sub(seen) > fleet.StaleAfter {
			delete(r.leavingSeen, name)
		}
	}
	r.refreshView()
	for _, e := range r.engines {
		e.ExpireCounts(now)
	}
	for _, p := range r.pools {
		p.refresh(r.board)
	}
	routers := r.coveredRouters()
	r.limits.VisitDemands(now, func(organisation string, _ float64) {
		r.limits.SetFraction(now, organisation, r.board.OthersDemand(shortName(organisation)), routers)
	})
}

// fleetSize is the number of live routers in this data centre, itself counted.
func (r *Router) fleetSize() int {
	n := 1
	for _, other := range r.routers {
		if other.DataCentre == r.settings.DataCentre {
			n++
		}
	}
	return n
}

// peerHashes returns the hashes of the other live routers in this data centre.
func (r *Router) peerHashes() []uint64 {
	var hashes []uint64
	for _, other := range r.routers {
		if other.DataCentre == r.settings.DataCentre {
			hashes = append(hashes, placement.Hash(other.Name))
		}
	}
	return hashes
}

// coveredRouters is how many routers of this data centre the digests at hand cover, itself
// counted. In a large one each partner stands for about as many others as the next.
func (r *Router) coveredRouters() int {
	hashes := r.peerHashes()
	partners := fleet.PartnersOf(r.selfHash, hashes)
	return 1 + len(hashes)*r.board.Heard(partners)/max(partners.Len(), 1)
}

// message is a digest on its way to one peer.
type message struct {
	to     fleet.Instance
	digest *peerpb.Digest
}

func (r *Router) sendRound(ctx context.Context) {
	var round errgroup.Group
	for _, m := range r.messages() {
		round.Go(func() error {
			r.sendDigest(ctx, m)
			return nil
		})
	}
	// No function of the round returns an error; failures are noted in the view.
	_ = round.Wait()
}

func (r *Router) messages() []message {
	r.mu.Lock()
	defer r.mu.Unlock()
	peers := make(map[uint64]fleet.Instance)
	var hashes []uint64
	for _, other := range r.routers {
		if other.DataCentre != r.settings.DataCentre {
			continue
		}
		hash := placement.Hash(other.Name)
		peers[hash] = other
		hashes = append(hashes, hash)
	}
	own := r.ownDigest()
	messages := r.handoverMessages(peers)
	partners := fleet.PartnersOf(r.selfHash, hashes)
	direct := peer.EncodeDigest(own)
	var line []fleet.ID
	for _, hash := range partners.Direct {
		messages = append(messages, message{to: peers[hash], digest: direct})
		line = append(line, fleet.ShortID(hash))
	}
	if len(partners.Relayed) == 0 {
		return messages
	}
	relayed := peer.EncodeDigest(r.board.Aggregate(own, line))
	for _, hash := range partners.Relayed {
		messages = append(messages, message{to: peers[hash], digest: relayed})
	}
	return messages
}

// handoverMessages tell this router's counts at engines to their owners, now
// and before, while views of the owners differ; usually there are none.
func (r *Router) handoverMessages(peers map[uint64]fleet.Instance) []message {
	counts := make(map[uint64][]fleet.EngineCount)
	now := steady.Now()
	for hash, e := range r.engines {
		if e.InFlight == 0 {
			continue
		}
		r.handover.NotifyOwners(hash, r.selfHash, now, func(router uint64) {
			counts[router] = append(counts[router], fleet.EngineCount{Engine: hash, InFlight: e.InFlight})
		})
	}
	var messages []message
	for router, engines := range counts {
		to, known := peers[router]
		if !known {
			continue
		}
		d := fleet.Digest{Sender: r.selfID, Engines: engines, Version: r.config.Version()}
		messages = append(messages, message{to: to, digest: peer.EncodeDigest(d)})
	}
	return messages
}

// ownDigest is what this router tells of itself. The caller holds the mutex.
func (r *Router) ownDigest() fleet.Digest {
	r.sequence++
	var loads []fleet.GroupLoad
	for name, p := range r.pools {
		if name.DataCentre == r.settings.DataCentre {
			loads = append(loads, p.digest(r.settings.Name)...)
		}
	}
	demands := make(map[fleet.ID]float64)
	r.limits.VisitNearLimit(steady.Now(), r.fleetSize(), func(organisation string, demand float64) {
		demands[shortName(organisation)] = demand
	})
	d := fleet.Digest{
		Sender:   r.selfID,
		Sequence: r.sequence,
		Loads:    loads,
		Demands:  fleet.LargestDemands(demands),
		Version:  r.config.Version(),
		Stopping: r.draining.Load(),
	}
	for name := range r.leavingSeen {
		d.Leaving = append(d.Leaving, shortName(name))
	}
	return d
}

func (r *Router) sendDigest(ctx context.Context, m message) {
	reply, err := r.peers.Exchange(ctx, m.to.Address, m.digest)
	if err != nil {
		if ctx.Err() == nil {
			r.failed(m.to.Name, event.PeerLost, err)
		}
		return
	}
	r.reached(m.to.Name, event.PeerBack)
	r.config.Heard(reply.Version, m.to.Address)
}

// takeDigest serves a digest of a peer.
func (r *Router) takeDigest(m *peerpb.Digest) *peerpb.DigestReply {
	d := peer.DecodeDigest(m)
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	if len(d.Engines) > 0 {
		r.takeCounts(d, now)
		return &peerpb.DigestReply{Version: r.config.Version()}
	}
	r.board.Put(d, now)
	r.takeLeaving(d.Leaving, now)
	if d.Stopping {
		r.refreshView()
	}
	for _, p := range r.pools {
		p.refresh(r.board)
	}
	if address := r.addressOf(d.Sender); address != "" {
		r.config.Heard(d.Version, address)
	}
	return &peerpb.DigestReply{Version: r.config.Version()}
}

// takeCounts takes another router's counts at engines that this one owns.
func (r *Router) takeCounts(d fleet.Digest, now time.Time) {
	for _, c := range d.Engines {
		if e := r.engines[c.Engine]; e != nil {
			e.ObservePeerCount(uint64(d.Sender), c.InFlight, now)
		}
	}
}

// takeLeaving notes the targets that a peer saw leaving. They are not told on:
// the word reaches everyone from where it was seen, and so cannot go round.
func (r *Router) takeLeaving(leaving []fleet.ID, now time.Time) {
	if len(leaving) == 0 {
		return
	}
	told := make(map[fleet.ID]bool, len(leaving))
	for _, id := range leaving {
		told[id] = true
	}
	r.view.ForEach(now, func(i fleet.Instance, health fleet.Health) {
		if told[shortName(i.Name)] && health != fleet.Departing {
			r.view.MarkLeaving(i.Name, now)
		}
	})
	r.closeEngines(now)
}

func (r *Router) addressOf(router fleet.ID) string {
	for _, other := range r.routers {
		if shortName(other.Name) == router {
			return other.Address
		}
	}
	return ""
}

// announceStop tells the partners at once that this router stops.
func (r *Router) announceStop(ctx context.Context) {
	const longest = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	r.sendRound(ctx)
}
