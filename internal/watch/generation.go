package watch

import (
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// The source may be unavailable for a moment and be restored from a copy that is some
// seconds old, without what it accepted since. Each restore has a greater generation.
//
//	an answer of an old generation       -> counts as no answer
//	the first answer of a new generation -> what is known about replicas and data centres
//	                                        overrides it (directory.NoteRewind); reads
//	                                        prove nothing about the configuration for a
//	                                        while
//	another router's digest              -> the greater generation applies, with the facts
//	                                        that the router holds against the copy
//
// A version of the configuration is never rolled back, whatever the copy holds.

var (
	// ErrStaleGeneration means that a read returned an earlier generation of the source.
	ErrStaleGeneration = errors.New("watch: read returned an earlier generation of the source")
	// ErrUnproven means that the source was restored from a copy and the operator may not
	// have written again yet.
	ErrUnproven = errors.New("watch: source was restored, configuration not proven yet")
)

// sourceState is what is known about restores of the source. It is guarded by Watcher.mu.
type sourceState struct {
	generation    uint64
	revisionDrops uint64
	// knownSince is when this router first knew of the generation.
	knownSince time.Time
	// rewound reports that the source was restored from a copy at least once.
	rewound           bool
	generationMissing bool
	// returns counts the restores.
	returns uint64
}

// Restores returns how often the source was seen to come back from a copy.
func (w *Watcher) Restores() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.sourceState.returns
}

// Digest summarises what a router knows, without proof.
type Digest struct {
	Version uint64
	// ListHash is the hash of the list of replicas.
	ListHash uint64
	// Generation is the source's generation, or 0 if the source does not report one.
	Generation uint64
	// FactsHash is the hash of the facts that override a restored list, or 0 for none.
	FactsHash uint32
	// Revision is the source's revision that the list reflects at least; 0 if unknown.
	Revision uint64
}

// Digest returns a summary of what this router knows.
func (w *Watcher) Digest() Digest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.digest()
}

// digest is Digest with w.mu held.
func (w *Watcher) digest() Digest {
	d := Digest{ListHash: w.listHash, Generation: w.sourceState.generation, FactsHash: w.directory.FactsHash(steady.Now()), Revision: w.directory.Revision()}
	if table := w.holder.Current().Table; table != nil {
		d.Version = table.Version()
	}
	return d
}

// acceptGeneration records the generation of a read that was sent at the given time, or
// returns ErrStaleGeneration. w.mu is held.
func (w *Watcher) acceptGeneration(s *Snapshot, sent time.Time) error {
	if s.GenerationMissing && !w.sourceState.generationMissing {
		w.log.Write(event.SourceUntold, event.F("generation", w.sourceState.generation))
	}
	w.sourceState.generationMissing = s.GenerationMissing
	restored := s.RevisionDrops > w.sourceState.revisionDrops
	w.sourceState.revisionDrops = s.RevisionDrops
	if w.isPastGeneration(s.Generation) {
		w.log.Write(event.SourcePast, event.F("generation", s.Generation), event.F("known", w.sourceState.generation))
		return fmt.Errorf("%w: generation %d, known %d", ErrStaleGeneration, s.Generation, w.sourceState.generation)
	}
	later := s.Generation > w.sourceState.generation
	if later || restored {
		w.directory.SetRevision(0)
	}
	if later {
		w.sourceState.generation, w.sourceState.knownSince = s.Generation, steady.Now()
	}
	if (later || restored) && !w.directory.ReadTime().IsZero() {
		w.rewind(sent, w.directory.HoldPeriod())
	}
	return nil
}

// isPastGeneration reports whether a later generation than the given one is known. w.mu
// is held.
func (w *Watcher) isPastGeneration(generation uint64) bool {
	return generation != 0 && generation < w.sourceState.generation
}

// rewind makes what is known override the source for a hold period, which starts no
// earlier than now: a call sent while the source was unavailable may have waited for its
// restore. w.mu is held.
func (w *Watcher) rewind(sent time.Time, hold time.Duration) {
	now := steady.Now()
	if sent.After(now) {
		now = sent
	}
	w.directory.NoteRewind(now, hold)
	w.distrustProofs(now, hold)
	w.badRevisions = nil
	w.sourceState.returns++
	facts, _ := w.directory.Facts(now)
	w.log.Write(event.SourceRewound, event.F("generation", w.sourceState.generation), event.F("replicas", len(facts.Replicas)),
		event.F("evacuated", len(facts.Evacuated)), event.F("hold_ms", hold.Milliseconds()))
}

// distrustProofs makes reads prove nothing about the configuration until the operator
// must have written again, during a hold period. w.mu is held.
func (w *Watcher) distrustProofs(now time.Time, hold time.Duration) {
	w.sourceState.rewound = true
	w.holder.DistrustReadsBefore(now.Add(hold - w.directory.HoldPeriod() + w.directory.GracePeriod()))
}

// acceptsFacts reports whether another router's facts are applied. It rejects those of a
// router that was cut off until long after the source's writers have written again. w.mu
// is held.
func (w *Watcher) acceptsFacts() bool {
	return w.sourceState.generation == 0 || steady.Since(w.sourceState.knownSince) < w.directory.HoldPeriod()
}

// applyGeneration applies another router's generation and facts as of when that router
// was asked, and reports whether the rest of its knowledge may be applied. w.mu is held.
func (w *Watcher) applyGeneration(k *Knowledge, asked time.Time) bool {
	if w.isPastGeneration(k.Generation) {
		return false
	}
	since := asked.Add(-k.GenerationAge)
	later := k.Generation > w.sourceState.generation
	if later {
		w.directory.SetRevision(0)
	}
	if later || k.Generation == w.sourceState.generation && since.Before(w.sourceState.knownSince) {
		w.sourceState.generation, w.sourceState.knownSince = k.Generation, since
	}
	hold := since.Add(w.directory.HoldPeriod()).Sub(asked)
	if later && hold > 0 && !w.directory.ReadTime().IsZero() {
		w.rewind(asked, hold)
	}
	if k.Facts != nil && w.acceptsFacts() {
		w.distrustProofs(asked, k.Facts.Left)
		w.handleChanges(w.directory.ApplyFacts(*k.Facts, asked))
	}
	return true
}

// Generation returns the generation of the source, or 0 if it reports none, the number of
// restores from a copy, and the facts held against the last one.
func (w *Watcher) Generation(now time.Time) (generation, returns uint64, held directory.Facts) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held, _ = w.directory.Facts(now)
	return w.sourceState.generation, w.sourceState.returns, held
}
