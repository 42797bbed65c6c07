// Package entry runs one router that serves configured routes, from start to
// planned stop.
//
//	Start -> not ready until a configuration and the replicas are known
//	Stop  -> not ready at once; keeps serving, each answer being the last of its
//	         connection; ends early once callers have no open connection; late in
//	         the grace time idle connections are closed, and at the limit requests
//	         still in flight are cut
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/croftyard/croftyard/internal/admin"
	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front"
	"github.com/croftyard/croftyard/internal/front/callerconn"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/metrics"
	"github.com/croftyard/croftyard/internal/gossip"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/retry"
	"github.com/croftyard/croftyard/pkg/rollout"
	"github.com/croftyard/croftyard/pkg/turns"
)

// ErrCut reports that a stop reached its limit with requests in flight.
var ErrCut = errors.New("entry: requests cut")

// Environment connects the router to its surroundings: the store it reads, and the
// protocols of callers, replicas and the balancer.
type Environment struct {
	// Source returns a client of the store that holds the configuration and the replicas.
	// Each of its calls times out after call.
	Source func(s settings.Settings, call time.Duration) watch.Source
	// StatusWriter returns a client that writes the status of roll-outs. It may be nil.
	StatusWriter func(s settings.Settings, call time.Duration) rollout.Writer
	// ServedStore returns a client of the records of versions that served lately. If nil, these
	// are not kept, and are lost with the routers.
	ServedStore func(s settings.Settings, call time.Duration) origin.Store
	// HeldStore returns a client of the record of what crashes replicas. If nil, none is kept, and
	// it is lost with the routers.
	HeldStore func(s settings.Settings, call time.Duration) poison.Store
	Dialect   front.Dialect
	ReadyPath string
	// HeldParts asks an engine which parts of prompts it holds and passes the head of its
	// answer to answered. It may be nil.
	HeldParts func(ctx context.Context, address string, answered func(*http.Response)) ([]balance.Part, error)
	// LimitsAdmission reports whether the contracts of the platform, as in the settings, call
	// for admission control. If nil, none does.
	LimitsAdmission func(contracts []string) bool
	// DialReplica opens connections to replicas. If nil, the system's TCP is used.
	DialReplica socket.Dial
	// LogDropped returns how many log lines were dropped because the buffer was full.
	LogDropped func() uint64
}

// Entry is a running router.
type Entry struct {
	settings settings.Settings
	// bounds are the users' bounds in the newest settings.
	bounds   atomic.Pointer[settings.Bounds]
	env      Environment
	log      *event.Log
	holder   *freshness.Holder
	balancer *balance.Balancer
	poison   *poison.Tracker
	parts    *poison.PartTracker
	watcher  *watch.Watcher
	pool     *upstream.Pool
	// relayPool keeps connections to other routers.
	relayPool *upstream.Pool
	front     *front.Front
	metrics   *metrics.Metrics
	gossip    *gossip.Gossip
	// retries is this router's part of the fleet's retries.
	retries *retry.Budget
	// overload decides on requests to services without engines; nil if the settings turn
	// admission control off. admission tells whether its decisions apply.
	overload  *gatedController
	admission *admissionSwitch

	statusWriter atomic.Pointer[rollout.Writer]
	served       servedVersions
	held         heldRecord

	callers *http.Server
	conns   *conns.Set
	// relayed serves requests of routers that do not reach a service.
	relayed      *http.Server
	relayedConns *conns.Set
	readiness    *http.Server
	operators    *admin.Admin
	listeners    []net.Listener
	// callerListener accepts callers' connections.
	callerListener *retryListener

	// accepted is closed once no more callers are accepted.
	accepted chan struct{}

	started  time.Time
	stopping atomic.Bool
	// planned is nil until the planned stop begins.
	planned  atomic.Pointer[plannedStop]
	stopOnce sync.Once
	stop     chan struct{}
	kill     context.CancelFunc
	killed   context.Context
	done     chan struct{}
	err      error
}

// Start opens the listeners and begins to serve.
func Start(s settings.Settings, env Environment, log *event.Log) (*Entry, error) {
	e := &Entry{settings: s, started: steady.Now(), env: env, log: log, accepted: make(chan struct{}), stop: make(chan struct{}), done: make(chan struct{})}
	e.bounds.Store(&s.Bounds)
	e.killed, e.kill = context.WithCancel(context.Background())
	if err := e.build(); err != nil {
		return nil, err
	}
	if err := e.listen(); err != nil {
		return nil, err
	}
	log.Write(event.Starting, event.F("data_centre", s.DataCentre), event.F("callers", s.Listen.Callers))
	go e.run()
	return e, nil
}

func (e *Entry) build() error {
	b := e.settings.Bounds
	e.metrics = metrics.New()
	e.holder = freshness.NewHolder()
	e.balancer = balance.New(uint64(steady.Now().UnixNano()))
	e.balancer.SetLoadFactor(b.LoadFactor)
	e.balancer.SetColdBounds(coldBounds(b))
	e.balancer.Rollouts().SetExposure(b.Exposure)
	e.setStatusWriter(e.settings)
	e.balancer.DisableMechanisms(e.settings.Without)
	period := readPeriod(b)
	e.watcher = watch.New(e.source(e.settings), e.followOptions(e.settings),
		directory.New(2*period, relistHeartbeats*b.Heartbeat), e.holder, e.balancer, e.log)
	e.pool = upstream.New(upstream.Options{
		IDHeader:       e.env.Dialect.AttemptID,
		DialTimeout:    e.settings.Routes.Dial,
		SilenceTimeout: e.settings.Routes.Silence,
		MaxHead:        e.settings.Limits.Header,
		IdleTime:       e.settings.Routes.Keep,
		Source:         e.settings.Routes.Source,
		Dial:           e.env.DialReplica,
		Opened:         func(string) { e.metrics.ConnectionsOpened.Inc(1) },
		OnSilent: func(address string, dropped int) {
			e.log.Write(event.ConnsSilent, event.F("address", address), event.F("dropped", dropped))
		},
	})
	e.poison, e.parts = newPoison(e.settings.Routes, e.log), newPartPoison(e.settings.Routes, e.log)
	e.buildOverload()
	e.retries = newRetries(e.settings, e.started)
	e.served.tracker = origin.NewTracker(continuation.MaxLifetime)
	e.setServedStore(e.settings)
	e.setHeldStore(e.settings)
	var err error
	e.gossip, err = gossip.Start(gossip.Options{
		Address:      e.settings.Listen.Peers,
		DataCentre:   e.settings.DataCentre,
		Seeds:        e.settings.Peers.Seeds,
		Period:       e.settings.Peers.Period,
		Poison:       e.poison,
		Parts:        e.parts,
		Origins:      e.served.tracker,
		RecallServed: e.recallServed,
		Held:         &e.held.keeper,
		Overload:     e.overloadReports(),
		Retries:      e.retries,
	}, e.watcher, e.balancer, e.log)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	options := front.Options{
		Dialect:    e.env.Dialect,
		DataCentre: e.settings.DataCentre,
		Name:       e.gossip.Address(),
		Limits:     frontLimits(b),
		HeldBytes:  e.settings.Limits.HeldBytes,
		Poison:     e.poison,
		Parts:      e.parts,
		OwnsTask:   e.gossip.OwnsTask,
		Without:    e.settings.Without,
		Origins:    e.gossip.Origins(),
		Retries:    e.retries,
		Loans:      e.gossip.Loans(),
	}
	e.connectOverload(&options)
	e.connectRelays(&options)
	e.front = front.New(options, e.watcher, e.holder, e.balancer, e.pool, e.metrics, e.log)
	e.balancer.SetReplicaHooks(balance.ReplicaHooks{
		Restarted: func(id, address string) {
			e.pool.DropIdleTo(address)
			e.front.ReplicaRestarted(id, steady.Now())
		},
		Removed: func(id string) { e.front.ReplicaRemoved(id, steady.Now()) },
		Verify:  e.front.VerifyReplica,
	})
	limits := callerconn.New(e.holder, e.log)
	e.conns = conns.NewSet()
	e.callers = &http.Server{
		Handler: e.front,
		ConnState: func(c net.Conn, state http.ConnState) {
			e.conns.ConnState(c, state)
			limits.ConnState(c, state)
		},
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return conns.Context(limits.ConnContext(ctx, c), c)
		},
		MaxHeaderBytes: e.settings.Limits.Header,
		ErrorLog:       e.log.Faults(event.HandlerFailed),
	}
	e.buildRelayed()
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.env.ReadyPath, e.answerReady)
	e.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	e.operators = admin.New(e.subject(), e.log, e.Stop)
	return nil
}

// Reload applies changed settings. Names and addresses of a running process stay as they
// are, and so does admission control; a change of them is logged as needing a restart.
func (e *Entry) Reload(s settings.Settings) {
	restart := s.Name != e.settings.Name || s.DataCentre != e.settings.DataCentre || s.Listen != e.settings.Listen ||
		s.Overload != e.settings.Overload || e.contractsLimitAdmission(s) != e.contractsLimitAdmission(e.settings)
	e.watcher.Reconfigure(e.source(s), e.followOptions(s))
	e.bounds.Store(&s.Bounds)
	e.shortenStop(s.Bounds.Grace)
	e.front.SetLimits(frontLimits(s.Bounds))
	e.retries.SetBounds(retryBounds(s.Bounds), steady.Now())
	e.front.SetHeldBytes(s.Limits.HeldBytes)
	e.poison.SetLimits(poisonLimits(s.Routes))
	e.parts.SetLimits(partLimits(s.Routes))
	e.balancer.SetLoadFactor(s.Bounds.LoadFactor)
	e.balancer.SetColdBounds(coldBounds(s.Bounds))
	e.balancer.Rollouts().SetExposure(s.Bounds.Exposure)
	e.setStatusWriter(s)
	e.setServedStore(s)
	e.setHeldStore(s)
	e.log.Write(event.SettingsReloaded, event.F("restart_needed", restart))
}

// place returns this router's rank among the routers that it knows.
func (e *Entry) place() turns.Place {
	if e.gossip == nil || e.settings.Without.Has(mechanism.Rank) {
		return turns.Place{Routers: 1}
	}
	return turns.Place{Rank: e.gossip.Rank(), Routers: e.gossip.MemberCount()}
}

// headerTime bounds reading the header of a readiness probe.
const headerTime = 5 * time.Second

func (e *Entry) listen() error {
	for _, address := range []string{e.settings.Listen.Callers, e.settings.Listen.Readiness, e.settings.Listen.Admin} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range e.listeners {
				open.Close()
			}
			return fmt.Errorf("entry: %w", err)
		}
		e.listeners = append(e.listeners, l)
	}
	e.callerListener = &retryListener{Listener: e.listeners[0], onExhausted: e.freeDescriptors}
	return nil
}

// Addresses returns the addresses that serve callers and readiness probes.
func (e *Entry) Addresses() (callers, readiness string) {
	return e.listeners[0].Addr().String(), e.listeners[1].Addr().String()
}

// Stop starts the planned stop.
func (e *Entry) Stop() { e.stopOnce.Do(func() { close(e.stop) }) }

// Kill cuts a stop short.
func (e *Entry) Kill() { e.kill() }

// Wait blocks until the router has ended.
func (e *Entry) Wait() error {
	<-e.done
	return e.err
}

func (e *Entry) run() {
	defer close(e.done)
	ctx, cancel := context.WithCancel(context.Background())
	work, ctx := errgroup.WithContext(ctx)
	work.Go(func() error { return e.serveCallers() })
	work.Go(func() error { return serve(e.readiness, e.listeners[1]) })
	work.Go(func() error { return e.serveRelayed() })
	work.Go(func() error { return e.operators.Serve(e.listeners[2]) })
	work.Go(func() error {
		e.watcher.Run(ctx)
		return nil
	})
	work.Go(func() error {
		e.gossip.Run(ctx)
		return nil
	})
	work.Go(func() error {
		e.recall(ctx)
		return nil
	})
	work.Go(func() error {
		e.maintain(ctx)
		return nil
	})
	work.Go(func() error {
		e.probeLostPaths(ctx)
		return nil
	})
	work.Go(func() error {
		e.runRollouts(ctx)
		return nil
	})
	work.Go(func() error {
		e.keepServed(ctx)
		return nil
	})
	work.Go(func() error {
		e.confirmServed(ctx)
		return nil
	})
	work.Go(func() error {
		e.keepHeld(ctx)
		return nil
	})
	work.Go(func() error {
		steady.Watch(ctx, e.handleResume)
		return nil
	})
	select {
	case <-e.stop:
		e.err = e.shutDown()
	case <-ctx.Done():
	}
	cancel()
	e.callers.Close()
	e.relayed.Close()
	e.readiness.Close()
	e.operators.Close()
	if err := work.Wait(); err != nil && e.err == nil {
		e.err = fmt.Errorf("entry: %w", err)
	}
	sent, received := e.gossip.Bytes()
	reads, failed := e.watcher.Reads()
	e.log.Write(event.Stopped, event.F("in_flight", e.front.ActiveRequests()), event.F("ran_ms", steady.Since(e.started).Milliseconds()),
		event.F("peers_sent", sent), event.F("peers_received", received), event.F("reads", reads), event.F("reads_failed", failed))
}

// handleResume is called after the machine was suspended. By the steady time, knowledge is
// old by then and not acted on until it is proven again; idle connections may have ended
// meanwhile unnoticed.
func (e *Entry) handleResume(slept time.Duration) {
	e.log.Write(event.Woke, event.F("slept_ms", slept.Milliseconds()), event.F("in_flight", e.front.ActiveRequests()))
	e.front.RestartTimers()
	e.pool.DropIdle()
	e.relayPool.DropIdle()
	e.watcher.TriggerRead()
}
