// Package follow keeps a router's knowledge of the configuration and of the
// replicas up to date.
//
//	Source ──Read, each Period──> Follower ──> freshness.Holder (configuration, proof)
//	                                      └──> directory, balancer (replicas)
//
// Each read is answered by the newest state there was, so it proves that
// whatever was accepted before it was sent is known. That is why the source is
// read rather than watched: a watch can be silent while changes are made.
package follow

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
var ErrNoConfig = errors.New("follow: no configuration")

// Snapshot is what one read of a source returned.
type Snapshot struct {
	// Config is nil if it could not be decoded; Problem then tells why.
	Config  *route.Config
	Problem error
	// Replicas are all that are listed, BadReplicas those of them whose entries say
	// nothing that can be used.
	Replicas    []directory.Replica
	BadReplicas []BadEntry
	// Evacuated are the data centres to whose replicas nothing is to be sent.
	Evacuated []string
	// Generation is which of the source's lives answered: it rises when the source comes
	// back from a copy, without what was written since. 0: it does not say.
	Generation uint64
	// Falls counts how often the source was seen to come back without saying so; Untold:
	// it said before which life it is in, and does no more.
	Falls  uint64
	Untold bool
}

// BadEntry is an entry that was not written by a replica.
type BadEntry struct {
	Key string
	// Revision rises when the entry is written anew.
	Revision uint64
	Problem  error
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

// Options of a follower.
type Options struct {
	// Period is the pause between two reads.
	Period time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// FirstRead is how long the first read waits for what other routers tell.
	FirstRead time.Duration
	// Place returns this router's place among those that read for each other; nil: it is
	// the only one.
	Place func() turns.Place
}

// Follower is safe for concurrent use.
type Follower struct {
	source   atomic.Pointer[Source]
	options  atomic.Pointer[Options]
	log      *event.Log
	holder   *freshness.Holder
	balancer *balance.Balancer
	wake     chan struct{}
	turns    *turns.Turns
	reads    atomic.Uint64
	failed   atomic.Uint64

	mu        sync.Mutex
	directory *directory.Directory
	// mark and plainMark name the list to routers of this build and of older ones.
	mark, plainMark uint64
	// whole: another router's list is to be taken whole.
	whole bool
	lost  bool
	// read is closed and renewed with each read that succeeded, news with each change
	// of the configuration or of the list.
	read chan struct{}
	news chan struct{}
	// renewing is closed when the renewal of the list that is under way has ended.
	renewing chan struct{}
	outage   outage
	life     life
	// bad are the revisions of the entries that were told to be bad, by key.
	bad map[string]uint64
}

// New returns a follower that feeds a holder and a balancer.
func New(s Source, o Options, d *directory.Directory, h *freshness.Holder, b *balance.Balancer, log *event.Log) *Follower {
	f := &Follower{
		log:       log,
		holder:    h,
		balancer:  b,
		wake:      make(chan struct{}, 1),
		turns:     turns.New(rand.Uint64()),
		directory: d,
		read:      make(chan struct{}),
		news:      make(chan struct{}),
	}
	f.Set(s, o)
	return f
}

// Set changes the source and the options while the follower runs.
func (f *Follower) Set(s Source, o Options) {
	f.source.Store(&s)
	f.options.Store(&o)
	f.turns.SetPeriod(o.Period)
}

// Reads returns how many reads were made, and how many of them failed.
func (f *Follower) Reads() (made, failed uint64) {
	return f.reads.Load(), f.failed.Load()
}

// ProofAge returns how old the proof of the configuration is.
func (f *Follower) ProofAge(now time.Time) time.Duration {
	return f.holder.Current().Age(now)
}

// Age returns how old all knowledge is: the older of the configuration's proof
// and of the list of replicas. It is what other routers are told.
func (f *Follower) Age(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(now)
}

// age is Age with f.mu held. What a copy does not prove is passed on all the same, and
// its receivers doubt it as long.
func (f *Follower) age(now time.Time) time.Duration {
	return max(now.Sub(f.holder.Current().Seen), now.Sub(f.directory.Read()))
}

// Known tells whether a configuration and a list of replicas were ever read.
func (f *Follower) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holder.Current().Table != nil && !f.directory.Read().IsZero()
}

// Replicas returns the replicas that are known.
func (f *Follower) Replicas() []directory.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.directory.List()
}

// Lost tells whether the last read failed, and no other router had an answer since.
func (f *Follower) Lost() bool { return f.turns.Lost() }
