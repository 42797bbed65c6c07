// Package router joins the decisions of pkg/ with the network: it keeps the
// live view and the configuration, talks to the other routers, and carries a
// request from the edge to its owner and to a target.
//
//	membership.go  the list -> View -> pools
//	digest.go      load digests to and from other routers
//	serve.go       the edge's half of a request: choose a group, go to its owner
//	local.go       the owner's half: queue, dispatch, retry
//	forwarded.go   a request that another router's edge sent here
//	plain.go       plain services
//	probe.go       the load of owned engines
//	orders.go      what orders to engines need of the router
//	explain.go     a decision worked out for an operator
//	state.go       the state dump
//
// One mutex guards all of a router's decisions. A node serves some 30 requests
// a second and a decision takes microseconds, so finer locks would buy nothing
// and cost the reader much; nothing blocks while the mutex is held.
package router

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/kvservice"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/router/attempt"
	"github.com/croftyard/croftyard/internal/router/configuration"
	"github.com/croftyard/croftyard/internal/router/idempotency"
	"github.com/croftyard/croftyard/internal/router/inflight"
	"github.com/croftyard/croftyard/internal/router/instancelist"
	"github.com/croftyard/croftyard/internal/router/loadorders"
	"github.com/croftyard/croftyard/internal/router/metrics"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

// Router is one instance.
type Router struct {
	settings settings.Settings
	log      *event.Log
	metrics  *metrics.Metrics
	platform *kvservice.Client
	claims   *idempotency.Claims
	peers    *peer.Client
	meter    *peer.Meter
	server   *peer.Server
	attempts *attempt.Sender
	adopted  policy.ActiveSnapshot
	config   *configuration.Follower
	list     *instancelist.Follower
	selfHash uint64
	selfID   fleet.ID
	listed   atomic.Bool
	draining atomic.Bool
	inFlight inflight.Requests
	active   atomic.Int64

	mu      sync.Mutex
	rnd     *rand.Rand
	view    *fleet.View
	board   *fleet.DigestTable
	limits  *admission.Limits
	retries *admission.RetryBudget
	traffic *placement.PrefixTraffic
	pools   map[poolName]*pool
	engines map[uint64]*owner.Engine
	// handover remembers the owners of engines through changes; gained are those
	// that this router owns and has not asked yet what they run.
	handover *owner.Handover
	gained   chan fleet.Instance
	// services counts the requests in flight at each plain target.
	services map[string]int
	// routers are the others in the list; ownersMark tells a change of those that
	// may own groups, listChanged one of the list.
	routers     []fleet.Instance
	ownersMark  uint64
	listChanged bool
	// leavingSeen holds the targets that said themselves that they leave.
	leavingSeen map[string]time.Time
	sequence    uint32
}

// gainedAtMost bounds the engines that wait to be asked; one that finds no place
// is asked in its turn.
const gainedAtMost = 1024

// New makes a router and opens its listener for peers. Run starts it.
func New(s settings.Settings, log *event.Log) (*Router, error) {
	r := &Router{
		settings:    s,
		log:         log,
		metrics:     metrics.New(),
		platform:    kvservice.NewClient(s.Platform.URL, s.Platform.Timeout, s.Platform.Rate),
		meter:       &peer.Meter{},
		selfHash:    placement.Hash(s.Name),
		rnd:         rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		view:        fleet.NewView(),
		limits:      admission.NewLimits(),
		retries:     admission.NewRetryBudget(admission.DefaultRetryRatio, admission.DefaultRetryReserve),
		traffic:     placement.NewPrefixTraffic(),
		pools:       make(map[poolName]*pool),
		engines:     make(map[uint64]*owner.Engine),
		handover:    owner.NewHandover(),
		gained:      make(chan fleet.Instance, gainedAtMost),
		services:    make(map[string]int),
		leavingSeen: make(map[string]time.Time),
		sequence:    rand.Uint32(),
	}
	r.selfID = fleet.ShortID(r.selfHash)
	if s.Routes.FirstStart {
		r.limits.StartFull()
	}
	r.board = fleet.NewDigestTable(r.selfID)
	r.claims = idempotency.New(r.platform, &r.inFlight, log, s.Platform.Timeout)
	r.attempts = attempt.NewSender(r.attemptOptions())
	r.peers = peer.NewClient(r.meter)
	r.config = configuration.NewFollower(r.configurationOptions())
	r.list = instancelist.NewFollower(r.listOptions())
	server, err := peer.Listen(s.Listen.Peers, peer.Handler{
		Forward:       r.serveForward,
		Exchange:      r.takeDigest,
		Configuration: r.config.Answer,
		List:          r.list.Answer,
	}, r.meter)
	if err != nil {
		return nil, fmt.Errorf("router: %w", err)
	}
	r.server = server
	return r, nil
}

func (r *Router) attemptOptions() attempt.Options {
	return attempt.Options{
		Log:         r.log,
		Metrics:     r.metrics,
		Targets:     dispatch.New(r.settings.Limits.Idle),
		Claims:      r.claims,
		Excludes:    r.excludes,
		Unreachable: func(target string, err error) { r.failed(target, event.EngineSuspect, err) },
		Leaving:     r.leaving,
		Resting:     r.resting,
		Others:      r.otherEngines,
	}
}

func (r *Router) configurationOptions() configuration.Options {
	return configuration.Options{
		Log:        r.log,
		Metrics:    r.metrics,
		Service:    r.platform,
		Peers:      r.peers,
		InForce:    &r.adopted,
		DataCentre: r.settings.DataCentre,
		Routers:    r.otherRouters,
		Near:       r.nearRouters,
		Jitter:     r.jitter,
	}
}

func (r *Router) listOptions() instancelist.Options {
	return instancelist.Options{
		Log:         r.log,
		Service:     r.platform,
		Peers:       r.peers,
		Poll:        r.settings.Platform.Poll,
		Near:        r.nearRouters,
		Jitter:      r.jitter,
		Take:        r.takeList,
		Listed:      r.listed.Load,
		Unreachable: func(name string, err error) { r.failed(name, event.PeerLost, err) },
	}
}

// Run keeps the router up to date until ctx ends. It serves peers and Serve
// all the while, and for as long as it takes to drain after that.
func (r *Router) Run(ctx context.Context) error {
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return r.list.Follow(ctx) })
	work.Go(func() error { return r.config.Follow(ctx) })
	work.Go(func() error { return r.sendDigests(ctx) })
	work.Go(func() error { return r.pollLoads(ctx) })
	work.Go(func() error { return loadorders.NewGiver(r.orderOptions()).Follow(ctx) })
	return work.Wait()
}

// PeerAddress returns the host:port on which peers are served.
func (r *Router) PeerAddress() string { return r.server.Address() }

// Ready tells whether requests can be served: the newest configuration that
// can be had is in force and the list of instances was read.
func (r *Router) Ready() bool {
	return !r.draining.Load() && r.listed.Load() && r.config.Settled()
}

// Snapshot returns the configuration in force, or nil.
func (r *Router) Snapshot() *policy.Snapshot { return r.adopted.Current() }

// Metrics returns the router's metrics.
func (r *Router) Metrics() *metrics.Metrics { return r.metrics }

// Drain ends what waits here and waits for what is in flight, as long as ctx
// allows. New requests are refused from the first moment.
func (r *Router) Drain(ctx context.Context) error {
	r.refuseNew()
	r.log.Write(event.Draining)
	r.announceStop(ctx)
	r.mu.Lock()
	for _, p := range r.pools {
		p.drain(admission.Stopping, steady.Now())
	}
	r.mu.Unlock()
	return r.waitIdle(ctx)
}

// refuseNew refuses the requests that come from now on.
func (r *Router) refuseNew() {
	r.draining.Store(true)
	r.inFlight.Stop()
}

func (r *Router) waitIdle(ctx context.Context) error {
	select {
	case <-r.inFlight.Stop():
		return nil
	case <-ctx.Done():
		r.log.Write(event.DrainCut, event.F("active", r.active.Load()))
		return fmt.Errorf("router: %d requests still in flight: %w", r.active.Load(), ctx.Err())
	}
}

// Close ends the listener and all connections.
func (r *Router) Close() {
	r.server.Close()
	r.peers.Close()
}

// begin counts a request in, unless the router is stopping.
func (r *Router) begin() (end func(), accepted bool) {
	if !r.inFlight.Begin() {
		return nil, false
	}
	r.active.Add(1)
	return func() {
		r.active.Add(-1)
		r.inFlight.End()
	}, true
}
