package directory

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listed returns the replicas that the last read listed, sorted by id: without
// unconfirmed ones. How long they stay cold is as of that read.
func (d *Directory) Listed() []Replica {
	return d.listed(func(*entry) bool { return true })
}

// The changes.
const (
	Joined       ChangeKind = "joined"
	DrainStarted ChangeKind = "draining"
	Left         ChangeKind = "gone"
	Unconfirmed  ChangeKind = "missing from a list that may be incomplete"
	ListedAgain  ChangeKind = "listed again"
	// ConnectionsClosed: unconfirmed, it closed its connection as one that leaves does.
	ConnectionsClosed ChangeKind = "closes its connections"
	TurnedCold        ChangeKind = "cold"
	TurnedWarm        ChangeKind = "warm"
	// Restarted: it started again under its id, and holds and knows nothing of before.
	Restarted ChangeKind = "started again"
	// EntryInvalidated and Usable: its entry is another writer's, and its own again.
	EntryInvalidated ChangeKind = "entry spoilt"
	EntryUsableAgain ChangeKind = "entry usable again"
	// Evacuated and Returned are of a data centre.
	Evacuated       ChangeKind = "evacuated"
	EvacuationEnded ChangeKind = "taken back"
)

// Listing returns what the last read listed, to be passed on.
func (d *Directory) Listing() Listing {
	return Listing{Replicas: d.Listed(), Evacuated: slices.Clone(d.evacuated)}
}

// Hash names the list by its content in a form, in whatever order that is kept: it is worked out
// at each change, and to sort and write out a long list takes longer than the change.
func (d *Directory) Hash(f HashFormat) uint64 {
	var replicas uint64
	for _, e := range d.entries {
		if e.unconfirmedSince.IsZero() {
			replicas += e.sums[f]
		}
	}
	return xxhash.Sum64(fmt.Appendf(nil, "%d %q", replicas, d.evacuated))
}

// NotListedSince returns the ids of the replicas that no read sent since a time names. An
// unconfirmed one is left out if the list was seen to be unavailable after it was last
// named, and the first read without it was sent since that time: behind a partition, one
// that leaves looks like one whose entry lapsed, and the time to drain runs from that read.
func (d *Directory) NotListedSince(since, lost time.Time) []string {
	if !d.oldest.Before(since) {
		return nil
	}
	var ids []string
	for id, e := range d.entries {
		if e.unlisted(since, lost) {
			ids = append(ids, id)
		}
	}
	return ids
}

// unlisted reports whether no read sent since a time names the entry, see Unlisted.
func (e *entry) unlisted(since, lost time.Time) bool {
	excused := e.unconfirmedSince.After(since) && lost.After(e.listed)
	return e.listed.Before(since) && !excused
}
