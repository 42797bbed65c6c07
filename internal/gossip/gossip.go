// Package gossip lets routers that serve routes act together: each tells the
// others what it runs, which replicas failed it and which hold what, and learns
// from them how new their knowledge is.
//
//	Exchange   what I run and saw  ->  how new your knowledge is
//	Knowledge  my version and mark ->  the configuration and replicas, if newer
//
// A small fleet exchanges by calls, each with each. In a large one the same is told in
// datagrams, and only some of it is answered (ask.go).
//
// Everything told is a hint but for the proof of the configuration, which is
// dated from the time of asking less the age that was answered. A router that is
// told nothing works on by itself.
package gossip

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/membership"
	"github.com/croftyard/croftyard/pkg/poison"
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
	// Poison holds the marks against requests; nil: marks of its own.
	Poison *poison.Tracker
}

const (
	// maxPartners is up to how many members are all partners: what that takes grows with
	// their square. There is room for some that were replaced and not yet forgotten, so
	// that a small fleet does not change its manner for it.
	maxPartners = 11
	// maxRows bounds the members that one hello tells.
	maxRows = 16
	// helloRounds is after how many rounds members are told again.
	helloRounds = 8
	// largeRoundFactor is how many rounds of a small fleet make one of a large one, in
	// which a router has more partners and tells them of its line. While many replicas
	// are idle each round is one: the others are nearer to the bound then, and what is
	// counted late piles up beyond it.
	largeRoundFactor = 2
	// largeHelloRounds is helloRounds of a large fleet, where members that are new and
	// those that live are told besides.
	largeHelloRounds = 8
	// callTimeout bounds an exchange, and learnTimeout the taking of another
	// router's knowledge, which may be large and come over a narrow link.
	callTimeout      = 500 * time.Millisecond
	knowledgeTimeout = time.Second
	// keptTimeout is for how long a kept connection may leave an exchange without an
	// answer: routers answer in some ms, and in half a round the call on a new one
	// still ends before the next round begins, so that none is lost. The taking of
	// knowledge has no such bound: it follows an exchange on the same connection, and
	// what comes over a narrow link would have to come twice.
	keptTimeout = 150 * time.Millisecond
)

// Gossip is safe for concurrent use.
type Gossip struct {
	options  Options
	log      *event.Log
	watcher  *watch.Watcher
	balancer *balance.Balancer
	poison   *poison.Tracker
	meter    *peer.Meter
	client   *peer.Client
	server   *peer.Server
	// datagrams carry what is told in a large fleet; unsent counts those that were not.
	datagrams *peer.Datagrams
	unsent    atomic.Uint64

	// holdersKnown: the holders of parts are known, from a peer or from the engines.
	holdersKnown atomic.Bool
	// fetching: another router is being asked for its knowledge.
	fetching atomic.Bool
	// budget bounds what is passed on; refused counts who was not answered for it.
	budget  sendBudget
	refused atomic.Uint64
	// config and listing are what was passed on last.
	config  atomic.Pointer[packed[uint64]]
	listing atomic.Pointer[packed[listKey]]

	mu      sync.Mutex
	members *membership.Table
	// partners are those of the last round.
	partners membership.Partners
	busy     map[string]bool
	// deferred are the rumors for partners that were busy.
	deferred map[string]*gossippb.Digest
	// plain are the members that name lists as older builds do.
	plain map[string]bool
	// centres are the members' data centres, as they told.
	centres map[string]string
	// announcedChanges is the count of changes of the members that the balancer was told of.
	announcedChanges uint64
	round            int
	hellos           int
	stopped          bool
	// queries are those that were not answered, by number; turns counts the partners
	// that were asked in turn.
	queries     map[uint32]query
	lastQuery   uint32
	queryOffset int
	// recentHellos are the routers that were asked lately of which data centre they are.
	recentHellos map[string]time.Time
	// ctx ends with the gossip.
	ctx    context.Context
	cancel context.CancelFunc
}

// Start listens for other routers.
func Start(o Options, f *watch.Watcher, b *balance.Balancer, log *event.Log) (*Gossip, error) {
	if o.Poison == nil {
		o.Poison = poison.New(poison.Options{})
	}
	meter := &peer.Meter{}
	g := &Gossip{
		options:      o,
		log:          log,
		watcher:      f,
		balancer:     b,
		poison:       o.Poison,
		meter:        meter,
		client:       peer.NewClient(meter),
		busy:         make(map[string]bool),
		deferred:     make(map[string]*gossippb.Digest),
		centres:      make(map[string]string),
		plain:        make(map[string]bool),
		queries:      make(map[uint32]query),
		recentHellos: make(map[string]time.Time),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	err := g.listen()
	for attempt := 1; err != nil && strings.HasSuffix(o.Address, ":0") && attempt < portAttempts; attempt++ {
		err = g.listen()
	}
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return g, nil
}

// portAttempts is how often a port is drawn, where the settings leave it to the system:
// one that is free for connections may be taken for datagrams.
const portAttempts = 5

// listen opens the address for connections and for datagrams.
//
// Others that know this router's address call as soon as it listens, and its table
// of members has that address in it: they wait. One that started among four others
// met a call without a table, and ended.
func (g *Gossip) listen() error {
	g.mu.Lock()
	server, err := peer.ListenWith(g.options.Address, func(mux *drpcmux.Mux) error {
		return gossippb.DRPCRegisterGossip(mux, g)
	})
	if err != nil {
		g.mu.Unlock()
		return err
	}
	g.server = server
	g.members = membership.New(server.Address(), g.options.Seeds, maxPartners)
	g.datagrams, err = peer.ListenDatagrams(server.Address(), g.meter, g.handleDatagram)
	g.mu.Unlock()
	if err != nil {
		server.Close()
	}
	return err
}

// Address returns where the others reach this router.
func (g *Gossip) Address() string { return g.server.Address() }

// Rank returns this router's place among those that it knows.
func (g *Gossip) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Rank()
}

// HoldersKnown tells whether it is known who holds which parts.
func (g *Gossip) HoldersKnown() bool { return g.holdersKnown.Load() }

// SetHoldersKnown notes that the engines were asked, so that no peer has to be.
func (g *Gossip) SetHoldersKnown() { g.holdersKnown.Store(true) }

// OwnsTask tells whether, of the routers known, this one is to do a task: each task
// is one router's, as long as all know the same routers.
func (g *Gossip) OwnsTask(task string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.OwnsTask(task)
}

// Bytes returns the bytes sent to and received from the others.
func (g *Gossip) Bytes() (sent, received uint64) { return g.meter.Bytes() }

// MemberCount returns the number of routers known, this one included.
func (g *Gossip) MemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Len()
}

// Run exchanges with the others until ctx ends, and then tells them.
func (g *Gossip) Run(ctx context.Context) {
	round := time.NewTicker(g.options.Period)
	defer round.Stop()
	look := time.NewTicker(g.options.Period / silenceChecks)
	defer look.Stop()
	g.runRound(ctx)
	var told, marked <-chan time.Time
	for {
		news, _ := g.watcher.Updates()
		if told != nil {
			news = nil
		}
		select {
		case <-ctx.Done():
			g.stop()
			return
		case <-news:
			told = time.After(newsDelay)
		case <-told:
			told = nil
			g.sendNews(steady.Now())
		case <-g.poison.Updates():
			if marked == nil {
				marked = time.After(marksDelay)
			}
		case <-marked:
			marked = nil
			g.sendMarks(ctx, steady.Now())
		case <-round.C:
			g.runRound(ctx)
		case <-look.C:
			g.reportSilentCentres(steady.Now())
		}
	}
}

func (g *Gossip) stop() {
	g.cancel()
	g.datagrams.Close()
	g.client.Close()
	g.server.Close()
}

// Leave tells the others that this router stops.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
}
