package directory

import "time"

// isLate tells whether an entry is of an earlier start than the one known: a write of it
// may come late. The replica's own next one follows within the grace; if none does, the
// clock by which it says when it started was set back.
func (d *Directory) isLate(r *Replica, known *entry) bool {
	if r.Born == 0 || r.Born >= known.replica.Born {
		known.lateSince = time.Time{}
		return false
	}
	if known.lateSince.IsZero() {
		known.lateSince = d.read
	}
	return d.read.Sub(known.lateSince) < d.grace
}

// late returns what an entry of an earlier start says of the replica that is known. That it
// leaves is heeded all the same: if the clock was set back it is the replica's own word, which
// binds before the grace is over, and else its next entry takes it back.
func late(entry, known Replica) Replica {
	if entry.State == Draining {
		known.State = Draining
	}
	return known
}

// restarted tells whether a replica started again between two of its entries: by when
// it says that it started, else by a count that starts anew. A copy shows an earlier count.
func (d *Directory) restarted(r, old *Replica) bool {
	if r.Born != 0 && old.Born != 0 {
		return r.Born != old.Born
	}
	return r.Counted != 0 && r.Counted < old.Counted && !d.rewound(d.read)
}
