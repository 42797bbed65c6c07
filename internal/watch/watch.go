// Package watch keeps a router's knowledge of the configuration and of the
// replicas up to date.
//
//	Source ──Read, each Period──> Watcher ──> freshness.Holder (configuration, proof)
//	                                     └──> directory, balancer (replicas)
//
// Each read is answered by the newest state there was, so it proves that
// whatever was accepted before it was sent is known. That is why the source is polled: a
// watch call of it can be silent while changes are made.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
	"github.com/croftyard/croftyard/pkg/turns"
)

// ErrNoConfig: the source holds no configuration yet.
var ErrNoConfig = errors.New("watch: no configuration")

// Snapshot is what one read of a source returned.
type Snapshot struct {
	// Config is nil if it could not be decoded; Problem then tells why.
	Config    *route.Config
	ConfigErr error
	// Replicas are all that are listed, BadReplicas those of them whose entries say
	// nothing that can be used.
	Replicas    []directory.Replica
	BadReplicas []BadEntry
	// Evacuated are the data centres to whose replicas nothing is to be sent.
	Evacuated []string
	// Generation is which of the source's lives answered: it rises when the source comes
	// back from a copy, without what was written since. 0: it does not say.
	Generation uint64
	// RevisionDrops counts how often the source was seen to come back without saying so; Untold:
	// it said before which life it is in, and does no more.
	RevisionDrops     uint64
	GenerationMissing bool
}

// BadEntry is an entry that was not written by a replica.
type BadEntry struct {
	Key string
	// Revision rises when the entry is written anew.
	Revision uint64
	Err      error
}

// listing is what the snapshot lists.
func (s *Snapshot) listing() directory.Listing {
	return directory.Listing{Replicas: s.Replicas, Evacuated: s.Evacuated}
}

// Source is where the configuration and the list of replicas are kept. Read
// must be answered by the newest state, or fail.
type Source interface {
	Read(ctx context.Context) (Snapshot, error)
	// Replicas is Read without the configuration, for which Snapshot.Config is nil:
	// the replicas and the evacuations.
	// It may run beside Read.
	Replicas(ctx context.Context) (Snapshot, error)
}

// Options of a watcher.
type Options struct {
	// Period is the pause between two reads.
	Period time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// FirstRead is how long the first read waits for knowledge of other routers.
	FirstRead time.Duration
	// Place returns this router's place among those that read for each other; nil: it is
	// the only one.
	Place func() turns.Place
}

// Watcher is safe for concurrent use.
type Watcher struct {
	source   atomic.Pointer[Source]
	options  atomic.Pointer[Options]
	log      *event.Log
	holder   *freshness.Holder
	balancer *balance.Balancer
	wake     chan struct{}
	turns    *turns.Scheduler
	reads    atomic.Uint64
	failed   atomic.Uint64

	mu        sync.Mutex
	directory *directory.Directory
	// mark and plainMark name the list to routers of this build and of older ones.
	mark, plainMark uint64
	// whole: another router's list is to be requested whole.
	whole bool
	lost  bool
	// read is closed and renewed with each read that succeeded, updates with each change
	// of the configuration or of the list.
	read    chan struct{}
	updates chan struct{}
	// refreshing is closed when the renewal of the list that is under way has ended.
	refreshing chan struct{}
	outage     outage
	life       life
	// bad are the revisions of the entries that were logged as bad, by key.
	bad map[string]uint64
}

// New returns a watcher that feeds a holder and a balancer.
func New(s Source, o Options, d *directory.Directory, h *freshness.Holder, b *balance.Balancer, log *event.Log) *Watcher {
	w := &Watcher{
		log:       log,
		holder:    h,
		balancer:  b,
		wake:      make(chan struct{}, 1),
		turns:     turns.New(rand.Uint64()),
		directory: d,
		read:      make(chan struct{}),
		updates:   make(chan struct{}),
	}
	w.Reconfigure(s, o)
	return w
}

// Reconfigure changes the source and the options while the watcher runs.
func (w *Watcher) Reconfigure(s Source, o Options) {
	w.source.Store(&s)
	w.options.Store(&o)
	w.turns.SetPeriod(o.Period)
}

// Reads returns how many reads were made, and how many of them failed.
func (w *Watcher) Reads() (made, failed uint64) {
	return w.reads.Load(), w.failed.Load()
}

// Staleness returns how old the proof of the configuration is.
func (w *Watcher) Staleness(now time.Time) time.Duration {
	return w.holder.Current().ProofAge(now)
}

// Age returns how old all knowledge is: the older of the configuration's proof
// and of the list of replicas. It is what gossip carries to other routers.
func (w *Watcher) Age(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.age(now)
}

// age is Age with w.mu held. What a copy does not prove is passed on all the same; its
// receivers distrust it for as long.
func (w *Watcher) age(now time.Time) time.Duration {
	return max(now.Sub(w.holder.Current().LastReadAt), now.Sub(w.directory.ReadTime()))
}

// Initialized tells whether a configuration and a list of replicas were ever read.
func (w *Watcher) Initialized() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Current().Table != nil && !w.directory.ReadTime().IsZero()
}

// Replicas returns the replicas that are known.
func (w *Watcher) Replicas() []directory.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.List()
}

// SourceFailing reports whether the last read failed and no other router had an answer since.
func (w *Watcher) SourceFailing() bool { return w.turns.SourceLost() }
