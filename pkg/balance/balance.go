// Package balance decides which replica of a service gets a request.
//
//	SetReplicas   sets the replicas that may get work
//	Pick          chooses one by the parts of the prompt, load and health
//	StartChosen   counts the request there, unless others have taken the room since
//	RequestSucceeded, RequestFailed, RequestFinished
//	              record the outcome
//	MergePeer     takes what another router sent about its own requests
//
// Engines cache the parts of prompts that they have read. Every router ranks the engines
// for a part by rendezvous hashing, so that all agree on its home without communicating.
// A home above the load bound is passed over, and an engine that lacks the part is given
// the address of one that holds it, from which it copies. The package does no I/O; time
// and randomness come from the caller.
package balance

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// Part is a piece of a prompt, identified by its content.
type Part struct {
	ID     uint64
	Tokens int
}

// Request describes a request that needs a replica.
type Request struct {
	Service string
	// DataCentre is the router's own; replicas there are preferred among equals.
	DataCentre string
	// Parts of the prompt in order; the last is specific to the request or its session.
	// Empty for plain services.
	Parts []Part
	// Tried holds the ids of replicas that must not get the request again.
	Tried []string
	// ColdRate is how many requests a second a cold replica of the service can take; 0 if
	// it takes as many as a warm one.
	ColdRate float64
	// OnlyVersion restricts the choice to replicas whose software has Version, for a stream that
	// began there.
	OnlyVersion bool
	Version     string
	// PreferredVersions are versions of the software: the fewer requests their replicas have room
	// for, the more go to any version. If it is empty, none is preferred.
	PreferredVersions []string
	// Target is the time within which the caller wants an answer from a plain service; 0
	// for the default.
	Target time.Duration
}

// Reason says why a replica was chosen.
type Reason string

// Reasons for a choice.
const (
	// Home: the first home of the part, within its bound.
	Home Reason = "home"
	// Holder: another engine that is known to hold the part.
	Holder Reason = "holder"
	// Near: the holder or home in the router's own data centre.
	Near Reason = "near"
	// Diverted: the homes ranked before it are above the bound, suspected or tried.
	Diverted Reason = "diverted"
	// LeastLoaded: the one of two replicas of a plain service at which this router runs fewer
	// requests.
	LeastLoaded Reason = "least loaded"
	// ByRate: the same, drawn by the rates that replicas should get.
	ByRate Reason = "by rate"
	// LastResort: all remaining replicas are suspected or above the bound.
	LastResort Reason = "last resort"
	// Cold: a cold replica, within this router's share of its rate, since no warm replica
	// has room.
	Cold Reason = "cold"
)

// Choice is the result of Pick.
type Choice struct {
	Replica directory.Replica
	// CopySource is the address of an engine that may hold the parts that the chosen one
	// lacks; empty if none is needed.
	CopySource string
	Reason     Reason
	// Part is the prompt's last shared part and Holders the number of engines
	// known to hold it; zero for plain services.
	Part    uint64
	Holders int
	// Load is the estimated load of the replica, Bound the bound it was compared with.
	Load, Bound float64
	// running is how many requests of this router ran at the replica.
	running int
	// PassedOver is the first engine in rank if another one was chosen, PassedOverLoad
	// its load and PassedOverBadness how strongly it is suspected.
	PassedOver        string
	PassedOverLoad    float64
	PassedOverBadness int
	// PathLost: this router seems to have lost the path to the service, or to half of its
	// replicas while no other is fit.
	PathLost bool
	// KeptOnly: connections to the replica do not open, and probes will notice when they do.
	// A connection that was kept may still work.
	KeptOnly bool
	// Unreachable: all remaining replicas were unreachable moments ago, and another
	// request has just tried again.
	Unreachable bool
}

// The bound on a replica's requests is a multiple of the mean plus a slack. It lies below
// what users allow, since counts lag by one round of gossip (by two more in a large
// fleet). The fractions apply to the users' multiple; the slacks are part of the requests
// that users allow above it.
const (
	boundFraction      = 0.85
	boundSlack         = 2.5
	largeBoundFraction = 0.775
	largeBoundSlack    = 2.0
	minBoundFactor     = 1.05
	// defaultLoadFactor applies until SetLoadFactor is called.
	defaultLoadFactor = 2
)

// Balancer is safe for concurrent use.
type Balancer struct {
	mu       sync.Mutex
	random   *rand.Rand
	replicas map[string]*replica
	// departed holds replicas that are no longer listed but may still be copied from.
	departed map[string]departedReplica
	// services holds the replicas of each service that may get work, sorted by id.
	services map[string][]*replica
	centres  map[string]*centre
	// busy holds the replicas at which this router runs requests, cold those that may be
	// cold.
	busy     map[*replica]bool
	cold     map[*replica]bool
	holders  *holders
	hotParts *hotPartCache
	peers    map[string]peerCounts
	// lines holds the sums reported by other lines of a large fleet.
	lines map[Line]peerCounts
	// peerTotalsAt is when the sum over peers and lines was last computed, zero if it must
	// be computed again. peerBusy holds the replicas at which the sum is not zero.
	peerTotalsAt time.Time
	peerBusy     []*replica
	byShortHash  map[uint32]*replica
	// byTinyHash maps the 16-bit hashes of LineCounts.Singles to replicas.
	byTinyHash    map[uint16][]*replica
	pendingRumors Rumors
	// firstListedAt is when the first list arrived.
	firstListedAt time.Time
	// medians caches the median pace of each service.
	medians map[string]median
	// lastProbe is when an unreachable service was last tried.
	lastProbe map[string]time.Time
	// outcomes counts how this router's own requests ended, by service.
	outcomes map[string]*outcomeCounts
	// loadFactor is the multiple of the mean load that users allow a replica.
	loadFactor float64
	// disabled holds the mechanisms that an experiment turns off.
	disabled mechanism.Set
	// largeFleet: routers can't tell every other router what they run. holdersSynced: the
	// holders known to other routers have been fetched as far as possible.
	largeFleet, holdersSynced bool
	// evacuated holds the replicas of each service that are excluded with their data
	// centre.
	evacuated map[string][]*replica
	// appending is set while lists of replicas are extended and not sorted yet.
	appending bool
	// evacuatedCount is how many replicas are excluded with their data centre.
	evacuatedCount int
	coldShares     coldShares
	rollouts       *rollout.Controller
	hooks          atomic.Pointer[ReplicaHooks]
	// brittle holds what replicas stated about the rejections that they bear, by service.
	brittle map[string]brittleness
	// pathFailedAt is the last failure of a path to any replica.
	pathFailedAt time.Time
	// lent holds what routers that reach no replica of a service leave to this one.
	// lentUntil is until when this router's own share of a service is lent, lentOut which parts
	// of it others have.
	lent      map[loan]lentShare
	lentOut   map[loan]lentShare
	lentUntil map[string]time.Time
	// leavingRouters are the hashes of the addresses of routers that announced their stop.
	leavingRouters []uint64
	// formerRouters is how many routers there were before the start, as long as this one may not
	// know them all; else 0. formerUntil is the end of that time.
	formerRouters int
	formerUntil   time.Time
	// othersServe: brittle replicas have answered other routers since this one started. It has no part
	// of their slots until it has met those.
	othersServe bool
	// slots caches the slots of services.
	slots map[string]serviceSlots
	// estimator estimates the replicas of plain services; nil if there is none.
	estimator Estimator
	// pendingRestarts holds restarts learned from rumors, pendingChecks replicas that others
	// reported as out of reach, to be passed to hooks.
	pendingRestarts []directory.Replica
	pendingChecks   []directory.Replica
}

// replica is a replica with what this router knows about it.
type replica struct {
	directory.Replica
	rankHash  uint64
	shortHash uint32
	centre    *centre
	// running is what this router runs at the replica, peersRun what the others do, as
	// last summed up.
	running, peersRun int
	joinedAt          time.Time
	report            loadReport
	health            health
	// reported is the health by failures of the path that other routers saw and this one
	// has not verified.
	reported health
	path     path
	pace     pace
	// allowance limits what this router may send to the replica while it is cold.
	allowance tokenBucket
	// rejections limits the requests that this router may have turned away while the replica
	// is brittle. lastRejection is when that last happened, sturdyAt when an answer last did not
	// say that the replica is brittle.
	rejections              tokenBucket
	lastRejection, sturdyAt time.Time
	// softOutcomes counts, over all routers, the failures that count against the replica
	// only if it has more of them than the others.
	softOutcomes outcomeCounts
	// lastSuccess is when the replica last answered successfully, lastHung when it last
	// left a request unanswered.
	lastSuccess, lastHung time.Time
	// restUntil is the latest end of a rest that the replica asked for.
	restUntil time.Time
	// restartedAt is when the replica last restarted under its id, as far as this router
	// knows.
	restartedAt time.Time
}

// New returns a balancer without replicas. Its choices depend only on seed and on the
// calls made to it.
func New(seed uint64) *Balancer {
	return &Balancer{
		random:        rand.New(rand.NewPCG(seed, seed)),
		replicas:      make(map[string]*replica),
		departed:      make(map[string]departedReplica),
		services:      make(map[string][]*replica),
		centres:       make(map[string]*centre),
		busy:          make(map[*replica]bool),
		cold:          make(map[*replica]bool),
		holders:       newHolders(),
		hotParts:      newHotPartCache(),
		peers:         make(map[string]peerCounts),
		lines:         make(map[Line]peerCounts),
		medians:       make(map[string]median),
		outcomes:      make(map[string]*outcomeCounts),
		lastProbe:     make(map[string]time.Time),
		brittle:       make(map[string]brittleness),
		slots:         make(map[string]serviceSlots),
		lent:          make(map[loan]lentShare),
		lentOut:       make(map[loan]lentShare),
		lentUntil:     make(map[string]time.Time),
		holdersSynced: true,
		byShortHash:   make(map[uint32]*replica),
		byTinyHash:    make(map[uint16][]*replica),
		evacuated:     make(map[string][]*replica),
		coldShares:    coldShares{heldBack: make(map[string]bool)},
		rollouts:      rollout.NewController(),

		loadFactor: defaultLoadFactor,
	}
}

// Rollouts returns the roll-outs of new versions, which limit what their replicas get.
func (b *Balancer) Rollouts() *rollout.Controller { return b.rollouts }

// SetLargeFleet sets whether the fleet is too large for each router to tell every other
// router what it runs and observes.
func (b *Balancer) SetLargeFleet(large bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.largeFleet = large
}

// SetLoadFactor sets the multiple of its service's mean load that users allow a replica.
func (b *Balancer) SetLoadFactor(factor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.loadFactor = factor
}

// DisableMechanisms turns mechanisms off, for experiments.
func (b *Balancer) DisableMechanisms(set mechanism.Set) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.disabled = set
	b.holders.disabled = set.Has(mechanism.Holders)
}

// SetHoldersSynced sets whether the known holders have been fetched from other routers
// since the start.
func (b *Balancer) SetHoldersSynced(synced bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holdersSynced = synced
}

// holdersUnknown reports whether parts may have holders that this router has not heard
// of.
func (b *Balancer) holdersUnknown() bool { return b.largeFleet || !b.holdersSynced }

// HasRoom reports whether Pick would find a replica that is within reach and is not avoided
// because it rejected requests. It chooses none.
func (b *Balancer) HasRoom(q Request, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.services[q.Service]) == 0 {
		return false
	}
	hasRoom := func(r *replica) bool {
		return !b.isOutOfReach(r, now) && !(r.health.isAvoided(now) && r.health.kind == Shed)
	}
	bound := b.serviceBound(q.Service, now)
	left := b.eligibleCandidates(q, bound, now)
	if len(left) > 0 && len(q.Parts) > 0 {
		chosen, _, _ := b.pickEngine(q, left, bound, now)
		return chosen != nil && hasRoom(chosen)
	}
	return slices.ContainsFunc(left, hasRoom)
}

// Pick chooses a replica. It returns false if the service has no replica left.
func (b *Balancer) Pick(q Request, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.unlockAndNotify()
	if len(b.services[q.Service]) == 0 {
		return Choice{}, false
	}
	bound := b.serviceBound(q.Service, now)
	left := b.eligibleCandidates(q, bound, now)
	if len(left) == 0 {
		return Choice{}, false
	}
	if len(q.Parts) == 0 {
		chosen, reason := b.pickPlain(q, left, now)
		reason = b.spendColdAllowance(chosen, q, reason, now)
		return Choice{Replica: chosen.Replica, Reason: reason, Load: b.load(chosen, now), Bound: bound, running: chosen.running, PathLost: b.isPathLostFor(q.Service, reason, now), KeptOnly: b.isProbed(chosen, now), Unreachable: b.probePending(chosen, now)}, true
	}
	chosen, home, reason := b.pickEngine(q, left, bound, now)
	if chosen == nil {
		return Choice{}, false
	}
	reason = b.spendColdAllowance(chosen, q, reason, now)
	choice := Choice{Replica: chosen.Replica, Reason: reason, Load: b.load(chosen, now), Bound: bound, running: chosen.running, Part: homeKey(q.Parts), PathLost: b.isPathLostFor(q.Service, reason, now), KeptOnly: b.isProbed(chosen, now), Unreachable: b.probePending(chosen, now)}
	choice.Holders = len(b.holders.list(choice.Part, now))
	if home != chosen {
		b.verifyWanted(home, now)
		choice.PassedOver, choice.PassedOverLoad, choice.PassedOverBadness = home.ID, b.load(home, now), b.badness(home, now)
	}
	if len(q.Parts) > 1 && !b.disabled.Has(mechanism.Copies) {
		choice.CopySource = b.copySource(chosen, q.Parts, now)
	}
	return choice, true
}
