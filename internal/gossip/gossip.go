// Package gossip shares state between the routers that serve routes: each sends the
// others its requests in flight, the failures of replicas that it saw and which replicas
// hold which parts of prompts, and learns how new their knowledge is.
//
//	Exchange   own requests and observations -> how new the peer's knowledge is
//	Knowledge  own version and list hash     -> the configuration and replicas, if newer
//
// In a small fleet each router calls each other one. A large fleet sends the same in
// datagrams, only some of which are answered (ask.go).
//
// All received state is a hint except the proof of the configuration, which is dated from
// the time of the query less the age in the answer. A router that receives nothing works
// by itself.
package gossip

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"storj.io/drpc/drpcmux"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/membership"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/relay"
	"github.com/croftyard/croftyard/pkg/retry"
)

// Options configures a Gossip.
type Options struct {
	// Address is where other routers reach this one.
	Address string
	// DataCentre is the data centre of this router.
	DataCentre string
	Seeds      []string
	// Period is the pause between two rounds.
	Period time.Duration
	// Poison holds the marks against requests; if nil, Start creates one.
	Poison *poison.Tracker
	// Parts holds the marks against parts of prompts. If nil, Start creates one.
	Parts *poison.PartTracker
	// Origins records at which versions streams began; if nil, Start creates one.
	Origins *origin.Tracker
	// RecallServed reads from the store which versions served before this router started, within
	// a bounded time, and reports whether the store has no record of a service. It may be nil.
	RecallServed func(service string) (unrecorded bool)
	// Held says what is known of the store's record of what crashes replicas; if nil, Start creates
	// one.
	Held *poison.Keeper
	// Retries is this router's part of the fleet's retries. If nil, the router has none to lend.
	Retries *retry.Budget
	// Overload holds the rates for admission control. Nil means that it is off: nothing is
	// sent of them and what others send is ignored.
	Overload OverloadReports
}

const (
	// maxPartners is up to how many members are all partners: the cost of that grows with
	// their square. It leaves room for members that were replaced and not yet forgotten,
	// so that a small fleet does not switch to the manner of a large one because of them.
	maxPartners = 11
	// maxRows bounds the members in one hello.
	maxRows = 16
	// helloRounds is the number of rounds between two hellos.
	helloRounds = 8
	// largeRoundFactor is how many rounds of a small fleet make one of a large fleet, in
	// which a router has more partners and sends them the counts of its line. While many
	// replicas are idle each round is one: the others are nearer to the bound then, and
	// requests that are counted late exceed it.
	largeRoundFactor = 2
	// largeHelloRounds is helloRounds of a large fleet, which also sends new and live
	// members between hellos.
	largeHelloRounds = 8
	// callTimeout bounds an exchange, and knowledgeTimeout fetching another router's
	// knowledge, which may be large and come over a narrow link.
	callTimeout      = 500 * time.Millisecond
	knowledgeTimeout = time.Second
	// keptTimeout is how long an exchange on a reused connection may go unanswered.
	// Routers answer in some ms, and with half a round the call on a new connection still
	// ends before the next round begins, so that no exchange is lost. Fetching knowledge
	// has no such bound: it follows an exchange on the same connection, and over a narrow
	// link the reply would have to be sent twice.
	keptTimeout = 150 * time.Millisecond
)

// callWait bounds an exchange with another router, and fetching its knowledge.
type callWait struct{ exchange, knowledge time.Duration }

// Gossip shares state with other routers. It is safe for concurrent use.
type Gossip struct {
	options  Options
	log      *event.Log
	watcher  *watch.Watcher
	balancer *balance.Balancer
	poison   *poison.Tracker
	parts    *poison.PartTracker
	meter    *peer.Meter
	client   *peer.Client
	server   *peer.Server
	// datagrams sends the messages of a large fleet; unsent counts those that could not
	// be sent.
	datagrams *peer.Datagrams
	unsent    atomic.Uint64

	// holdersKnown is set once the holders of parts are known, from a peer or from the
	// engines.
	holdersKnown atomic.Bool
	// fetching is set while another router's knowledge is fetched.
	fetching atomic.Bool
	// budget bounds the knowledge that is sent; refused counts the requests that exceeded
	// it.
	budget  sendBudget
	refused atomic.Uint64
	// rejected counts the messages that were not usable.
	rejected atomic.Uint64
	// config and lists cache the encoded values that were sent last.
	config atomic.Pointer[packed[uint64]]
	lists  *lru.Cache[listKey, []byte]

	mu      sync.Mutex
	members *membership.Table
	// partners are those of the last round.
	partners membership.Partners
	// view is the division of the fleet of the last round, reportSources are the sources of
	// overload reports, and contended is set while this router's reports contain shares.
	view          lineView
	reportSources map[string]bool
	contended     bool
	busy          map[string]bool
	// deferred holds the rumors for partners that were busy.
	deferred map[string]*gossippb.Digest
	// plain holds the members that hash lists as older builds do.
	plain map[string]bool
	// leaving holds when routers announced their stop.
	leaving map[string]time.Time
	// centres maps members to the data centres that they reported.
	centres map[string]string
	// announcedChanges is the change count of the members that were last passed to the
	// balancer.
	announcedChanges uint64
	// fetches is how often this router asked for all records of streams, fetchedAt when it last
	// did. fetched is when each other router last got those of this one.
	fetches   int
	fetchedAt time.Time
	fetched   map[string]time.Time
	round     int
	// largeRounds counts the rounds of a large fleet, pace decides when they are due.
	largeRounds int
	pace        roundPace
	hellos      int
	stopped     bool
	// queries holds the unanswered queries by number; queryOffset counts the partners
	// that were queried in turn. Numbers begin anywhere: an answer to the process that ran
	// at this address before would else be taken for one to this process.
	queries     map[uint32]query
	firstQuery  uint32
	lastQuery   uint32
	queryOffset int
	// recentHellos holds when routers were last asked for their data centre.
	recentHellos map[string]time.Time
	// originQueries are the open queries for the origins of streams.
	originQueries originQueries
	// pendingOrigins are records of streams whose senders are not known yet.
	pendingOrigins pendingOrigins
	originWait     originWait
	// callWait bounds the calls of other routers.
	callWait callWait
	// originListWait bounds the wait for a list of replicas if no router answers.
	originListWait time.Duration
	// servedQueries are the queries for the versions that the store's records name.
	servedQueries servedQueries
	// heldQuery is the query for the revision of the record of what crashes replicas.
	heldQuery heldQuery
	// loanQueries are the open queries for loans of retries.
	loanQueries loanQueries
	// ctx ends when the gossip stops.
	ctx    context.Context
	cancel context.CancelFunc
}

// Start returns a Gossip that listens for other routers.
func Start(o Options, f *watch.Watcher, b *balance.Balancer, log *event.Log) (*Gossip, error) {
	if o.Poison == nil {
		o.Poison = poison.New(poison.Options{})
	}
	if o.Parts == nil {
		o.Parts = poison.NewPartTracker(poison.Options{})
	}
	if o.Origins == nil {
		o.Origins = origin.NewTracker(time.Minute)
	}
	if o.Held == nil {
		o.Held = &poison.Keeper{}
	}
	meter := &peer.Meter{}
	g := &Gossip{
		options:    o,
		log:        log,
		watcher:    f,
		balancer:   b,
		poison:     o.Poison,
		parts:      o.Parts,
		originWait: originWait{originTimeout, originTimeoutSingle},
		callWait:   callWait{exchange: callTimeout, knowledge: knowledgeTimeout},

		originListWait: originListTimeout,

		meter:        meter,
		client:       peer.NewClient(meter),
		busy:         make(map[string]bool),
		deferred:     make(map[string]*gossippb.Digest),
		fetched:      make(map[string]time.Time),
		centres:      make(map[string]string),
		leaving:      make(map[string]time.Time),
		plain:        make(map[string]bool),
		queries:      make(map[uint32]query),
		firstQuery:   rand.Uint32(),
		recentHellos: make(map[string]time.Time),

		reportSources: make(map[string]bool),
	}
	g.ctx, g.cancel = context.WithCancel(context.Background())
	var err error
	if g.lists, err = lru.New[listKey, []byte](maxPackedLists); err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	err = g.listen()
	for attempt := 1; err != nil && strings.HasSuffix(o.Address, ":0") && attempt < portAttempts; attempt++ {
		err = g.listen()
	}
	if err != nil {
		return nil, fmt.Errorf("gossip: %w", err)
	}
	return g, nil
}

// portAttempts bounds the ports that are tried if the settings leave the choice to the
// system: a port that is free for connections may be in use for datagrams.
const portAttempts = 5

// listen opens the address for connections and for datagrams.
//
// It holds g.mu because peers that know this router's address call as soon as it listens,
// and the table of members needs that address. A router that started among four others
// received a call before it had a table, and crashed.
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
	g.datagrams, err = peer.ListenDatagrams(server.Address(), g.meter)
	g.mu.Unlock()
	if err != nil {
		server.Close()
		return err
	}
	g.datagrams.Serve(g.handleDatagram)
	return nil
}

// Address returns where the others reach this router.
func (g *Gossip) Address() string { return g.server.Address() }

// Rank returns this router's rank among those that it knows.
func (g *Gossip) Rank() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Rank()
}

// HoldersKnown reports whether the holders of parts are known.
func (g *Gossip) HoldersKnown() bool { return g.holdersKnown.Load() }

// SetHoldersKnown records that the engines were queried, so that no peer has to be.
func (g *Gossip) SetHoldersKnown() { g.holdersKnown.Store(true) }

// OwnsTask reports whether this router is to do a task. Each task has one owner, as long
// as all routers know the same routers.
func (g *Gossip) OwnsTask(task string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.OwnsTask(task)
}

// TaskRank returns how many routers precede this one for a task.
func (g *Gossip) TaskRank(task string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.TaskRank(task)
}

// Routers returns the other routers that requests can be relayed to.
func (g *Gossip) Routers() []relay.Router {
	g.mu.Lock()
	defer g.mu.Unlock()
	var routers []relay.Router
	for _, address := range g.members.Alive() {
		routers = append(routers, relay.Router{Address: address, DataCentre: g.centres[address]})
	}
	for _, address := range g.leavingAddresses() {
		routers = append(routers, relay.Router{Address: address, DataCentre: g.centres[address], Leaving: true})
	}
	return routers
}

// leavingAddresses returns the addresses of the routers that announced their stop and may still
// serve requests. g.mu is held.
func (g *Gossip) leavingAddresses() []string {
	maps.DeleteFunc(g.leaving, func(_ string, at time.Time) bool { return steady.Since(at) >= leavingTime })
	return slices.Sorted(maps.Keys(g.leaving))
}

// leavingTime is for how long a router that announced its stop may still serve requests.
const leavingTime = 8 * time.Second

// Relayed returns the listener of connections that carry relayed requests.
func (g *Gossip) Relayed() net.Listener { return g.server.Relayed() }

// Bytes returns the bytes sent to and received from the others.
func (g *Gossip) Bytes() (sent, received uint64) { return g.meter.Bytes() }

// MemberCount returns the number of routers known, this one included.
func (g *Gossip) MemberCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members.Len()
}

// Run exchanges with the others until ctx ends, and then closes the connections.
func (g *Gossip) Run(ctx context.Context) {
	roundTicker := time.NewTicker(g.options.Period)
	defer roundTicker.Stop()
	silenceTimer := time.NewTimer(g.silencePause())
	defer silenceTimer.Stop()
	g.runRound(ctx)
	var marksTimer <-chan time.Time
	delayMarks := func() {
		if marksTimer == nil {
			marksTimer = time.After(marksDelay)
		}
	}
	for {
		select {
		case <-ctx.Done():
			g.stop()
			return
		case <-g.watcher.OwnReads():
			g.sendProof(steady.Now())
		case <-g.poison.Updates():
			delayMarks()
		case <-g.parts.Updates():
			delayMarks()
		case <-marksTimer:
			marksTimer = nil
			g.sendMarks(ctx, steady.Now())
		case <-roundTicker.C:
			g.runRound(ctx)
		case <-silenceTimer.C:
			g.reportSilentCentres(steady.Now())
			silenceTimer.Reset(g.silencePause())
		}
	}
}

func (g *Gossip) stop() {
	g.cancel()
	g.datagrams.Close()
	g.client.Close()
	g.server.Close()
}

// Leave makes the next messages tell the others that this router stops.
func (g *Gossip) Leave() {
	g.mu.Lock()
	g.stopped = true
	g.mu.Unlock()
}
