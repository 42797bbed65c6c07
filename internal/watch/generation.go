package watch

import (
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// The source may be away for a moment and come back from a copy that is some seconds
// old, without what it had accepted since. Each such life has a greater generation.
//
//	an answer of a life that is over  -> is as none
//	the first of a new life           -> what is known of replicas and data centres holds
//	                                     against it (directory.Rewind); reads prove
//	                                     nothing of the configuration for a while
//	another router's digest           -> the greater generation wins, with the facts
//	                                     that it holds against the copy
//
// A version of the configuration is never taken back, whatever the copy holds.

var (
	// ErrStaleGeneration: what was read is of a life of the source that is over.
	ErrStaleGeneration = errors.New("follow: read of a source that was replaced by a copy")
	// ErrUnproven: the source has come back from a copy, and the operator may not have
	// written again yet.
	ErrUnproven = errors.New("follow: nothing proves the configuration yet")
)

// life is what is known of the source's lives. It is guarded by Watcher.mu.
type life struct {
	generation uint64
	falls      uint64
	// since is when this router first knew of the generation.
	since time.Time
	// rewound: it came back from a copy at least once.
	rewound bool
	untold  bool
	// returns counts the copies.
	returns uint64
}

// Digest summarises what a router knows, without proof.
type Digest struct {
	Version uint64
	// ListHash names the list of replicas by its content.
	ListHash uint64
	// Generation is the source's, 0 if it tells none.
	Generation uint64
	// FactsHash names what is held against a copy, 0 for nothing.
	FactsHash uint32
}

// Digest returns a summary of what is known.
func (w *Watcher) Digest() Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest()
}

// digest is Digest with w.mu held.
func (w *Watcher) digest() Digest {
	d := Digest{ListHash: w.mark, Generation: w.life.generation, FactsHash: w.directory.FactsHash(steady.Now())}
	if table := w.holder.Current().Table; table != nil {
		d.Version = table.Version()
	}
	return d
}

// acceptGeneration records the generation of a read that was sent at a time, or returns
// ErrPast. w.mu is held.
func (w *Watcher) acceptGeneration(s *Snapshot, sent time.Time) error {
	if s.GenerationMissing && !w.life.untold {
		w.log.Write(event.SourceUntold, event.F("generation", w.life.generation))
	}
	w.life.untold = s.GenerationMissing
	fell := s.RevisionDrops > w.life.falls
	w.life.falls = s.RevisionDrops
	if w.isPastGeneration(s.Generation) {
		w.log.Write(event.SourcePast, event.F("generation", s.Generation), event.F("known", w.life.generation))
		return fmt.Errorf("%w: generation %d, known %d", ErrStaleGeneration, s.Generation, w.life.generation)
	}
	later := s.Generation > w.life.generation
	if later {
		w.life.generation, w.life.since = s.Generation, steady.Now()
	}
	if (later || fell) && !w.directory.ReadTime().IsZero() {
		w.rewind(sent, w.directory.HoldPeriod())
	}
	return nil
}

// isPastGeneration reports whether a generation is over. w.mu is held.
func (w *Watcher) isPastGeneration(generation uint64) bool {
	return generation != 0 && generation < w.life.generation
}

// rewind holds what is known against what the source says from now on, for a time. A call
// that was sent while it was away may have waited for its return. w.mu is held.
func (w *Watcher) rewind(sent time.Time, hold time.Duration) {
	now := steady.Now()
	if sent.After(now) {
		now = sent
	}
	w.directory.NoteRewind(now, hold)
	w.distrustProofs(now, hold)
	w.bad = nil
	w.life.returns++
	facts, _ := w.directory.Facts(now)
	w.log.Write(event.SourceRewound, event.F("generation", w.life.generation), event.F("replicas", len(facts.Replicas)),
		event.F("evacuated", len(facts.Evacuated)), event.F("hold_ms", hold.Milliseconds()))
}

// distrustProofs makes reads prove nothing of the configuration until the operator must
// have written again, while a hold lasts. w.mu is held.
func (w *Watcher) distrustProofs(now time.Time, hold time.Duration) {
	w.life.rewound = true
	w.holder.DistrustReadsBefore(now.Add(hold - w.directory.HoldPeriod() + w.directory.GracePeriod()))
}

// takesFacts reports whether another router's facts against the copy are applied: those of
// one that was cut off until its writers have long written again are not. w.mu is held.
func (w *Watcher) takesFacts() bool {
	return w.life.generation == 0 || steady.Since(w.life.since) < w.directory.HoldPeriod()
}

// applyGeneration applies another router's generation and its facts against a copy, as of
// when it was asked, and reports whether the rest of its knowledge may be applied. w.mu is
// held.
func (w *Watcher) applyGeneration(k *Knowledge, asked time.Time) bool {
	if w.isPastGeneration(k.Generation) {
		return false
	}
	since := asked.Add(-k.GenerationAge)
	later := k.Generation > w.life.generation
	if later || k.Generation == w.life.generation && since.Before(w.life.since) {
		w.life.generation, w.life.since = k.Generation, since
	}
	hold := since.Add(w.directory.HoldPeriod()).Sub(asked)
	if later && hold > 0 && !w.directory.ReadTime().IsZero() {
		w.rewind(asked, hold)
	}
	if k.Facts != nil && w.takesFacts() {
		w.distrustProofs(asked, k.Facts.Left)
		w.handleChanges(w.directory.ApplyFacts(*k.Facts, asked))
	}
	return true
}

// Generation returns the generation of the source, 0 if it tells none, how often it came back
// from a copy, and what is held against the last one.
func (w *Watcher) Generation(now time.Time) (generation, returns uint64, held directory.Facts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, _ = w.directory.Facts(now)
	return w.life.generation, w.life.returns, held
}
