// Package balance decides which replica of a service gets a request.
//
//	Replace   the replicas that may get work
//	Pick      one of them, by the parts of the prompt, load and health
//	Started, Answered, Failed, Finished    what became of it
//	Merge     what another router tells of its own requests
//
// Engines keep the parts of prompts that they have read. Every router orders
// the engines for a part in the same way, by rendezvous hashing, so that without
// a word between them they agree on its home; a home above the bound is passed
// over, and whoever does not hold the part is told an engine that does, from
// which it copies. The package does no I/O; time and randomness come from the
// caller.
package balance

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// Part is a piece of a prompt, named by its content.
type Part struct {
	ID     uint64
	Tokens int
}

// Request asks for a replica.
type Request struct {
	Service string
	// DataCentre is the asker's; replicas there are preferred where equal.
	DataCentre string
	// Parts of the prompt in order; the last belongs to the request or its
	// session. Empty for plain services.
	Parts []Part
	// Tried holds the ids of replicas that are not to get it again.
	Tried []string
	// ColdRate is how many requests a second a cold replica of the service bears; 0 if
	// it bears what a warm one does.
	ColdRate float64
}

// Reason tells why a replica was chosen.
type Reason string

// The reasons.
const (
	// Home: the part's first home, within its bound.
	Home Reason = "home"
	// Holder: another engine that is known to hold the part.
	Holder Reason = "holder"
	// Near: the holder or home in the router's own data centre.
	Near Reason = "near"
	// Diverted: homes before it are above the bound, suspected or tried.
	Diverted Reason = "diverted"
	// LeastLoaded: the least loaded of a plain service.
	LeastLoaded Reason = "least loaded"
	// LastResort: all that is left is suspected or above the bound.
	LastResort Reason = "last resort"
	// Cold: a cold replica, by this router's share of what it bears, since no warm one
	// has room.
	Cold Reason = "cold"
)

// Choice is the answer to a question.
type Choice struct {
	Replica directory.Replica
	// CopySource is the address of an engine that may hold what the chosen one
	// lacks; empty if none is needed.
	CopySource string
	Reason     Reason
	// Part is the prompt's last shared part and Holders the number of engines
	// known to hold it; zero for plain services.
	Part    uint64
	Holders int
	// Load is the replica's load as estimated, Bound what it was held against.
	Load, Bound float64
	// PassedOver is the engine that would have been first, if it was passed over,
	// PassedLoad its load and PassedBad how far it is suspected.
	PassedOver        string
	PassedOverLoad    float64
	PassedOverBadness int
	// Unreachable: all that is left could not be reached a moment ago, and another
	// request has just tried again.
	Unreachable bool
}

// The bound on a replica's requests: a multiple of the mean and some more, below
// what the users allow, since counts lag by a round of gossip (two more in a large
// fleet). The parts are of their multiple, the slacks of the requests that they allow
// above it.
const (
	boundFraction      = 0.85
	boundSlack         = 2.5
	largeBoundFraction = 0.775
	largeBoundSlack    = 2.0
	minBoundFactor     = 1.05
	// defaultLoadFactor holds until SetLoadFactor.
	defaultLoadFactor = 2
)

// Balancer is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	random   *rand.Rand
	replicas map[string]*replica
	// departed are replicas that are listed no more but may still be copied from.
	departed      map[string]departedReplica
	services      map[string][]*replica
	centreHealth  map[string]*health
	silentCentres map[string]bool
	holders       *holders
	hotParts      *hotPartCache
	peers         map[string]peerCounts
	// lines are the sums that other lines of a large fleet told.
	lines map[Line]peerCounts
	// peerTotals sums up peers and lines, as of totalsAt.
	peerTotals   map[uint32]ReplicaCount
	peerTotalsAt time.Time
	byShortHash  map[uint32]*replica
	// byTinyHash are the replicas by the short hashes of LineTold.Singles.
	byTinyHash    map[uint16][]*replica
	pendingRumors Rumors
	// firstListedAt is when the first list came.
	firstListedAt time.Time
	// medians are the median paces of services.
	medians map[string]median
	// lastProbe is when a service that is out of reach was last tried.
	lastProbe map[string]time.Time
	// outcomes are how this router's own requests ended, by service.
	outcomes map[string]*outcomeCounts
	// loadFactor is how many times the mean the users allow a replica.
	loadFactor float64
	// disabled are mechanisms that an experiment leaves out.
	disabled mechanism.Set
	// largeFleet: routers can't tell all others what they run. holdersSynced: who holds
	// what is known as well as it can be.
	largeFleet, holdersSynced bool
	// evacuated are the replicas of services that are left out with their data centre.
	evacuated map[string][]*replica
	cold      coldShares
	hooks     atomic.Pointer[ReplicaHooks]
	// pendingRestarts are those that a rumor told of, for ends.
	pendingRestarts []directory.Replica
}

// replica is one replica with what was seen of it.
type replica struct {
	directory.Replica
	rankHash  uint64
	shortHash uint32
	running   int
	joinedAt  time.Time
	report    loadReport
	health    health
	pace      pace
	// allowance is what this router may send to the replica while it is cold.
	allowance tokenBucket
	// softOutcomes counts the failures that speak against the replica only if they are more
	// than others have, as all routers saw them.
	softOutcomes outcomeCounts
	// lastSuccess is when it last lastSuccess well, lastHung when it last left a request
	// without an answer.
	lastSuccess, lastHung time.Time
	// restUntil is the latest end of a rest that it asked for.
	restUntil time.Time
	// restartedAt is when it started again under its id, as far as this router saw.
	restartedAt time.Time
}

// New returns a balancer without replicas. Its choices are a function of seed
// and of what it is told.
func New(seed uint64) *Balancer {
	return &Balancer{
		random:        rand.New(rand.NewPCG(seed, seed)),
		replicas:      make(map[string]*replica),
		departed:      make(map[string]departedReplica),
		services:      make(map[string][]*replica),
		centreHealth:  make(map[string]*health),
		silentCentres: make(map[string]bool),
		holders:       newHolders(),
		hotParts:      newHotPartCache(),
		peers:         make(map[string]peerCounts),
		lines:         make(map[Line]peerCounts),
		medians:       make(map[string]median),
		outcomes:      make(map[string]*outcomeCounts),
		lastProbe:     make(map[string]time.Time),
		holdersSynced: true,
		cold:          coldShares{heldBack: make(map[string]bool)},

		loadFactor: defaultLoadFactor,
	}
}

// SetLargeFleet tells whether the fleet is too large for each router to tell each
// other one what it runs and what it saw.
func (b *Balancer) SetLargeFleet(large bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.largeFleet = large
}

// SetLoadFactor sets how many times the mean of its service the users allow a
// replica to carry.
func (b *Balancer) SetLoadFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadFactor = factor
}

// DisableMechanisms leaves mechanisms out, for experiments.
func (b *Balancer) DisableMechanisms(set mechanism.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disabled = set
	b.holders.disabled = set.Has(mechanism.Holders)
}

// SetHoldersSynced tells whether who holds what has been recalled since the start.
func (b *Balancer) SetHoldersSynced(recalled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdersSynced = recalled
}

// holdersUnknown tells whether there may be holders of parts that this router has not
// heard of.
func (b *Balancer) holdersUnknown() bool { return b.largeFleet || !b.holdersSynced }

// Pick chooses a replica, or returns false if the service has none that is left.
func (b *Balancer) Pick(q Request, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.services[q.Service]
	if len(all) == 0 {
		return Choice{}, false
	}
	bound := b.serviceBound(q.Service, now)
	left := b.candidates(q, all, bound, now)
	if len(left) == 0 {
		return Choice{}, false
	}
	if len(q.Parts) == 0 {
		chosen, reason := b.pickPlain(q, left, now)
		reason = b.spendColdAllowance(chosen, q, reason, now)
		return Choice{Replica: chosen.Replica, Reason: reason, Load: b.load(chosen, now), Bound: bound, Unreachable: b.probePending(chosen, now)}, true
	}
	chosen, home, reason := b.pickEngine(q, left, bound, now)
	reason = b.spendColdAllowance(chosen, q, reason, now)
	choice := Choice{Replica: chosen.Replica, Reason: reason, Load: b.load(chosen, now), Bound: bound, Part: homeKey(q.Parts), Unreachable: b.probePending(chosen, now)}
	choice.Holders = len(b.holders.list(choice.Part, now))
	if home != chosen {
		choice.PassedOver, choice.PassedOverLoad, choice.PassedOverBadness = home.ID, b.load(home, now), b.badness(home, now)
	}
	if len(q.Parts) > 1 && !b.disabled.Has(mechanism.Copies) {
		choice.CopySource = b.copySource(chosen, q.Parts, now)
	}
	return choice, true
}
