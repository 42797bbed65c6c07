// Package front serves callers' requests by the configured routes.
//
//	caller ──HTTP──> Front ── route, key, proof ──> balance.Pick ──> upstream ──HTTP──> replica
//
// Every request ends in one of three ways: the answer of a replica, unchanged;
// a refusal that promises that it has not run and never will (503 with
// Retry-After); or an error that promises nothing (502, 504, a cut connection).
// The names of headers and the forms of their values are those of a Dialect, so
// that the package knows no platform's names.
package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/poison"
)

// Dialect holds the names and forms in which callers, routers and replicas
// speak.
type Dialect struct {
	// Headers of a caller's request.
	AttemptID   string
	Deadline    string
	PromptParts string
	Key         string
	// KeyScheme precedes the key in its header.
	KeyScheme string
	// Headers that the router sets towards a replica.
	Organisation  string
	ExpectReplica string
	Priority      string
	CopyFrom      string
	// RouterOnly names all headers that only routers may set; a caller's are dropped.
	RouterOnly []string
	// Headers of a replica's answer.
	NotExecuted string
	Load        string
	// ShuttingDown announces the replica's shutdown.
	ShuttingDown string
	// ParseParts reads the value of Parts, ParseLoad that of Load.
	ParseParts func(string) []balance.Part
	ParseLoad  func(string) (requests int, ok bool)
}

// Options of a front.
type Options struct {
	Dialect Dialect
	// DataCentre is the router's.
	DataCentre string
	Limits     Limits
	// Poison holds the marks against requests; nil: marks of its own.
	Poison *poison.Tracker
	// OwnsTask tells whether, of all routers, this one is to do a task; nil: it is.
	OwnsTask func(task string) bool
	// Without are mechanisms that an experiment leaves out.
	Without mechanism.Set
}

// Limits can change while the front runs.
type Limits struct {
	// MaxKeyProofAge is the greatest age of the proof at which a key is believed.
	MaxKeyProofAge time.Duration
	// MaxAbsenceProofAge is the greatest age of the proof at which an unknown route or
	// key is said to be unknown.
	MaxAbsenceProofAge time.Duration
	// MaxListAge is the greatest age of the list of replicas by which a request is
	// written to a replica. Zero: none.
	MaxListAge time.Duration
	// RetryRatio is how many retries each request earns, RetryReserve how many
	// there are in store.
	RetryRatio float64
	RetryBurst float64
}

// Front is an http.Handler.
type Front struct {
	options  Options
	watcher  *watch.Watcher
	holder   *freshness.Holder
	balancer *balance.Balancer
	poison   *poison.Tracker
	pool     *upstream.Pool
	log      *event.Log
	metrics  *Metrics
	started  time.Time
	limits   atomic.Pointer[Limits]
	retries  *admission.RetryBudget
	active   atomic.Int64
	served   atomic.Uint64
	spent    atomic.Bool
	// listStale: the list of replicas could not be refreshed at the last attempt.
	listStale atomic.Bool
	// stopping is nil while no stop was asked for.
	stopping atomic.Pointer[stop]
	// cutting ends the calls that are in flight.
	cutting context.Context
	cut     context.CancelFunc
	longest *admission.MaxDurations
	// probes find out whether a replica has ended.
	probes singleflight.Group
	broken brokenRequests
	// inFlight are the calls under way.
	inFlight inFlight
}

// New returns a front.
func New(o Options, f *watch.Watcher, h *freshness.Holder, b *balance.Balancer, p *upstream.Pool, m *Metrics, log *event.Log) *Front {
	if o.Poison == nil {
		o.Poison = poison.New(poison.Options{})
	}
	front := &Front{
		options:  o,
		watcher:  f,
		holder:   h,
		balancer: b,
		poison:   o.Poison,
		pool:     p,
		log:      log,
		metrics:  m,
		started:  steady.Now(),
		retries:  admission.NewRetryBudget(o.Limits.RetryRatio, o.Limits.RetryBurst),
		longest:  admission.NewMaxDurations(),
	}
	front.limits.Store(&o.Limits)
	front.cutting, front.cut = context.WithCancel(context.Background())
	return front
}

// SetLimits changes the limits.
func (f *Front) SetLimits(l Limits) {
	f.limits.Store(&l)
	f.retries.Set(l.RetryRatio, l.RetryBurst)
}

// ActiveRequests returns the number of requests that are served now.
func (f *Front) ActiveRequests() int { return int(f.active.Load()) }

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if expired(r.Context()) {
		// The caller sees its connection closed and knows that nothing was passed on.
		panic(http.ErrAbortHandler)
	}
	f.active.Add(1)
	defer f.active.Add(-1)
	c := newCall(f, w, r, steady.Now())
	defer c.recordEnd()
	c.serve()
}
