package poison

import "time"

// The read at a start is a stale one, which may lack the last write. One router therefore reads the record
// as it is, and the others compare revisions with it:
//
//	the first router by rank      reads the record as it is; the next ones make up for it
//	each other one that started   asks these routers for the revision of the record
//	it has read an earlier one    it reads again, until it has read that revision or a later one

const (
	// recheckPause is the pause after a query, or a stale read, doubled after each further one.
	recheckPause = 500 * time.Millisecond
	// maxRechecks bounds the queries, and then the stale reads, after a start: the routers that
	// keep the record may be of an earlier build, and the store may have come back from a copy.
	maxRechecks = 6
)

// recheck says whether the record may hold what this router lacks.
type recheck struct {
	pending bool
	// since is when that was first looked at.
	since time.Time
	// latest is the revision that another router stated, if stated is set.
	latest uint64
	stated bool
	// next is when the next query or stale read is due, pause the pause after it, and tries how
	// many there were.
	next  time.Time
	pause time.Duration
	tries int
}

// Started notes that the record may hold what this router lacks, until it is read as it is or another
// router states that its revision is the one that was read.
func (k *Keeper) Started() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recheck = recheck{pending: true}
}

// NextRecheck returns what is to be done to learn whether the record holds what this router lacks, given
// how many routers precede this one.
func (k *Keeper) NextRecheck(rank int, now time.Time) Step {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := &k.recheck
	if !c.pending {
		return NoStep
	}
	if c.since.IsZero() {
		c.since = now
	}
	paused := !k.pauseFrom.IsZero() && now.Sub(k.pauseFrom) < keeperPause
	if !c.stated && rank < Keepers && now.Sub(c.since) >= time.Duration(rank)*keeperPatience && !paused {
		return ReadRecordStep
	}
	if rank == 0 && !c.stated || now.Before(c.next) || c.tries == maxRechecks {
		return NoStep
	}
	c.tries++
	c.pause = max(recheckPause, 2*c.pause)
	c.next = now.Add(c.pause)
	if c.stated {
		return ReadStaleStep
	}
	return AskStep
}

// LoadedStale notes a record that was read and that may lack the last writes.
func (k *Keeper) LoadedStale(r Record, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.load(r, now)
	k.compareRevisions()
}

// NoteRevision notes the revision of the record, 0 if there is none, as another router read or wrote it.
func (k *Keeper) NoteRevision(revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := &k.recheck; c.pending && (!c.stated || revision > c.latest) {
		*c = recheck{pending: true, since: c.since, latest: revision, stated: true}
		k.compareRevisions()
	}
}

// compareRevisions ends the checks if the record that was read is as new as another router stated.
// k.mu must be held.
func (k *Keeper) compareRevisions() {
	if k.recheck.stated && k.known && k.revision >= k.recheck.latest {
		k.recheck = recheck{}
	}
}

// Verified returns the revision of the record, if this router knows that it has read the last one that was
// written before it started, or a later one.
func (k *Keeper) Verified() (revision uint64, verified bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.revision, k.known && !k.recheck.pending
}
