package directory

import "time"

// A replica that is no longer listed has left, or its entry expired while the replica is
// alive, in an outage or behind a partition. Where an expired entry is likely, the
// replica stays unconfirmed and keeps receiving requests for a while:
//
//	listed again                  -> its entry had expired
//	closes its connections        -> it is leaving
//	neither, for the grace period -> it has left
//
// NotListedSince limits how long it may receive requests.

// servicesWithLostEntries returns the services of which so many replicas are missing at
// once that the list lost entries, rather than a release or scaling: most of them,
// because this router may not notice a short outage, or a third after a pause between two
// reads. A pause alone is weak evidence: this router's reads may have been late, while
// other routers saw those replicas drain and leave. A restored list lacks every replica
// that joined after the copy.
func (d *Directory) servicesWithLostEntries(seen map[string]bool, pause bool) map[string]bool {
	rewound := d.holdsFacts(d.readTime)
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

// handleMissing marks a replica that a read does not list as unconfirmed, or removes it.
func (d *Directory) handleMissing(id string, e *entry, lost bool, changes []Change) []Change {
	fact, _ := d.factFor(&e.replica)
	if e.unconfirmedSince.IsZero() && lost && !fact.Gone && e.replica.State == Ready && !d.addressTaken(id, e.replica.Address) {
		e.unconfirmedSince = d.readTime
		return append(changes, Change{Replica: e.replica, Kind: Unconfirmed})
	}
	if !e.unconfirmedSince.IsZero() && d.readTime.Sub(e.unconfirmedSince) < d.gracePeriod {
		return changes
	}
	delete(d.entries, id)
	d.recordDeparture(&e.replica)
	return append(changes, Change{Replica: e.replica, Kind: Left})
}

// RemoveUnconfirmed removes an unconfirmed replica that closed its connection, as a
// replica that shuts down does, and returns the changes. For a listed replica the list
// decides.
func (d *Directory) RemoveUnconfirmed(id string) []Change {
	e, known := d.entries[id]
	if !known || e.unconfirmedSince.IsZero() {
		return nil
	}
	delete(d.entries, id)
	d.recordDeparture(&e.replica)
	return []Change{{Replica: e.replica, Kind: ConnectionsClosed}}
}

// UnconfirmedSince returns when the first read that did not list an unconfirmed replica
// was sent, or zero for any other replica.
func (d *Directory) UnconfirmedSince(id string) time.Time {
	if e, known := d.entries[id]; known {
		return e.unconfirmedSince
	}
	return time.Time{}
}

// addressTaken reports whether another replica has the address.
func (d *Directory) addressTaken(id, address string) bool {
	for other, e := range d.entries {
		if other != id && e.replica.Address == address {
			return true
		}
	}
	return false
}

// hasUnconfirmed reports whether any replica is kept that the last read did not list.
func (d *Directory) hasUnconfirmed() bool {
	for _, e := range d.entries {
		if !e.unconfirmedSince.IsZero() {
			return true
		}
	}
	return false
}
