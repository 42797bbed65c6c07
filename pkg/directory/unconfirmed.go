package directory

import "time"

// A replica that the list names no more has left, or its entry lapsed while the replica
// lives, in an outage or behind a partition. Where that is likely it stays unconfirmed and
// keeps its work for a while:
//
//	listed again              -> its entry had lapsed
//	closes its connections    -> it leaves
//	neither, for the grace    -> it has left
//
// For how long it may get requests: Unlisted.

// incomplete returns the services of which so many replicas are missing at once that it is
// no release and no scaling, but a list that lost entries: most of them, since an
// outage may have been too short to be seen here, or a third after a pause between two
// reads. A pause alone says little: it may be this router's reads that came late,
// while the others saw those replicas drain and leave. A copy lacks all that joined since.
func (d *Directory) incomplete(seen map[string]bool, pause bool) map[string]bool {
	rewound := d.rewound(d.read)
	listed, vanished := make(map[string]int), make(map[string]int)
	for id, e := range d.entries {
		if e.replica.State != Ready || !e.unconfirmedSince.IsZero() {
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

// handleMissing handles a replica that a read does not list.
func (d *Directory) handleMissing(id string, e *entry, lost bool, changes []Change) []Change {
	fact, _ := d.fact(&e.replica)
	if e.unconfirmedSince.IsZero() && lost && !fact.Gone && e.replica.State == Ready && !d.addressTaken(id, e.replica.Address) {
		e.unconfirmedSince = d.read
		return append(changes, Change{Replica: e.replica, Kind: Unconfirmed})
	}
	if !e.unconfirmedSince.IsZero() && d.read.Sub(e.unconfirmedSince) < d.grace {
		return changes
	}
	delete(d.entries, id)
	d.noteDeparted(&e.replica)
	return append(changes, Change{Replica: e.replica, Kind: Left})
}

// RemoveUnconfirmed removes an unconfirmed replica that closed its connection, as one that
// leaves does, and returns what changed. For one that is listed the list decides.
func (d *Directory) RemoveUnconfirmed(id string) []Change {
	e, known := d.entries[id]
	if !known || e.unconfirmedSince.IsZero() {
		return nil
	}
	delete(d.entries, id)
	d.noteDeparted(&e.replica)
	return []Change{{Replica: e.replica, Kind: ConnectionsClosed}}
}

// UnconfirmedSince returns when the first read was sent that did not list an unconfirmed
// replica; zero for any other.
func (d *Directory) UnconfirmedSince(id string) time.Time {
	if e, known := d.entries[id]; known {
		return e.unconfirmedSince
	}
	return time.Time{}
}

// addressTaken reports whether another replica is listed at the address.
func (d *Directory) addressTaken(id, address string) bool {
	for other, e := range d.entries {
		if other != id && e.replica.Address == address {
			return true
		}
	}
	return false
}

// hasUnconfirmed reports whether replicas are kept that the last read did not list.
func (d *Directory) hasUnconfirmed() bool {
	for _, e := range d.entries {
		if !e.unconfirmedSince.IsZero() {
			return true
		}
	}
	return false
}
