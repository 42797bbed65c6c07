// Package gossip lets routers that serve routes act together: each tells the
// others what it runs, which replicas failed it and which hold what, and learns
// from them how new their knowledge is.
//
//	Exchange   what I run and saw  ->  how new your knowledge is
//	Knowledge  my version and mark ->  the configuration and replicas, if newer
//
// Everything told is a hint but for the proof of the configuration, which is
// dated from the time of asking less the age that was answered. A router that is
// told nothing works on by itself.
package gossip

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmux"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/follow"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/membership"
	"github.com/croftyard/croftyard/pkg/route"
)

// Options of a gossip.
type Options struct {
	// Address is where the others reach this router.
	Address string
	// DataCentre is this router's.
	DataCentre string
	Seeds      []string
	// Period is the pause between two rounds.
	Period time.Duration
}

const (
	// maxPartners is up to how many members are all partners: with a round each
	// 300 ms and some 130 bytes sent in each exchange, about 4 KB a second.
	maxPartners = 8
	// maxRows bounds the members that one hello tells.
	maxRows = 16
	// helloRounds is after how many rounds members are told again.
	helloRounds = 8
	// largeRounds is how many rounds of a small fleet make one of a large one, in
	// which a router has more partners and tells them of its line.
	largeRounds = 2
	// largeHelloRounds is helloRounds of a large fleet, in which more are told.
	largeHelloRounds = 32
	// callTimeout bounds an exchange, and learnTimeout the taking of another
	// router's knowledge, which may be large and come over a narrow link.
	callTimeout  = 500 * time.Millisecond
	learnTimeout = time.Second
)

// Gossip is safe for concurrent use.
type Gossip struct {
	options  Options
	log      *event.Log
	follower *follow.Follower
	balancer *balance.Balancer
	meter    *peer.Meter
	client   *peer.Client
	server   *peer.Server

	// recalled: the holders of parts are known, from a peer or from the engines.
	recalled atomic.Bool
	// learning: another router is being asked for its knowledge.
	learning atomic.Bool
	// encoded is the configuration as it was passed on last.
	encoded atomic.Pointer[encodedConfig]

	mu      sync.Mutex
	members *membership.Table
	busy    map[string]bool
	// centres are the members' data centres, as they told.
	centres map[string]string
	round   int
	hellos  int
	stopped bool
}

// Start listens for other routers.
func Start(o Options, f *follow.Follower, b *balance.Balancer, log *event.Log) (*Gossip, error) {
	meter := &peer.Meter{}
	g := &Gossip{
		options:  o,
		log:      log,
		follower: f,
		balancer: b,
		meter:    meter,
		client:   peer.NewClient(meter),
		busy:     make(map[string]bool),
		centres:  make(map[string]string),
	}
	server, err := peer.ListenWith(o.Address, func(mux *drpcmux.Mux) error {
		return gossippb.DRPCRegisterGossip(mux, g)
	})
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	g.server = server
	g.members = membership.New(server.Address(), o.Seeds, maxPartners)
	return g, nil
}

// Address returns where the others reach this router.
func (g *Gossip) Address() string { return g.server.Address() }

// Rank returns this router's place among those that it knows.
func (g *Gossip) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Rank()
}

// Recalled tells whether it is known who holds which parts.
func (g *Gossip) Recalled() bool { return g.recalled.Load() }

// SetRecalled notes that the engines were asked, so that no peer has to be.
func (g *Gossip) SetRecalled() { g.recalled.Store(true) }

// Mine tells whether, of the routers known, this one is to do a task: each task
// is one router's, as long as all know the same routers.
func (g *Gossip) Mine(task string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Mine(task)
}

// Bytes returns the bytes sent to and received from the others.
func (g *Gossip) Bytes() (sent, received uint64) { return g.meter.Bytes() }

// Members returns the number of routers known, this one included.
func (g *Gossip) Members() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Len()
}

// Run exchanges with the others until ctx ends, and then tells them.
func (g *Gossip) Run(ctx context.Context) {
	round := time.NewTicker(g.options.Period)
	defer round.Stop()
	look := time.NewTicker(g.options.Period / silenceLooks)
	defer look.Stop()
	g.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			g.stop()
			return
		case <-round.C:
			g.tick(ctx)
		case <-look.C:
			g.noteSilence(time.Now())
		}
	}
}

func (g *Gossip) stop() {
	g.client.Close()
	g.server.Close()
}

// Leave tells the others that this router stops.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
}

func (g *Gossip) tick(ctx context.Context) {
	now := time.Now()
	g.mu.Lock()
	lost := g.members.Expire(now)
	large := g.members.Large()
	partners := g.members.Partners(now)
	g.round++
	round := g.round
	g.mu.Unlock()
	g.balancer.SetLarge(large)
	g.balancer.SetRecalled(g.recalled.Load())
	g.noteLost(lost)
	if large && round%largeRounds != 0 {
		return
	}
	d := g.digests(now, large)
	own, line := d.own, d.line
	switch {
	case large && round%largeHelloRounds == 0:
		own, line = d.with(own), d.with(line)
	case !large && round%helloRounds == 0:
		own = d.with(own)
	}
	for _, address := range partners.Line {
		g.start(ctx, address, own, d)
	}
	for _, address := range partners.Relayed {
		g.start(ctx, address, line, d)
	}
	for _, address := range partners.Seeds {
		// Whose line a seed is of is not known.
		g.start(ctx, address, &gossippb.Digest{Sender: own.Sender, Stopping: own.Stopping}, d)
	}
}

// noteLost forgets members that fell silent.
func (g *Gossip) noteLost(members []string) {
	for _, address := range members {
		g.balancer.Forget(address)
		g.log.Write(event.PeerLost, event.F("peer", address))
	}
}

// noteSilence notes the data centres that fell silent. One that is heard again
// is noted at once.
func (g *Gossip) noteSilence(now time.Time) {
	g.mu.Lock()
	silent := g.silentCentres(now)
	g.mu.Unlock()
	for _, name := range silent {
		if g.balancer.CentreSilent(name, true) {
			g.log.Write(event.CentreSilent, event.F("data_centre", name))
		}
	}
}

// start begins an exchange with a partner unless one is under way. Who may not
// know this router is told hello.
func (g *Gossip) start(ctx context.Context, address string, digest *gossippb.Digest, d digests) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy[address] {
		return
	}
	g.busy[address] = true
	if g.centres[address] == "" && !digest.Hello {
		digest = d.with(digest)
	}
	go g.exchange(ctx, address, digest)
}

const (
	// silentRounds is for how many rounds all members of a data centre are silent
	// before it is taken to be cut off. Each of them is heard twice a round, when
	// it asks and when it answers, so that is several times missed already; and
	// the first that is heard ends it.
	silentRounds = 1.3
	// silenceLooks is how often in a round that is looked at.
	silenceLooks = 4
)

// period is the pause between two rounds of this router. g.mu is held.
func (g *Gossip) period() time.Duration {
	if g.members.Large() {
		return largeRounds * g.options.Period
	}
	return g.options.Period
}

// silentCentres returns the other data centres of which no member was heard for
// a moment, while somebody was. One member alone may have died. In a large fleet
// those count that speak to this router itself: of the others it hears late.
// g.mu is held.
func (g *Gossip) silentCentres(now time.Time) []string {
	limit := time.Duration(silentRounds * float64(g.period()))
	members, silent := make(map[string]int), make(map[string]int)
	anyone := false
	rows := g.members.Rows(now)
	if g.members.Large() {
		rows = g.members.Direct(now)
	}
	for _, row := range rows {
		centre := g.centres[row.Address]
		members[centre]++
		if row.Age > limit {
			silent[centre]++
		} else {
			anyone = true
		}
	}
	var names []string
	for centre, n := range silent {
		if anyone && centre != "" && centre != g.options.DataCentre && n == members[centre] && n > 1 {
			names = append(names, centre)
		}
	}
	return names
}

// exchange makes one exchange and takes the other's knowledge if it is newer.
func (g *Gossip) exchange(ctx context.Context, address string, digest *gossippb.Digest) {
	defer func() {
		g.mu.Lock()
		delete(g.busy, address)
		g.mu.Unlock()
	}()
	asked := time.Now()
	var reply *gossippb.Freshness
	err := g.client.Control(ctx, address, callTimeout, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = gossippb.NewDRPCGossipClient(conn).Exchange(ctx, digest)
		return err
	})
	if err != nil {
		return
	}
	g.meter.Called(digest, reply)
	now := time.Now()
	if reply.Stopping {
		g.left(address, now)
	} else {
		g.heard(address, reply.DataCentre, now)
	}
	g.mu.Lock()
	g.members.Merge(decodeRows(reply.Member, reply.HeardMs), now)
	g.mu.Unlock()
	if reply.ProofMs == nil {
		return
	}
	proven := asked.Add(-milliseconds(reply.GetProofMs()))
	newer := g.follower.ProvenBy(reply.Version, reply.Mark, proven)
	if newer || !g.recalled.Load() {
		g.learn(ctx, address)
	}
}

func (g *Gossip) heard(address, dataCentre string, now time.Time) {
	g.mu.Lock()
	fresh := g.members.Heard(address, now)
	if dataCentre != "" {
		g.centres[address] = dataCentre
	}
	centre := g.centres[address]
	g.mu.Unlock()
	if g.balancer.CentreSilent(centre, false) {
		g.log.Write(event.CentreHeard, event.F("data_centre", centre), event.F("peer", address))
	}
	if fresh {
		g.log.Write(event.PeerBack, event.F("peer", address))
	}
}

// left notes that a member said that it stops.
func (g *Gossip) left(address string, now time.Time) {
	g.mu.Lock()
	g.members.Left(address, now)
	g.mu.Unlock()
	g.balancer.Forget(address)
}

// learn takes the knowledge of another router, of one at a time: when something
// is new, many have it.
func (g *Gossip) learn(ctx context.Context, address string) {
	if !g.learning.CompareAndSwap(false, true) {
		return
	}
	defer g.learning.Store(false)
	asked := time.Now()
	version, mark := g.follower.Version()
	var reply *gossippb.KnowledgeReply
	err := g.client.Control(ctx, address, learnTimeout, func(ctx context.Context, conn drpc.Conn) (err error) {
		reply, err = gossippb.NewDRPCGossipClient(conn).Knowledge(ctx, &gossippb.KnowledgeRequest{Version: version, Mark: mark, Holders: !g.recalled.Load()})
		return err
	})
	if err != nil || reply.ProofMs == nil {
		return
	}
	g.meter.Called(&gossippb.KnowledgeRequest{}, reply)
	knowledge := follow.Knowledge{Version: reply.Version, Mark: reply.Mark}
	if len(reply.Configuration) > 0 {
		knowledge.Config = &route.Config{}
		err = unpack(reply.Configuration, knowledge.Config)
	}
	if err == nil && len(reply.Replicas) > 0 {
		knowledge.Replicas = []directory.Replica{}
		err = unpack(reply.Replicas, &knowledge.Replicas)
	}
	if err != nil {
		g.log.Write(event.ConfigRejected, event.F("error", err), event.F("peer", address))
		return
	}
	g.follower.Learn(knowledge, asked.Add(-milliseconds(reply.GetProofMs())), address)
	if len(reply.Part) > 0 && g.follower.Known() {
		g.balancer.Recall(decodeHolders(reply.Part, reply.Holder), time.Now())
		g.recalled.Store(true)
	}
}
