// Package front forwards callers' requests to replicas by the configured routes.
//
//	caller ──HTTP──> Front ── route, key, freshness ──> balance.Pick ──> upstream ──HTTP──> replica
//
// Every request ends in one of three ways: the unchanged answer of a replica; a refusal
// which guarantees that the request has not run and never will (503 with Retry-After); or an
// error that guarantees nothing (502, 504, an aborted connection). A Dialect gives the names
// of headers and the formats of their values, so that the package depends on no platform.
package front

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/brokenrequest"
	"github.com/croftyard/croftyard/internal/front/callerconn"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/deadlines"
	"github.com/croftyard/croftyard/internal/front/memory"
	"github.com/croftyard/croftyard/internal/front/metrics"
	"github.com/croftyard/croftyard/internal/front/retries"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/relay"
	"github.com/croftyard/croftyard/pkg/retry"
)

// Dialect holds the header names and value formats that callers, routers and replicas use.
type Dialect struct {
	// Headers of a caller's request.
	AttemptID string
	// Resumes names the attempt whose answer began the stream that the request continues.
	Resumes     string
	Deadline    string
	PromptParts string
	Key         string
	// KeyScheme precedes the key in its header.
	KeyScheme string
	// Headers that the router sets in requests to a replica.
	Organisation  string
	ExpectReplica string
	Priority      string
	CopyFrom      string
	// RouterOnly lists the headers that only routers may set; those of callers are dropped.
	RouterOnly []string
	// Headers of a replica's answer. NotExecuted says that the request has not run.
	NotExecuted string
	// Signature shows that a success is a replica's; empty if replicas do not sign.
	Signature string
	Load      string
	// ShuttingDown announces the replica's shutdown.
	ShuttingDown string
	// Brittle states how many requests the replica may turn away in a second before it ends.
	Brittle string
	// ParseParts parses the value of PromptParts, ParseLoad that of Load. The pace is that
	// of the replica's machine in percent of the usual, 0 if it is not reported.
	ParseParts func(string) []balance.Part
	ParseLoad  func(string) (requests, pace int, ok bool)
}

// Options configures a Front.
type Options struct {
	Dialect Dialect
	// DataCentre is the router's own.
	DataCentre string
	// Name identifies the router among routers.
	Name   string
	Limits Limits
	// HeldBytes is the maximum of the bytes held for all callers together. Zero means none.
	HeldBytes int64
	// Poison records the requests that crash replicas. If nil, New creates one.
	Poison *poison.Tracker
	// Parts records the parts of prompts that crash replicas. If nil, New creates one.
	Parts *poison.PartTracker
	// ObservePace is called with the pace of each load header that has one. It may be nil.
	ObservePace func(pace int)
	// OwnsTask reports whether this router, of all routers, is responsible for a task. If
	// nil, it is responsible for all.
	OwnsTask func(task string) bool
	// Without are the mechanisms that an experiment disables.
	Without mechanism.Set
	// Overload decides which requests a service without engines takes. If nil, all.
	Overload Overload
	// Relays are the other routers that requests can be handed to. If nil, there are none.
	Relays func() []relay.Router
	// RelayPool keeps the connections to them.
	RelayPool *upstream.Pool
	// Retries is this router's part of the fleet's retries. If nil, New creates one that admits
	// none.
	Retries *retry.Budget
	// Loans borrows retries from other routers. If nil, retries are not borrowed.
	Loans retries.Loans
	// Origins records at which versions streams began. If nil, streams that callers take up may
	// go on at any.
	Origins continuation.Origins
	// AdmissionEnabled reports whether requests may be refused by Overload. If nil, they may.
	AdmissionEnabled func() bool
}

// Limits are the settings that can change while a Front runs.
type Limits struct {
	// MaxKeyProofAge is the maximum age of the configuration's last confirmation at which
	// keys are accepted.
	MaxKeyProofAge time.Duration
	// MaxAbsenceProofAge is the maximum age of that confirmation at which a route or key may
	// be reported as unknown.
	MaxAbsenceProofAge time.Duration
	// MaxListAge is the maximum age of the list of replicas at which a request is written to
	// a replica. Zero means no maximum.
	MaxListAge time.Duration
	// ListPeriod is the usual pause between two reads of that list.
	ListPeriod time.Duration
}

// Front is an http.Handler that forwards requests to replicas.
type Front struct {
	options  Options
	watcher  *watch.Watcher
	holder   *freshness.Holder
	balancer *balance.Balancer
	poison   *poison.Tracker
	parts    *poison.PartTracker
	pool     *upstream.Pool
	log      *event.Log
	metrics  *metrics.Metrics
	started  time.Time
	limits   atomic.Pointer[Limits]
	retries  *retries.Budget
	active   atomic.Int64
	served   atomic.Uint64
	// listStale is set if the last attempt to refresh the list of replicas failed.
	listStale atomic.Bool
	// stopping is nil until BeginShutdown is called.
	stopping atomic.Pointer[shutdown]
	// cutting is cancelled by cut to end the calls in flight.
	cutting          context.Context
	cut              context.CancelFunc
	longestDurations *admission.MaxDurations
	// probes deduplicates concurrent probes of one replica.
	probes singleflight.Group
	// lostPathProbes are the probes that ProbeLostPaths started.
	lostPathProbes sync.WaitGroup
	// healthChecks deduplicates concurrent health checks of one replica.
	healthChecks singleflight.Group
	broken       brokenrequest.Store
	// inFlight are the calls in progress.
	inFlight deadlines.Calls
	// overloaded are the services for which requests are refused.
	overloaded overloadedServices
	// held is the memory for callers.
	held *memory.Pool
	// relays remembers which routers reach which services, relayedHere counts the requests
	// of other routers in progress.
	relays      *relay.Selector
	relayedHere atomic.Int64
	// streams notes for Origins what serves.
	streams *continuation.Observer
	// lostServices are the services that this router lost the path to, as last logged.
	lostServices []string
}

// New returns a Front.
func New(o Options, f *watch.Watcher, h *freshness.Holder, b *balance.Balancer, p *upstream.Pool, m *metrics.Metrics, log *event.Log) *Front {
	if o.Poison == nil {
		o.Poison = poison.New(poison.Options{})
	}
	if o.Retries == nil {
		o.Retries = retry.NewBudget(retry.Bounds{Window: time.Second}, steady.Now(), steady.Now())
	}
	if o.Parts == nil {
		o.Parts = poison.NewPartTracker(poison.Options{})
	}
	front := &Front{
		options:          o,
		watcher:          f,
		holder:           h,
		balancer:         b,
		poison:           o.Poison,
		parts:            o.Parts,
		pool:             p,
		log:              log,
		metrics:          m,
		started:          steady.Now(),
		retries:          retries.New(o.Retries, o.Loans),
		longestDurations: admission.NewMaxDurations(),
		held:             memory.NewPool(log),
		relays:           relay.New(uint64(steady.Now().UnixNano())),
	}
	front.limits.Store(&o.Limits)
	front.streams = front.newStreams()
	front.held.SetLimit(o.HeldBytes)
	front.cutting, front.cut = context.WithCancel(context.Background())
	return front
}

func (f *Front) newStreams() *continuation.Observer {
	return continuation.NewObserver(continuation.ObserverOptions{
		Origins:    f.options.Origins,
		Watcher:    f.watcher,
		Holder:     f.holder,
		Balancer:   f.balancer,
		ListPeriod: func() time.Duration { return f.limits.Load().ListPeriod },
	})
}

// SetLimits replaces the limits.
func (f *Front) SetLimits(l Limits) { f.limits.Store(&l) }

// ActiveRequests returns the number of requests being served.
func (f *Front) ActiveRequests() int { return int(f.active.Load()) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if callerconn.Expired(r.Context()) {
		// The closed connection tells the caller that nothing was forwarded.
		panic(http.ErrAbortHandler)
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	c := newCall(f, w, r, steady.Now())
	defer c.recordEnd()
	c.serve()
}

// RestartTimers ends the calls that expired while the machine was suspended, and restarts the
// timers of the others.
func (f *Front) RestartTimers() { f.inFlight.Restart() }
