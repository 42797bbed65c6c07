package directory

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Listed returns the replicas of the last read, sorted by ID, without unconfirmed ones.
// ColdLeft is as of that read.
func (d *Directory) Listed() []Replica {
	return d.listed(func(*entry) bool { return true })
}

// The kinds of change.
const (
	Joined       ChangeKind = "joined"
	DrainStarted ChangeKind = "draining"
	Left         ChangeKind = "gone"
	Unconfirmed  ChangeKind = "missing from a list that may be incomplete"
	ListedAgain  ChangeKind = "listed again"
	// ConnectionsClosed: an unconfirmed replica closed its connection, as a replica that
	// shuts down does.
	ConnectionsClosed ChangeKind = "closes its connections"
	TurnedCold        ChangeKind = "cold"
	TurnedWarm        ChangeKind = "warm"
	// Restarted: the replica started again under the same ID and lost its previous state.
	Restarted ChangeKind = "started again"
	// EntryInvalidated and EntryUsableAgain: another writer overwrote the replica's
	// entry, and the replica wrote it again.
	EntryInvalidated ChangeKind = "entry spoilt"
	EntryUsableAgain ChangeKind = "entry usable again"
	// Evacuated and EvacuationEnded describe a data centre.
	Evacuated       ChangeKind = "evacuated"
	EvacuationEnded ChangeKind = "taken back"
)

// Listing returns the result of the last read, to pass on to other routers.
func (d *Directory) Listing() Listing {
	return Listing{Replicas: d.Listed(), Evacuated: slices.Clone(d.evacuated)}
}

// Hash returns an order-independent hash of the list's content in a format. It is
// computed at each change, and sorting and encoding a long list would take longer than
// the change.
func (d *Directory) Hash(f HashFormat) uint64 {
	var replicas uint64
	for _, e := range d.entries {
		if e.unconfirmedSince.IsZero() {
			replicas += e.hashes[f]
		}
	}
	return xxhash.Sum64(fmt.Appendf(nil, "%d %q", replicas, d.evacuated))
}

// NotListedSince returns the IDs of the replicas that no read sent since the given time
// lists. It leaves out an unconfirmed replica if the list was last unavailable after the
// replica was last listed, and the first read without it was sent after since: behind a
// partition, a replica that leaves cannot be distinguished from one whose entry expired,
// and the time to drain runs from that read.
func (d *Directory) NotListedSince(since, lastUnavailable time.Time) []string {
	if !d.oldestListed.Before(since) {
		return nil
	}
	var ids []string
	for id, e := range d.entries {
		if e.notListedSince(since, lastUnavailable) {
			ids = append(ids, id)
		}
	}
	return ids
}

// notListedSince reports whether no read sent since the given time lists the entry; see
// Directory.NotListedSince.
func (e *entry) notListedSince(since, lastUnavailable time.Time) bool {
	excused := e.unconfirmedSince.After(since) && lastUnavailable.After(e.lastListed)
	return e.lastListed.Before(since) && !excused
}
