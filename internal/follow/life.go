package follow

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
//	another router's word             -> the greater generation wins; what it holds
//	                                     against the copy is taken
//
// A version of the configuration is never taken back, whatever the copy holds.

var (
	// ErrPast: what was read is of a life of the source that is over.
	ErrPast = errors.New("follow: read of a source that was replaced by a copy")
	// ErrDoubted: the source has come back from a copy, and the operator may not have
	// written again yet.
	ErrDoubted = errors.New("follow: nothing proves the configuration yet")
)

// life is what is known of the source's lives. It is guarded by Follower.mu.
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

// Word is what a router says that it knows, without proving it.
type Word struct {
	Version uint64
	// Mark names the list of replicas by its content.
	Mark uint64
	// Generation is the source's, 0 if it tells none.
	Generation uint64
	// Facts names what is held against a copy, 0 for nothing.
	Facts uint32
}

// Word returns what is known.
func (f *Follower) Word() Word {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.word()
}

// word is Word with f.mu held.
func (f *Follower) word() Word {
	w := Word{Mark: f.mark, Generation: f.life.generation, Facts: f.directory.FactsSum(steady.Now())}
	if table := f.holder.Current().Table; table != nil {
		w.Version = table.Version()
	}
	return w
}

// enter takes note of the life of which a read is that was sent at a time. f.mu is held.
func (f *Follower) enter(s *Snapshot, sent time.Time) error {
	if s.Untold && !f.life.untold {
		f.log.Write(event.SourceUntold, event.F("generation", f.life.generation))
	}
	f.life.untold = s.Untold
	fell := s.Falls > f.life.falls
	f.life.falls = s.Falls
	if f.past(s.Generation) {
		f.log.Write(event.SourcePast, event.F("generation", s.Generation), event.F("known", f.life.generation))
		return fmt.Errorf("%w: generation %d, known %d", ErrPast, s.Generation, f.life.generation)
	}
	later := s.Generation > f.life.generation
	if later {
		f.life.generation, f.life.since = s.Generation, steady.Now()
	}
	if (later || fell) && !f.directory.Read().IsZero() {
		f.rewind(sent, f.directory.Hold())
	}
	return nil
}

// past tells whether a generation is over. f.mu is held.
func (f *Follower) past(generation uint64) bool {
	return generation != 0 && generation < f.life.generation
}

// rewind holds what is known against what the source says from now on, for a time. A call
// that was sent while it was away may have waited for its return. f.mu is held.
func (f *Follower) rewind(sent time.Time, hold time.Duration) {
	now := steady.Now()
	if sent.After(now) {
		now = sent
	}
	f.directory.Rewind(now, hold)
	f.doubt(now, hold)
	f.bad = nil
	f.life.returns++
	facts, _ := f.directory.Facts(now)
	f.log.Write(event.SourceRewound, event.F("generation", f.life.generation), event.F("replicas", len(facts.Replicas)),
		event.F("evacuated", len(facts.Evacuated)), event.F("hold_ms", hold.Milliseconds()))
}

// doubt has reads prove nothing of the configuration until the operator must have written
// again, where a hold lasts on for a time. f.mu is held.
func (f *Follower) doubt(now time.Time, hold time.Duration) {
	f.life.rewound = true
	f.holder.Doubt(now.Add(hold - f.directory.Hold() + f.directory.Grace()))
}

// takesFacts tells whether another router's facts against the copy are heeded: those of
// one that was cut off until its writers have long written again are not. f.mu is held.
func (f *Follower) takesFacts() bool {
	return f.life.generation == 0 || steady.Since(f.life.since) < f.directory.Hold()
}

// hear takes the generation that another router knows, and what it holds against a copy,
// as of when it was asked; it tells whether the rest of what it knows may be taken. f.mu
// is held.
func (f *Follower) hear(k *Knowledge, asked time.Time) bool {
	if f.past(k.Generation) {
		return false
	}
	since := asked.Add(-k.GenerationAge)
	later := k.Generation > f.life.generation
	if later || k.Generation == f.life.generation && since.Before(f.life.since) {
		f.life.generation, f.life.since = k.Generation, since
	}
	hold := since.Add(f.directory.Hold()).Sub(asked)
	if later && hold > 0 && !f.directory.Read().IsZero() {
		f.rewind(asked, hold)
	}
	if k.Facts != nil && f.takesFacts() {
		f.doubt(asked, k.Facts.Left)
		f.changed(f.directory.Learn(*k.Facts, asked))
	}
	return true
}

// Lives returns the generation of the source, 0 if it tells none, how often it came back
// from a copy, and what is held against the last one.
func (f *Follower) Lives(now time.Time) (generation, returns uint64, held directory.Facts) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held, _ = f.directory.Facts(now)
	return f.life.generation, f.life.returns, held
}
