package watch

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// Knowledge is what one router can pass on to another.
type Knowledge struct {
	Version uint64
	// ListHash names the list of replicas by its content.
	ListHash uint64
	// Config is nil where the other has the same, and so are Listing and Excerpt, of
	// which one is sent otherwise.
	Config  *route.Config
	Listing *directory.Listing
	// Excerpt is what the other's list lacks that has the mark From.
	Excerpt  *directory.Excerpt
	BaseHash uint64
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

// KnowledgeRequest is what a router has that asks another one for its knowledge.
type KnowledgeRequest struct {
	Version, ListHash uint64
	// FactsHash names what it holds against a copy.
	FactsHash uint32
	// PartHashes are of the parts of its list; without them it takes the whole one.
	PartHashes []uint32
}

// KnowledgeRequest returns what is known, so that another router sends only what is not.
func (w *Watcher) KnowledgeRequest() KnowledgeRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := w.digest()
	have := KnowledgeRequest{Version: digest.Version, ListHash: digest.ListHash, FactsHash: digest.FactsHash}
	if !w.whole && !w.directory.ReadTime().IsZero() {
		have.PartHashes = w.directory.PartHashes(directory.HashWithStarts)
	}
	return have
}

// worthAsking is how much newer another router's proof must seem to be than the own
// one to be asked for: proofs are renewed each second or so by one router, and what a
// datagram was under way makes one seem newer than it is.
const worthAsking = 150 * time.Millisecond

// Behind reports whether another router seems to know more, by its digest of what was the
// newest at a time. It proves nothing: the digest may have been in transit for long.
func (w *Watcher) Behind(d Digest, proven time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.holder.Current()
	switch {
	case held.Table == nil || w.isNewer(d):
		return true
	case w.isPastGeneration(d.Generation) || d.Version < held.Table.Version():
		return false
	case !w.isMark(d.ListHash):
		return proven.After(w.directory.ReadTime())
	}
	own := held.LastReadAt
	if read := w.directory.ReadTime(); read.Before(own) {
		own = read
	}
	return proven.Sub(own) >= worthAsking
}

// isNewer reports whether a digest's sender has something to apply whenever it was proven:
// a newer version, a later generation of the source, or other facts against its copy. w.mu is held.
func (w *Watcher) isNewer(d Digest) bool {
	own := w.digest()
	facts := d.FactsHash != 0 && d.FactsHash != own.FactsHash && d.Generation >= own.Generation && w.takesFacts()
	return d.Version > own.Version || d.Generation > own.Generation || facts
}

// ApplyPeerProof applies another router's digest of what was the newest at a time, and
// reports whether it has something newer to pass on.
func (w *Watcher) ApplyPeerProof(d Digest, proven time.Time) (newer bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.holder.Current()
	if held.Table == nil || w.isNewer(d) {
		return true
	}
	if w.isPastGeneration(d.Generation) || d.Version < held.Table.Version() {
		return false
	}
	if !w.isMark(d.ListHash) {
		return proven.After(w.directory.ReadTime())
	}
	// A list that was read alone may be newer than the proof; the configuration is
	// proven all the same.
	w.handleChanges(w.directory.Confirm(proven))
	if w.holder.ConfirmVersion(d.Version, proven) {
		w.notifyRead()
	}
	return false
}

// ApplyKnowledge applies another router's knowledge, which was requested at one time and
// the newest at another.
func (w *Watcher) ApplyKnowledge(k Knowledge, asked, proven time.Time, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.applyGeneration(&k, asked)
	if k.Config != nil {
		w.applyPeerConfig(k.Config, proven, from)
	}
	held := w.holder.Current()
	if !current || held.Table == nil || held.Table.Version() != k.Version || !proven.After(w.directory.ReadTime()) {
		return
	}
	switch {
	case k.Listing != nil:
		w.applyListing(*k.Listing, k.ListHash, proven)
	case k.Excerpt != nil && k.BaseHash == w.mark:
		w.applyListing(w.directory.MergeExcerpt(*k.Excerpt), k.ListHash, proven)
	case k.Excerpt == nil && w.isMark(k.ListHash):
		w.handleChanges(w.directory.Confirm(proven))
	default:
		// The list has changed here since it was asked for: this confirms neither.
		return
	}
	w.holder.ConfirmVersion(k.Version, proven)
	w.notifyRead()
}

func (w *Watcher) applyPeerConfig(c *route.Config, proven time.Time, from string) {
	table, err := route.Compile(*c)
	if err != nil {
		w.log.Write(event.ConfigRejected, event.F("error", err), event.F("version", c.Version), event.F("peer", from))
		return
	}
	if w.holder.Update(table, proven) {
		w.notifyUpdate()
		w.log.Write(event.ConfigFromPeer, event.F("version", c.Version), event.F("peer", from))
	}
}

// applyListing applies another router's list, named by a mark. A list assembled from parts
// whose mark differs is another one: the next is then requested whole.
// w.mu is held.
func (w *Watcher) applyListing(l directory.Listing, mark uint64, proven time.Time) {
	w.handleChanges(w.directory.Apply(w.directory.FillStartTimes(l), proven))
	w.whole = !w.isMark(mark)
}

// isMark reports whether a mark names the list at hand, in the form of this build or of an
// older one. w.mu is held.
func (w *Watcher) isMark(mark uint64) bool { return mark == w.mark || mark == w.plainMark }

// UsesPlainHash reports whether a router that names a list by a mark is of a build that
// knows no starts; known is false where the mark does not show it.
func (w *Watcher) UsesPlainHash(mark uint64) (plain, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return mark == w.plainMark, w.mark != w.plainMark && w.isMark(mark)
}

// PlainHash returns the mark of the list as older builds have it.
func (w *Watcher) PlainHash() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plainMark
}

// formOf returns in which form who has something names its list. w.mu is held.
func (w *Watcher) formOf(have KnowledgeRequest) directory.HashFormat {
	switch {
	case have.ListHash == w.mark:
		return directory.HashWithStarts
	case have.ListHash == w.plainMark:
		return directory.HashPlain
	case len(have.PartHashes) > 0:
		return w.directory.DetectHashFormat(have.PartHashes)
	}
	return directory.HashWithStarts
}

// mostParts is up to which part of a list an excerpt is sent: beyond, the whole list is
// about as long, and is packed once for all who request it.
const mostParts = 0.5

// Knowledge returns what is known and another router has not, with the age of its
// proof.
func (w *Watcher) Knowledge(have KnowledgeRequest, now time.Time) (Knowledge, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.holder.Current()
	k := Knowledge{Version: state.Table.Version(), ListHash: w.mark, BaseHash: have.ListHash, ListRead: w.directory.ReadTime(), Generation: w.life.generation}
	if k.Generation != 0 {
		k.GenerationAge = now.Sub(w.life.since)
	}
	if facts, held := w.directory.Facts(now); held && w.directory.FactsHash(now) != have.FactsHash {
		k.Facts = &facts
	}
	if k.Version > have.Version {
		config := state.Table.Config()
		k.Config = &config
	}
	form := w.formOf(have)
	if form == directory.HashPlain {
		k.ListHash = w.plainMark
	}
	if k.ListHash == have.ListHash {
		return k, w.age(now)
	}
	if len(have.PartHashes) > 0 {
		excerpt := w.directory.Excerpt(form, have.PartHashes)
		if len(excerpt.DifferingParts) <= int(mostParts*float64(excerpt.PartCount)) {
			k.Excerpt = &excerpt
			return k, w.age(now)
		}
	}
	listing := w.directory.Listing()
	k.Listing = &listing
	return k, w.age(now)
}
