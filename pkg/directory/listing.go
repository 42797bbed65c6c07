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
	// Rewritten: the replica's entry says something else than before.
	Rewritten ChangeKind = "entry rewritten"
	// RolloutChanged: the order or the status of a roll-out was written or deleted.
	RolloutChanged ChangeKind = "roll-out changed"
	// Evacuated and EvacuationEnded describe a data centre.
	Evacuated       ChangeKind = "evacuated"
	EvacuationEnded ChangeKind = "taken back"
)

// Listing returns the result of the last read, to pass on to other routers.
func (d *Directory) Listing() Listing {
	return Listing{Replicas: d.Listed(), Evacuated: slices.Clone(d.evacuated), Rollouts: d.ListedRollouts()}
}

// Hash returns an order-independent hash of the list's content in a format. Builds that do
// not know roll-outs compute the same hash while there are none.
func (d *Directory) Hash(f HashFormat) uint64 {
	text := fmt.Appendf(nil, "%d %q", d.sums[f], d.evacuated)
	if len(d.rollouts) > 0 {
		text = fmt.Appendf(text, " %+v", rolloutIdentity(d.rollouts))
	}
	return xxhash.Sum64(text)
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
		if d.notListedSince(e, since, lastUnavailable) {
			ids = append(ids, id)
		}
	}
	return ids
}

// notListedSince reports whether no read sent since the given time lists the entry; see
// Directory.NotListedSince.
func (d *Directory) notListedSince(e *entry, since, lastUnavailable time.Time) bool {
	listed := d.lastListed(e)
	excused := e.unconfirmedSince.After(since) && lastUnavailable.After(listed)
	return listed.Before(since) && !excused
}
