// Package entry runs one router that serves configured routes, from start to
// planned stop.
//
//	Start -> not ready until a configuration and the replicas are known
//	Stop  -> not ready at once; serves on, each answer being the last of its
//	         connection; ends early once callers have no connection left; late
//	         in the grace time connections that rest are closed, and at the
//	         limit what is still in flight is cut
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
	"github.com/croftyard/croftyard/internal/gossip"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/turns"
)

// ErrCut: the stop's limit was reached with requests in flight.
var ErrCut = errors.New("entry: requests cut")

// Environment is what the surroundings bring: where knowledge is kept, and how
// callers, replicas and the balancer speak.
type Environment struct {
	// Source returns a client of where knowledge is kept, by the settings, that gives
	// each of its calls a time.
	Source    func(s settings.Settings, call time.Duration) watch.Source
	Dialect   front.Dialect
	ReadyPath string
	// HeldParts asks an engine what it holds, and tells the head of its answer. It may be nil.
	HeldParts func(ctx context.Context, address string, answered func(*http.Response)) ([]balance.Part, error)
	// LogDropped returns how many log lines found no room.
	LogDropped func() uint64
}

// Entry is a running router.
type Entry struct {
	settings settings.Settings
	// bounds are the users' by the newest settings.
	bounds   atomic.Pointer[settings.Bounds]
	outside  Environment
	log      *event.Log
	holder   *freshness.Holder
	balancer *balance.Balancer
	poison   *poison.Tracker
	watcher  *watch.Watcher
	pool     *upstream.Pool
	front    *front.Front
	metrics  *front.Metrics
	gossip   *gossip.Gossip

	callers   *http.Server
	conns     *conns.Set
	readiness *http.Server
	operators *admin.Admin
	listeners []net.Listener
	// taker takes callers' connections.
	taker *taker

	// accepted is closed once no further callers are accepted.
	accepted chan struct{}

	started  time.Time
	stopping atomic.Bool
	stopOnce sync.Once
	stop     chan struct{}
	kill     context.CancelFunc
	killed   context.Context
	done     chan struct{}
	err      error
}

// Start opens the listeners and begins to serve.
func Start(s settings.Settings, outside Environment, log *event.Log) (*Entry, error) {
	e := &Entry{settings: s, started: steady.Now(), outside: outside, log: log, accepted: make(chan struct{}), stop: make(chan struct{}), done: make(chan struct{})}
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
	e.metrics = front.NewMetrics()
	e.holder = freshness.NewHolder()
	e.balancer = balance.New(uint64(steady.Now().UnixNano()))
	e.balancer.SetLoadFactor(b.LoadFactor)
	e.balancer.SetColdBounds(coldBounds(b))
	e.balancer.DisableMechanisms(e.settings.Without)
	period := readPeriod(b)
	e.watcher = watch.New(e.source(e.settings), e.followOptions(e.settings),
		directory.New(2*period, relistBeats*b.Heartbeat), e.holder, e.balancer, e.log)
	e.pool = upstream.New(upstream.Options{
		IDHeader:       e.outside.Dialect.AttemptID,
		DialTimeout:    e.settings.Routes.Dial,
		SilenceTimeout: e.settings.Routes.Silence,
		IdleTime:       e.settings.Routes.Keep,
		Opened:         func(string) { e.metrics.ConnectionsOpened.Inc(1) },
		Silenced: func(address string, dropped int) {
			e.log.Write(event.ConnsSilent, event.F("address", address), event.F("dropped", dropped))
		},
	})
	e.poison = newPoison(e.settings.Routes, e.log)
	var err error
	e.gossip, err = gossip.Start(gossip.Options{Address: e.settings.Listen.Peers, DataCentre: e.settings.DataCentre, Seeds: e.settings.Peers.Seeds, Period: e.settings.Peers.Period, Poison: e.poison},
		e.watcher, e.balancer, e.log)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	e.front = front.New(front.Options{
		Dialect:    e.outside.Dialect,
		DataCentre: e.settings.DataCentre,
		Limits:     frontLimits(b),
		Poison:     e.poison,
		OwnsTask:   e.gossip.OwnsTask,
		Without:    e.settings.Without,
	}, e.watcher, e.holder, e.balancer, e.pool, e.metrics, e.log)
	e.balancer.SetReplicaHooks(balance.ReplicaHooks{
		Restarted: func(id, address string) {
			e.pool.Drop(address)
			e.front.ReplicaRestarted(id, steady.Now())
		},
		Removed: func(id string) { e.front.ReplicaRemoved(id, steady.Now()) },
	})
	limits := front.NewConnLimits(e.holder, e.log)
	e.conns = conns.NewSet()
	e.callers = &http.Server{
		Handler: e.front,
		ConnState: func(c net.Conn, state http.ConnState) {
			e.conns.ConnState(c, state)
			limits.ConnState(c, state)
		},
		ConnContext:    limits.ConnContext,
		MaxHeaderBytes: e.settings.Limits.Header,
		ErrorLog:       e.log.Faults(event.HandlerFailed),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+e.outside.ReadyPath, e.answerReady)
	e.readiness = &http.Server{Handler: mux, ReadHeaderTimeout: headerTime}
	e.operators = admin.New(e.subject(), e.log, e.Stop)
	return nil
}

// Reload takes changed settings. Names and addresses of a running process stay
// as they are; a change of them is logged as waiting for the next start.
func (e *Entry) Reload(s settings.Settings) {
	restart := s.Name != e.settings.Name || s.DataCentre != e.settings.DataCentre || s.Listen != e.settings.Listen
	e.watcher.Reconfigure(e.source(s), e.followOptions(s))
	e.bounds.Store(&s.Bounds)
	e.front.SetLimits(frontLimits(s.Bounds))
	e.poison.SetLimits(poisonLimits(s.Routes))
	e.balancer.SetLoadFactor(s.Bounds.LoadFactor)
	e.balancer.SetColdBounds(coldBounds(s.Bounds))
	e.log.Write(event.SettingsReloaded, event.F("restart_needed", restart))
}

// place is this router's among those that it knows.
func (e *Entry) place() turns.Place {
	if e.gossip == nil || e.settings.Without.Has(mechanism.Rank) {
		return turns.Place{Routers: 1}
	}
	return turns.Place{Rank: e.gossip.Rank(), Routers: e.gossip.MemberCount()}
}

// headerTime bounds a question for readiness.
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
	e.taker = &taker{Listener: e.listeners[0], relieve: e.relieve}
	return nil
}

// Addresses returns where callers and the balancer's questions are served.
func (e *Entry) Addresses() (callers, readiness string) {
	return e.listeners[0].Addr().String(), e.listeners[1].Addr().String()
}

// Ready tells whether the router should get new connections.
func (e *Entry) Ready() bool {
	if e.stopping.Load() || !e.watcher.Initialized() || e.taker.starved(steady.Now()) {
		return false
	}
	return e.proven()
}

// relieve makes room for callers when there is no descriptor left.
func (e *Entry) relieve(err error, first bool) {
	dropped := e.pool.DropIdle()
	if !first {
		return
	}
	e.log.Write(event.Exhausted, event.F("error", err), event.F("dropped", dropped), event.F("in_flight", e.front.ActiveRequests()))
}

// proven tells whether the configuration is proven to be new enough for keys.
func (e *Entry) proven() bool {
	return e.watcher.Staleness(steady.Now()) < keyProof(*e.bounds.Load())
}

func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// Stop begins the planned stop.
func (e *Entry) Stop() { e.stopOnce.Do(func() { close(e.stop) }) }

// Kill cuts a stop short.
func (e *Entry) Kill() { e.kill() }

// Wait returns when the router has ended.
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
		e.tidy(ctx)
		return nil
	})
	work.Go(func() error {
		steady.Watch(ctx, e.woke)
		return nil
	})
	select {
	case <-e.stop:
		e.err = e.shutDown()
	case <-ctx.Done():
	}
	cancel()
	e.callers.Close()
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

// serveCallers ends without an error once a stop closes the listener.
func (e *Entry) serveCallers() error {
	defer close(e.accepted)
	err := serve(e.callers, e.conns.Listener(e.taker))
	if e.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// woke is called after the machine was suspended. What was known is old by then, by the
// steady time, and is not acted on until it is proven again; connections that rested may
// have ended meanwhile without a word.
func (e *Entry) woke(slept time.Duration) {
	e.log.Write(event.Woke, event.F("slept_ms", slept.Milliseconds()), event.F("in_flight", e.front.ActiveRequests()))
	e.front.RestartTimers()
	e.pool.DropIdle()
	e.watcher.TriggerRead()
}

// tidy writes when the router is first ready and closes connections that
// rested too long.
func (e *Entry) tidy(ctx context.Context) {
	const pause = 500 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	ready, proven := false, true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := e.Ready(); now != ready {
			ready = now
			e.log.Write(event.Ready, event.F("ready", ready), event.F("proof_ms", e.watcher.Staleness(steady.Now()).Milliseconds()))
		}
		if now := e.proven(); now != proven && e.watcher.Initialized() {
			proven = now
			id := event.ProofOld
			if proven {
				id = event.ProofNew
			}
			e.log.Write(id, event.F("proof_ms", e.watcher.Staleness(steady.Now()).Milliseconds()))
		}
		e.pool.CloseIdle()
	}
}
