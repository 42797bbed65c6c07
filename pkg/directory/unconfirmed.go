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
func (d *Directory) servicesWithLostEntries(missing map[string]*entry, pause bool) map[string]bool {
	vanished := make(map[string]int)
	for _, e := range missing {
		if e.replica.State == Ready && e.unconfirmedSince.IsZero() {
			vanished[e.replica.Service]++
		}
	}
	rewound := d.holdsFacts(d.readTime)
	lost := make(map[string]bool)
	for service, n := range vanished {
		most := n > 1 && 2*n > d.ready[service]
		third := n == d.ready[service] || n > 1 && 3*n >= d.ready[service]
		lost[service] = most || pause && third || rewound
	}
	return lost
}

// handleMissing marks a replica that a read does not list as unconfirmed, or removes it.
// before is when the read before was sent.
func (d *Directory) handleMissing(e *entry, before time.Time, lost bool, changes []Change) []Change {
	fact, _ := d.factFor(&e.replica)
	if e.unconfirmedSince.IsZero() && lost && !fact.Gone && e.replica.State == Ready && !d.addressTaken(e.replica.Address) {
		d.markUnconfirmed(e, before)
		return append(changes, Change{Replica: e.replica, Kind: Unconfirmed})
	}
	if !e.unconfirmedSince.IsZero() && d.readTime.Sub(e.unconfirmedSince) < d.gracePeriod {
		return changes
	}
	d.remove(e)
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
	d.remove(e)
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

// addressTaken reports whether more than one replica is listed at an address.
func (d *Directory) addressTaken(address string) bool { return d.addresses[address] > 1 }
