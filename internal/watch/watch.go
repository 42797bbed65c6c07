// Package watch keeps a router's knowledge of the configuration and of the replicas up to
// date.
//
//	Source ──Read, each Period──> Watcher ──> freshness.Holder (configuration, proof)
//	                                     └──> directory, balancer (replicas)
//
// Each read returns the newest state at the time, so it proves that everything accepted
// before the read was sent is known. That is why the source is polled: a watch call can
// stay silent while changes are made.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/rollout"
	"github.com/croftyard/croftyard/pkg/route"
	"github.com/croftyard/croftyard/pkg/turns"
)

// ErrNoConfig means that the source holds no configuration yet.
var ErrNoConfig = errors.New("watch: no configuration")

// Snapshot is the result of one read of a source.
type Snapshot struct {
	// Config is nil if it could not be decoded; ConfigErr then says why.
	Config    *route.Config
	ConfigErr error
	// Replicas are all listed replicas. BadReplicas describe those whose entries cannot
	// be used.
	Replicas    []directory.Replica
	BadReplicas []BadEntry
	// Evacuated are the data centres whose replicas must receive no requests.
	Evacuated []string
	// Rollouts are the roll-outs of services.
	Rollouts []rollout.Record
	// Revision is the source's revision that the replicas reflect at least; 0 if unknown.
	Revision uint64
	// Generation rises when the source is restored from a copy, without what was written
	// since. 0 means that the source does not report it.
	Generation uint64
	// RevisionDrops counts how often the source was seen to be restored without reporting
	// it. GenerationMissing means that the source reported its generation before and no
	// longer does.
	RevisionDrops     uint64
	GenerationMissing bool
}

// BadEntry is an entry that was not written by a replica.
type BadEntry struct {
	Key string
	// Revision rises when the entry is rewritten.
	Revision uint64
	Err      error
}

// listing returns the replicas, evacuations and roll-outs of the snapshot.
func (s *Snapshot) listing() directory.Listing {
	return directory.Listing{Replicas: s.Replicas, Evacuated: s.Evacuated, Rollouts: s.Rollouts}
}

// Source stores the configuration and the list of replicas. Read must return the newest
// state or fail.
type Source interface {
	Read(ctx context.Context) (Snapshot, error)
	// Replicas reads the replicas and evacuations but neither the configuration, so
	// Snapshot.Config is nil, nor the roll-outs. It may run concurrently with Read.
	Replicas(ctx context.Context) (Snapshot, error)
}

// HeadReader is a Source whose list may be too long for each router to read all of it.
type HeadReader interface {
	// ReadHead reads the configuration and the first page of the list. If complete is not set,
	// the list has more pages, and the snapshot's replicas must not be used.
	ReadHead(ctx context.Context) (s Snapshot, complete bool, err error)
}

// KnownList is the list of replicas that a router knows.
type KnownList struct {
	directory.Listing
	// Revision is the source's revision that the list reflects, of a generation.
	Revision, Generation uint64
}

// ListUser is a Source that can read what has changed since a list which the router learned
// from others, so that not each router that reads has to read the whole list once.
type ListUser interface {
	// UseList sets a function that returns the newest list. Its first result is the list's
	// revision and generation, 0 if it has none; list is expensive.
	UseList(known func() (revision, generation uint64, list func() KnownList))
}

// Options configure a Watcher.
type Options struct {
	// Period is the pause between two reads.
	Period time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// FirstRead is how long the first read waits for knowledge from other routers.
	FirstRead time.Duration
	// ReadsFirst: this router reads a long list at once when it starts, for the others.
	ReadsFirst bool
	// Place returns this router's place among the routers that read for each other. Nil
	// means that it is the only one.
	Place func() turns.Place
}

// Watcher polls a source and applies what it and other routers know. It is safe for
// concurrent use.
type Watcher struct {
	source      atomic.Pointer[Source]
	options     atomic.Pointer[Options]
	log         *event.Log
	holder      *freshness.Holder
	balancer    *balance.Balancer
	wake        chan struct{}
	turns       *turns.Scheduler
	reads       atomic.Uint64
	failedReads atomic.Uint64
	started     time.Time

	mu        sync.Mutex
	directory *directory.Directory
	// listHash and plainHash are the hashes of the list for routers of this build and of
	// older ones.
	listHash, plainHash uint64
	// needsWholeList makes the next request for knowledge ask for the whole list.
	needsWholeList bool
	// hasList is set once the first list was applied.
	hasList bool
	// longSince is when the head of a long list was read that this router lacked.
	longSince  time.Time
	sourceDown bool
	// readDone is closed and replaced after each successful read, updates at each change
	// of the configuration or of the list.
	readDone chan struct{}
	updates  chan struct{}
	// ownReads holds a value after each successful read of this router.
	ownReads chan struct{}
	// refreshing is closed when the refresh of the list in progress has ended; nil if
	// none is.
	refreshing  chan struct{}
	outage      outage
	sourceState sourceState
	// badRevisions are the revisions of the entries that were logged as bad, by key.
	badRevisions map[string]uint64
}

// New returns a Watcher that updates a holder and a balancer.
func New(s Source, o Options, d *directory.Directory, h *freshness.Holder, b *balance.Balancer, log *event.Log) *Watcher {
	w := &Watcher{
		log:       log,
		holder:    h,
		balancer:  b,
		wake:      make(chan struct{}, 1),
		turns:     turns.New(rand.Uint64()),
		started:   steady.Now(),
		directory: d,
		readDone:  make(chan struct{}),
		updates:   make(chan struct{}),
		ownReads:  make(chan struct{}, 1),
	}
	w.Reconfigure(s, o)
	return w
}

// Reconfigure changes the source and the options while the Watcher runs.
func (w *Watcher) Reconfigure(s Source, o Options) {
	if user, uses := s.(ListUser); uses {
		user.UseList(w.knownList)
	}
	w.source.Store(&s)
	w.options.Store(&o)
	w.turns.SetPeriod(o.Period)
}

// knownList implements the function that ListUser uses.
func (w *Watcher) knownList() (revision, generation uint64, list func() KnownList) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.needsWholeList {
		return 0, 0, nil
	}
	return w.directory.Revision(), w.sourceState.generation, func() KnownList {
		w.mu.Lock()
		defer w.mu.Unlock()
		return KnownList{Listing: w.directory.Listing(), Revision: w.directory.Revision(), Generation: w.sourceState.generation}
	}
}

// Reads returns the number of reads, and how many of them failed.
func (w *Watcher) Reads() (made, failed uint64) {
	return w.reads.Load(), w.failedReads.Load()
}

// Staleness returns the age of the configuration's proof.
func (w *Watcher) Staleness(now time.Time) time.Duration {
	return w.holder.Current().ProofAge(now)
}

// Age returns the age of all knowledge: that of the configuration's proof or of the list
// of replicas, whichever is older. Gossip carries it to other routers.
func (w *Watcher) Age(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.age(now)
}

// age is Age with w.mu held. It includes proofs from a restored source, which receivers
// distrust for as long as this router does.
func (w *Watcher) age(now time.Time) time.Duration {
	return max(now.Sub(w.holder.Current().LastReadAt), now.Sub(w.directory.ReadTime()))
}

// Initialized reports whether a configuration and a list of replicas are known.
func (w *Watcher) Initialized() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holder.Current().Table != nil && !w.directory.ReadTime().IsZero()
}

// Replicas returns the known replicas.
func (w *Watcher) Replicas() []directory.Replica {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.List()
}

// SourceFailing reports whether the last read failed and no other router has received an
// answer since.
func (w *Watcher) SourceFailing() bool { return w.turns.SourceLost() }
