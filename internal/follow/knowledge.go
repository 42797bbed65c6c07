package follow

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// Knowledge is what one router can pass on to another.
type Knowledge struct {
	Version uint64
	// Mark names the list of replicas by its content.
	Mark uint64
	// Config is nil where the other has the same, and so are Listing and Excerpt, of
	// which one is told else.
	Config  *route.Config
	Listing *directory.Listing
	// Excerpt is what the other's list lacks that has the mark From.
	Excerpt *directory.Excerpt
	From    uint64
	// ListRead is when the list was read last that Listing is, by this router's clock.
	ListRead time.Time
	// Generation is the source's, and GenerationAge for how long it has been known: who
	// learns of it long after has nothing to hold against it any more.
	Generation    uint64
	GenerationAge time.Duration
	// Facts are what is held against a copy that the source came back from; nil where
	// nothing is, or the other holds the same.
	Facts *directory.Facts
}

// Have is what a router has that asks another one for its knowledge.
type Have struct {
	Version, Mark uint64
	// Facts names what it holds against a copy.
	Facts uint32
	// Sums are of the parts of its list; without them it takes the whole one.
	Sums []uint32
}

// Have returns what is known, for another router to tell only what is not.
func (f *Follower) Have() Have {
	f.mu.Lock()
	defer f.mu.Unlock()
	word := f.word()
	have := Have{Version: word.Version, Mark: word.Mark, Facts: word.Facts}
	if !f.whole && !f.directory.Read().IsZero() {
		have.Sums = f.directory.Sums(directory.WithStarts)
	}
	return have
}

// worthAsking is how much newer another router's proof must seem to be than the own
// one to be asked for: proofs are renewed each second or so by one router, and what a
// datagram was under way makes one seem newer than it is.
const worthAsking = 150 * time.Millisecond

// Behind tells whether another router seems to know more, by its word of what was the
// newest at a time. It proves nothing: what it told may have been under way for long.
func (f *Follower) Behind(w Word, proven time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.holder.Current()
	switch {
	case held.Table == nil || f.hasMore(w):
		return true
	case f.past(w.Generation) || w.Version < held.Table.Version():
		return false
	case !f.isMark(w.Mark):
		return proven.After(f.directory.Read())
	}
	own := held.Seen
	if read := f.directory.Read(); read.Before(own) {
		own = read
	}
	return proven.Sub(own) >= worthAsking
}

// hasMore tells whether who says a word has what is to be taken whenever it was proven: a
// newer version, a later life of the source, or other facts against its copy. f.mu is held.
func (f *Follower) hasMore(w Word) bool {
	own := f.word()
	facts := w.Facts != 0 && w.Facts != own.Facts && w.Generation >= own.Generation && f.takesFacts()
	return w.Version > own.Version || w.Generation > own.Generation || facts
}

// ProvenBy takes another router's word of what was the newest at a time, and tells
// whether it has something newer to pass on.
func (f *Follower) ProvenBy(w Word, proven time.Time) (newer bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.holder.Current()
	if held.Table == nil || f.hasMore(w) {
		return true
	}
	if f.past(w.Generation) || w.Version < held.Table.Version() {
		return false
	}
	if !f.isMark(w.Mark) {
		return proven.After(f.directory.Read())
	}
	// A list that was read alone may be newer than the proof; the configuration is
	// proven all the same.
	f.changed(f.directory.Confirm(proven))
	if f.holder.Prove(w.Version, proven) {
		f.newProof()
	}
	return false
}

// Learn takes what another router passed on, asked for at a time, which was the newest
// at another.
func (f *Follower) Learn(k Knowledge, asked, proven time.Time, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.hear(&k, asked)
	if k.Config != nil {
		f.learnConfig(k.Config, proven, from)
	}
	held := f.holder.Current()
	if !current || held.Table == nil || held.Table.Version() != k.Version || !proven.After(f.directory.Read()) {
		return
	}
	switch {
	case k.Listing != nil:
		f.takeListing(*k.Listing, k.Mark, proven)
	case k.Excerpt != nil && k.From == f.mark:
		f.takeListing(f.directory.With(*k.Excerpt), k.Mark, proven)
	case k.Excerpt == nil && f.isMark(k.Mark):
		f.changed(f.directory.Confirm(proven))
	default:
		// The list has changed here since it was asked for: this confirms neither.
		return
	}
	f.holder.Prove(k.Version, proven)
	f.newProof()
}

func (f *Follower) learnConfig(c *route.Config, proven time.Time, from string) {
	table, err := route.Compile(*c)
	if err != nil {
		f.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", c.Version), event.F("peer", from))
		return
	}
	if f.holder.Offer(table, proven) {
		f.tellNews()
		f.log.Write(event.ConfigFromPeer, event.F("version", c.Version), event.F("peer", from))
	}
}

// takeListing takes a list of another router that has a mark. What was put together
// from parts and has another one is not that list: then the next is asked for whole.
// f.mu is held.
func (f *Follower) takeListing(l directory.Listing, mark uint64, proven time.Time) {
	f.changed(f.directory.Take(f.directory.WithStarts(l), proven))
	f.whole = !f.isMark(mark)
}

// isMark tells whether a mark names the list at hand, in the form of this build or of an
// older one. f.mu is held.
func (f *Follower) isMark(mark uint64) bool { return mark == f.mark || mark == f.plainMark }

// SpeaksPlain tells whether a router that names a list by a mark is of a build that knows
// nothing of starts; known is false where the mark does not tell.
func (f *Follower) SpeaksPlain(mark uint64) (plain, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return mark == f.plainMark, f.mark != f.plainMark && f.isMark(mark)
}

// PlainMark returns the mark of the list as older builds have it.
func (f *Follower) PlainMark() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.plainMark
}

// formOf returns in which form who has something names its list. f.mu is held.
func (f *Follower) formOf(have Have) directory.Form {
	switch {
	case have.Mark == f.mark:
		return directory.WithStarts
	case have.Mark == f.plainMark:
		return directory.Plain
	case len(have.Sums) > 0:
		return f.directory.FormOf(have.Sums)
	}
	return directory.WithStarts
}

// mostParts is up to which part of a list an excerpt is told: more of it is about as
// long as the whole list, which is packed once for all who ask.
const mostParts = 0.5

// Knowledge returns what is known and another router has not, with the age of its
// proof.
func (f *Follower) Knowledge(have Have, now time.Time) (Knowledge, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := f.holder.Current()
	k := Knowledge{Version: state.Table.Version(), Mark: f.mark, From: have.Mark, ListRead: f.directory.Read(), Generation: f.life.generation}
	if k.Generation != 0 {
		k.GenerationAge = now.Sub(f.life.since)
	}
	if facts, held := f.directory.Facts(now); held && f.directory.FactsSum(now) != have.Facts {
		k.Facts = &facts
	}
	if k.Version > have.Version {
		config := state.Table.Config()
		k.Config = &config
	}
	form := f.formOf(have)
	if form == directory.Plain {
		k.Mark = f.plainMark
	}
	if k.Mark == have.Mark {
		return k, f.age(now)
	}
	if len(have.Sums) > 0 {
		excerpt := f.directory.Excerpt(form, have.Sums)
		if len(excerpt.Differ) <= int(mostParts*float64(excerpt.Parts)) {
			k.Excerpt = &excerpt
			return k, f.age(now)
		}
	}
	listing := f.directory.Listing()
	k.Listing = &listing
	return k, f.age(now)
}
