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
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
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

// Run reads until ctx ends: as soon as the newest proof, own or told, is older
// than readAfter, or sooner for who wants to know more; in turns while the source
// answers nobody.
func (f *Follower) Run(ctx context.Context) {
	timer := time.NewTimer(f.options.Load().FirstRead)
	defer timer.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.wake:
			woken = true
		}
		rest := f.turns.Wait(f.place(), steady.Now())
		if !woken {
			rest = max(rest, f.readAfter()-f.Age(steady.Now()))
		}
		if rest <= 0 {
			// How it ended is noted; the rest follows from that.
			_ = f.readOnce(ctx)
			rest = f.readAfter()
			if wait := f.turns.Wait(f.place(), steady.Now()); wait > 0 {
				rest = wait
			}
		}
		// Who was heard until now may be heard no more.
		timer.Reset(min(rest, f.options.Load().Period))
	}
}

// ReadSoon has the source read at once, unless it is known to answer nobody.
func (f *Follower) ReadSoon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// place is this router's among those that read for each other. Who tells asks what is known
// under its own lock, so f.mu is not held here.
func (f *Follower) place() turns.Place {
	if place := f.options.Load().Place; place != nil {
		return place()
	}
	return turns.Place{Routers: 1}
}

// readAfter is how old the proof may get before this router reads.
func (f *Follower) readAfter() time.Duration {
	return f.turns.ReadAfter(f.place(), steady.Now())
}

func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	f.began(wholeRead, sent)
	snapshot, err := (*f.source.Load()).Read(ctx)
	f.reads.Add(1)
	if err != nil {
		f.failed.Add(1)
	}
	f.noteSource(err, sent)
	if err != nil {
		return err
	}
	return f.Take(snapshot, sent)
}

// began notes that a read was sent.
func (f *Follower) began(kind readKind, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage.begin(kind, sent)
}

// noteSource writes when the source was lost and regained.
func (f *Follower) noteSource(err error, sent time.Time) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.ended(wholeRead, err, sent)
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.log.Write(event.PlatformDown, event.F("error", err), event.F("proof_ms", f.ProofAge(sent).Milliseconds()))
	case err == nil && was:
		f.log.Write(event.PlatformBack, event.F("proof_ms", f.ProofAge(sent).Milliseconds()))
	}
}

// Take takes what a read returned that was sent at a time, or returns ErrPast.
func (f *Follower) Take(s Snapshot, sent time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.enter(&s, sent); err != nil {
		return err
	}
	f.takeConfig(s, sent)
	f.changed(f.directory.Take(s.listing(), sent))
	f.noteBad(s.BadReplicas)
	f.newProof()
	return nil
}

// noteBad writes of each bad entry once. f.mu is held.
func (f *Follower) noteBad(entries []BadEntry) {
	bad := make(map[string]uint64, len(entries))
	for _, e := range entries {
		bad[e.Key] = e.Revision
		if f.bad[e.Key] != e.Revision {
			f.log.Write(event.ReplicaUnreadable, event.F("key", e.Key), event.F("revision", e.Revision), event.F("error", e.Problem))
		}
	}
	f.bad = bad
}

// newProof wakes who waits for a proof. f.mu is held.
func (f *Follower) newProof() {
	f.turns.Answered(f.holder.Current().Seen)
	close(f.read)
	f.read = make(chan struct{})
}

// changed takes changes of the directory. f.mu is held.
func (f *Follower) changed(changes []directory.Change) {
	if len(changes) == 0 {
		return
	}
	f.balancer.Replace(f.directory.List(), f.directory.Read())
	f.mark, f.plainMark = f.directory.Mark(directory.WithStarts), f.directory.Mark(directory.Plain)
	f.tellNews()
	for _, c := range changes {
		switch c.What {
		case directory.Restarted:
			// Who is told the list knows it from when the replica says that it started.
			f.balancer.Restarted(c.Replica.ID, c.Replica.Born == 0, steady.Now())
		case directory.Left:
			f.balancer.Gone(c.Replica.ID)
		}
		if c.Centre != "" {
			f.log.Write(centreEvent(c.What), event.F("data_centre", c.Centre))
			continue
		}
		f.log.Write(event.ReplicaChanged, event.F("replica", c.Replica.ID), event.F("service", c.Replica.Service),
			event.F("address", c.Replica.Address), event.F("change", string(c.What)))
	}
}

// centreEvent is the event of a change of a data centre.
func centreEvent(what directory.What) event.ID {
	if what == directory.Evacuated {
		return event.CentreEvacuated
	}
	return event.CentreReturned
}

func (f *Follower) takeConfig(s Snapshot, sent time.Time) {
	if s.Problem != nil {
		f.log.Write(event.ConfigRejected, event.F("error", s.Problem))
		return
	}
	held := f.holder.Current()
	if held.Table != nil && s.Config.Version == held.Table.Version() {
		f.holder.Prove(s.Config.Version, sent)
		return
	}
	if f.life.rewound && held.Table != nil && s.Config.Version < held.Table.Version() {
		// The operator has not written again what the copy lacks. Nothing newer is there,
		// and what is held is never taken back.
		f.holder.Prove(held.Table.Version(), sent)
		return
	}
	table, err := route.Compile(*s.Config)
	if err != nil {
		f.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", s.Config.Version))
		return
	}
	if f.holder.Offer(table, sent) {
		f.tellNews()
		f.log.Write(event.ConfigAdopted, event.F("version", table.Version()), event.F("routes", len(s.Config.Routes)))
	}
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

// Prove asks for a proof of the configuration that is newer than a time and returns
// once there is one, or with an error when ctx ends, or at once if a read would prove
// nothing now.
func (f *Follower) Prove(ctx context.Context, since time.Time) error {
	for {
		if f.holder.Doubted(steady.Now()) && f.holder.Current().Proven.Before(since) {
			return ErrDoubted
		}
		f.mu.Lock()
		read := f.read
		f.mu.Unlock()
		if !f.holder.Current().Proven.Before(since) {
			return nil
		}
		f.ReadSoon()
		select {
		case <-read:
		case <-ctx.Done():
			return fmt.Errorf("follow: no proof: %w", ctx.Err())
		}
	}
}
