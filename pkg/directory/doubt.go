package directory

import "time"

// A replica that the list names no more has left, or the list lost its entry: in an outage, or
// behind a cut, entries lapse whose replicas live. Then it is doubted, keeps its work for a while,
// and is seen to be one or the other:
//
//	named again               -> its entry had lapsed
//	closes its connections    -> it leaves
//	neither, for the grace    -> it has left
//
// For how long it may be sent to is decided by who sends: Unlisted.

// lost returns the services of which so many replicas vanished at once that it is no
// release and no scaling, but a list that lost its entries: most of them, since an
// outage may have been too short to be seen here, or a third after a pause between two
// reads. A pause alone says little: it may be this router's reads that came late,
// while the others saw those replicas drain and leave. A copy lacks all that joined since.
func (d *Directory) lost(seen map[string]bool, pause bool) map[string]bool {
	rewound := d.rewound(d.read)
	listed, vanished := make(map[string]int), make(map[string]int)
	for id, e := range d.entries {
		if e.replica.State != Ready || !e.doubtedSince.IsZero() {
			continue
		}
		listed[e.replica.Service]++
		if !seen[id] {
			vanished[e.replica.Service]++
		}
	}
	lost := make(map[string]bool)
	for service, n := range vanished {
		most := n > 1 && 2*n > listed[service]
		third := n == listed[service] || n > 1 && 3*n >= listed[service]
		lost[service] = most || pause && third || rewound
	}
	return lost
}

// missing takes that a read does not name a replica.
func (d *Directory) missing(id string, e *entry, lost bool, changes []Change) []Change {
	fact, _ := d.fact(&e.replica)
	if e.doubtedSince.IsZero() && lost && !fact.Gone && e.replica.State == Ready && !d.addressTaken(id, e.replica.Address) {
		e.doubtedSince = d.read
		return append(changes, Change{Replica: e.replica, What: Doubted})
	}
	if !e.doubtedSince.IsZero() && d.read.Sub(e.doubtedSince) < d.grace {
		return changes
	}
	delete(d.entries, id)
	d.depart(&e.replica)
	return append(changes, Change{Replica: e.replica, What: Left})
}

// Leaves takes a replica's own sign that it leaves, and returns what changes by it. One that is
// listed is believed as listed; one in doubt has no other word for it, and the lists to come
// may never name it.
func (d *Directory) Leaves(id string) []Change {
	e, known := d.entries[id]
	if !known || e.doubtedSince.IsZero() {
		return nil
	}
	delete(d.entries, id)
	d.depart(&e.replica)
	return []Change{{Replica: e.replica, What: Closes}}
}

// DoubtedSince returns when the first read was sent that did not list a replica which keeps
// its work since its list may have been lost; zero if it is no such one.
func (d *Directory) DoubtedSince(id string) time.Time {
	if e, known := d.entries[id]; known {
		return e.doubtedSince
	}
	return time.Time{}
}

// addressTaken tells whether another replica stands at the address now.
func (d *Directory) addressTaken(id, address string) bool {
	for other, e := range d.entries {
		if other != id && e.replica.Address == address {
			return true
		}
	}
	return false
}

// doubts tells whether replicas are kept that the last read did not list.
func (d *Directory) doubts() bool {
	for _, e := range d.entries {
		if !e.doubtedSince.IsZero() {
			return true
		}
	}
	return false
}
