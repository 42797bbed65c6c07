package directory

import "time"

// listsEarlierStart reports whether an entry is of an earlier start than the one known: a
// write of it may arrive late. The present process's next one follows within the grace; if
// none does, the clock of its start was set back.
func (d *Directory) listsEarlierStart(r *Replica, known *entry) bool {
	if r.Born == 0 || r.Born >= known.replica.Born {
		known.earlierStartSince = time.Time{}
		return false
	}
	if known.earlierStartSince.IsZero() {
		known.earlierStartSince = d.read
	}
	return d.read.Sub(known.earlierStartSince) < d.grace
}

// keepLaterStart returns the known replica with what an entry of an earlier start changes.
// That it drains counts all the same: if the clock was set back the entry is the replica's
// own and binds before the grace is over; otherwise its next entry corrects it.
func keepLaterStart(entry, known Replica) Replica {
	if entry.State == Draining {
		known.State = Draining
	}
	return known
}

// restarted reports whether a replica started again between two of its entries: by when
// it says that it started, else by a count that starts anew. A copy shows an earlier count.
func (d *Directory) restarted(r, old *Replica) bool {
	if r.Born != 0 && old.Born != 0 {
		return r.Born != old.Born
	}
	return r.NextSequence != 0 && r.NextSequence < old.NextSequence && !d.rewound(d.read)
}
