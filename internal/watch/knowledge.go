package watch

import (
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// Knowledge is what one router passes on to another.
type Knowledge struct {
	Version uint64
	// ListHash is the hash of the list of replicas.
	ListHash uint64
	// Config is nil if the other router has the same version. Listing, Delta and Excerpt
	// are all nil if its list is the same, and otherwise one of them is set.
	Config  *route.Config
	Listing *directory.Listing
	// Delta is what has changed since the revision Since, which the other router's list
	// reflects. Revision is the one that this router's list reflects; 0 if unknown.
	Delta           *directory.Delta
	Since, Revision uint64
	// Excerpt is the difference to the other router's list, whose hash is BaseHash.
	Excerpt  *directory.Excerpt
	BaseHash uint64
	// ListRead is when the list in Listing was last read, by this router's clock.
	ListRead time.Time
	// Generation is the source's generation and GenerationAge how long it has been known:
	// a router that learns of it long after has nothing left to hold against it.
	Generation    uint64
	GenerationAge time.Duration
	// Facts override a list that the source restored from a copy. Facts is nil if none
	// are held or the other router holds the same.
	Facts *directory.Facts
}

// KnowledgeRequest says what the requesting router already has.
type KnowledgeRequest struct {
	Version, ListHash uint64
	// FactsHash is the hash of the facts that the requester holds.
	FactsHash uint32
	// PartHashes are the hashes of the parts of its list. Without them, and without a
	// revision, it receives the whole list.
	PartHashes []uint32
	// Revision is the source's revision that its list reflects, of the generation; 0 if
	// unknown.
	Revision, Generation uint64
}

// KnowledgeRequest returns what this router has, so that another router sends only what
// it lacks. deltas is set if that router sends deltas between revisions.
func (w *Watcher) KnowledgeRequest(deltas bool) KnowledgeRequest {
	w.mu.Lock()
	defer w.mu.Unlock()
	digest := w.digest()
	have := KnowledgeRequest{Version: digest.Version, ListHash: digest.ListHash, FactsHash: digest.FactsHash, Generation: digest.Generation}
	switch {
	case w.needsWholeList || w.directory.ReadTime().IsZero():
	case deltas && digest.Revision != 0:
		have.Revision = digest.Revision
	default:
		have.PartHashes = w.directory.PartHashes(directory.HashWithStarts)
	}
	return have
}

// minProofLead is how much newer another router's proof must seem than this router's
// before it is requested. One router renews proofs about every second, and the transit
// time of a datagram makes a proof seem newer than it is.
const minProofLead = 150 * time.Millisecond

// Behind reports whether another router seems to know more, by its digest of the newest
// state at the given time. This proves nothing, because the digest may have been in
// transit for long.
func (w *Watcher) Behind(d Digest, proven time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	held := w.holder.Current()
	switch {
	case held.Table == nil || w.isNewer(d):
		return true
	case w.isPastGeneration(d.Generation) || d.Version < held.Table.Version():
		return false
	case !w.matchesListHash(d.ListHash):
		return proven.After(w.directory.ReadTime())
	}
	own := held.LastReadAt
	if read := w.directory.ReadTime(); read.Before(own) {
		own = read
	}
	return proven.Sub(own) >= minProofLead
}

// isNewer reports whether the digest's sender has something to apply regardless of when
// it was proven: a newer version, a later generation of the source, or other facts about
// its restore. w.mu is held.
func (w *Watcher) isNewer(d Digest) bool {
	own := w.digest()
	facts := d.FactsHash != 0 && d.FactsHash != own.FactsHash && d.Generation >= own.Generation && w.acceptsFacts()
	return d.Version > own.Version || d.Generation > own.Generation || facts
}

// ApplyPeerProof applies another router's digest of the newest state at the given time,
// and reports whether that router has something newer to pass on.
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
	matches := w.matchesListHash(d.ListHash)
	if !matches && !w.reflects(d.Revision, d.Generation) {
		return proven.After(w.directory.ReadTime())
	}
	// A list that was read separately may be newer than the proof, which still applies to
	// the configuration.
	if matches && d.Revision != 0 && d.Generation == w.sourceState.generation {
		w.directory.SetRevision(d.Revision)
	}
	w.handleChanges(w.directory.Confirm(proven))
	if w.holder.ConfirmVersion(d.Version, proven) {
		w.notifyRead()
	}
	return false
}

// ApplyKnowledge applies another router's knowledge, which was requested at asked and was
// the newest state at proven.
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
	case w.reflects(k.Revision, k.Generation) && !w.matchesListHash(k.ListHash):
		w.handleChanges(w.directory.Confirm(proven))
	case k.Listing != nil:
		w.directory.ReplaceRevision(k.Revision)
		w.applyListing(*k.Listing, k.ListHash, proven)
	case k.Delta != nil && k.Since == w.directory.Revision():
		w.directory.SetRevision(k.Revision)
		w.applyDelta(*k.Delta, k.ListHash, proven)
	case k.Excerpt != nil && k.BaseHash == w.listHash:
		w.applyExcerpt(*k.Excerpt, k.ListHash, proven)
	case k.Excerpt == nil && w.matchesListHash(k.ListHash):
		w.handleChanges(w.directory.Confirm(proven))
	default:
		// This router's list has changed since the request, so the knowledge confirms
		// neither it nor the configuration.
		return
	}
	w.logFirstList(from)
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

// applyListing applies another router's list with the given hash. If a list assembled
// from parts has another hash, the next one is requested whole. w.mu is held.
func (w *Watcher) applyListing(l directory.Listing, listHash uint64, proven time.Time) {
	w.handleChanges(w.directory.Apply(w.directory.FillUnknown(l), proven))
	w.needsWholeList = !w.matchesListHash(listHash)
}

// applyExcerpt is applyListing for the parts of a list that differ from this router's.
func (w *Watcher) applyExcerpt(x directory.Excerpt, listHash uint64, proven time.Time) {
	x.Listing = w.directory.FillUnknown(x.Listing)
	w.handleChanges(w.directory.ApplyExcerpt(x, proven))
	w.needsWholeList = !w.matchesListHash(listHash)
}

// reflects reports whether this router's list reflects a revision that another router's list
// reflects, so that it is no older than that one, whichever was read later: a read that
// takes long reflects more than what had been written when it was sent.
func (w *Watcher) reflects(revision, generation uint64) bool {
	return revision != 0 && generation == w.sourceState.generation && revision <= w.directory.Revision()
}

// applyDelta is applyListing for what has changed since this router's list.
func (w *Watcher) applyDelta(x directory.Delta, listHash uint64, proven time.Time) {
	x.Listing = w.directory.FillUnknown(x.Listing)
	w.handleChanges(w.directory.ApplyDelta(x, proven))
	if w.needsWholeList = !w.matchesListHash(listHash); w.needsWholeList {
		w.directory.SetRevision(0)
	}
}

// matchesListHash reports whether a hash is that of the current list, in the format of
// this build or of an older one. w.mu is held.
func (w *Watcher) matchesListHash(listHash uint64) bool {
	return listHash == w.listHash || listHash == w.plainHash
}

// UsesPlainHash reports whether a router that sends the given hash of the list is of a
// build without start times. known is false if the hash does not show it.
func (w *Watcher) UsesPlainHash(listHash uint64) (plain, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return listHash == w.plainHash, w.listHash != w.plainHash && w.matchesListHash(listHash)
}

// PlainHash returns the hash of the list in the format of older builds.
func (w *Watcher) PlainHash() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.plainHash
}

// hashFormatOf returns the hash format that the sender of a request uses. w.mu is held.
func (w *Watcher) hashFormatOf(have KnowledgeRequest) directory.HashFormat {
	switch {
	case have.ListHash == w.listHash:
		return directory.HashWithStarts
	case have.ListHash == w.plainHash:
		return directory.HashPlain
	case len(have.PartHashes) > 0:
		return w.directory.DetectHashFormat(have.PartHashes)
	}
	return directory.HashWithStarts
}

// maxExcerptFraction is the largest fraction of a list's parts that an excerpt may hold.
// Beyond it the whole list is about as long, and is encoded once for all routers that
// request it.
const maxExcerptFraction = 0.5

// Knowledge returns what this router knows and the requester lacks, with the age of its
// proof.
func (w *Watcher) Knowledge(have KnowledgeRequest, now time.Time) (Knowledge, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	state := w.holder.Current()
	k := Knowledge{Version: state.Table.Version(), ListHash: w.listHash, BaseHash: have.ListHash, ListRead: w.directory.ReadTime(), Generation: w.sourceState.generation, Revision: w.directory.Revision()}
	if k.Generation != 0 {
		k.GenerationAge = now.Sub(w.sourceState.knownSince)
	}
	if facts, held := w.directory.Facts(now); held && w.directory.FactsHash(now) != have.FactsHash {
		k.Facts = &facts
	}
	if k.Version > have.Version {
		config := state.Table.Config()
		k.Config = &config
	}
	form := w.hashFormatOf(have)
	if form == directory.HashPlain {
		k.ListHash = w.plainHash
	}
	if k.ListHash == have.ListHash {
		return k, w.age(now)
	}
	if have.Generation == k.Generation {
		if delta, known := w.directory.Delta(have.Revision); known {
			k.Delta, k.Since = &delta, have.Revision
			return k, w.age(now)
		}
	}
	if len(have.PartHashes) > 0 {
		excerpt := w.directory.Excerpt(form, have.PartHashes)
		if len(excerpt.DifferingParts) <= int(maxExcerptFraction*float64(excerpt.PartCount)) {
			k.Excerpt = &excerpt
			return k, w.age(now)
		}
	}
	listing := w.directory.Listing()
	k.Listing = &listing
	return k, w.age(now)
}
