package directory

import "time"

// listsEarlierStart reports whether an entry belongs to an earlier start than the known
// one, because a write of it may arrive late. The current process writes its next entry
// within the grace period. If it does not, the clock was set back before this start.
func (d *Directory) listsEarlierStart(r *Replica, known *entry) bool {
	if r.Born == 0 || r.Born >= known.replica.Born {
		known.earlierStartSince = time.Time{}
		return false
	}
	if known.earlierStartSince.IsZero() {
		known.earlierStartSince = d.readTime
	}
	return d.readTime.Sub(known.earlierStartSince) < d.gracePeriod
}

// keepLaterStart returns the known replica updated from an entry of an earlier start.
// Only draining is taken over: if the clock was set back, the entry is the replica's own
// and applies before the grace period is over, and otherwise the replica's next entry
// corrects it.
func keepLaterStart(entry, known Replica) Replica {
	if entry.State == Draining {
		known.State = Draining
	}
	return known
}

// restarted reports whether a replica restarted between two of its entries: its start
// times differ or, without start times, its sequence number started over. An earlier
// sequence number in a list restored from a copy is no restart.
func (d *Directory) restarted(r, old *Replica) bool {
	if r.Born != 0 && old.Born != 0 {
		return r.Born != old.Born
	}
	return r.NextSequence != 0 && r.NextSequence < old.NextSequence && !d.holdsFacts(d.readTime)
}
