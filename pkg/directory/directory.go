// Package directory tracks which replicas may receive new requests, based on full reads
// of a list that is stored elsewhere.
//
//	listed and ready   -> receives requests
//	listed as draining -> receives no new requests
//	evacuated          -> receives no new requests while its data centre is listed as
//	                      evacuated
//	cold               -> listed with the remaining time, which each sender counts down
//	                      by its monotonic clock
//	listed by a copy   -> facts known before the list was restored override it for a while
//	no longer listed   -> receives no new requests, unless the list may be incomplete:
//	                      when most replicas of a service are missing at once, or a third
//	                      after a pause between reads, they stay unconfirmed for a time,
//	                      because their entries may have expired while they could not
//	                      renew them
//
// The package does no I/O. Callers pass in the time, which must be monotonic.
package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/rollout"
)

// State is the state of a replica according to the list.
type State uint8

// The states of a replica.
const (
	Ready State = iota
	Draining
	// Unusable means that the entry was not written by a replica, so it has no address to
	// send to.
	Unusable
)

// Replica is one entry of the list.
type Replica struct {
	// ID identifies the replica and survives its restarts.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Version is that of the replica's software; empty if unknown.
	Version string `json:",omitempty"`
	// Slots is the maximum number of requests that the replica runs concurrently.
	Slots int
	State State
	// Entry is the revision of the replica's entry. It rises when the entry changes.
	Entry uint64
	// Cold reports that the entry says the replica is still slow after its start, and
	// ColdLeft for how much longer, as of the read that lists it. Only Cold distinguishes
	// one list from another, because ColdLeft differs at each read.
	Cold     bool
	ColdLeft time.Duration
	// ColdUntil is when the replica is warm, by this router's clock.
	ColdUntil time.Time `json:"-"`
	// Evacuated reports that the replica's data centre must receive no requests.
	Evacuated bool `json:"-"`
	// Born is the start time in Unix milliseconds by the replica's own clock, so a
	// greater value is a later start. 0 means unknown.
	Born int64 `json:",omitempty"`
	// NextSequence is one more than the sequence number that the replica has counted up
	// to since its start. It is known only to a router that read the list itself; 0 means
	// unknown.
	NextSequence uint64 `json:"-"`
}

// Listing is the result of one read of the list.
type Listing struct {
	Replicas []Replica
	// Evacuated are the data centres that must receive no requests.
	Evacuated []string
	// Rollouts are the roll-outs of services, sorted by service.
	Rollouts []rollout.Record `json:",omitempty"`
}

// Change is a difference between two reads.
type Change struct {
	// Replica is the replica that changed. It is empty if a data centre changed.
	Replica Replica
	// DataCentre is the data centre that changed. It is empty if a replica changed.
	DataCentre string
	// Rollout is the service whose roll-out changed. It is empty otherwise.
	Rollout string
	Kind    ChangeKind
}

// ChangeKind says how a replica or a data centre changed.
type ChangeKind string

// Directory holds the replicas of the last read and what is known about them. It is not
// safe for concurrent use.
type Directory struct {
	outageThreshold time.Duration
	gracePeriod     time.Duration
	entries         map[string]*entry
	// unconfirmed are the entries that are kept although the last read lacked them.
	unconfirmed map[string]*entry
	// addresses counts the entries at each address.
	addresses map[string]int
	// sums are the sums of the hashes of all confirmed entries, ready counts those of each
	// service that are ready.
	sums  contentHashes
	ready map[string]int
	// partSums caches the hashes of the parts of the list until an entry changes.
	partSums map[partsKey][]uint32
	readTime time.Time
	// previousRead is when the last read was sent that preceded the one at readTime.
	previousRead time.Time
	// oldestListed is the earliest lastListed time of all entries.
	oldestListed time.Time
	// evacuated are the data centres that must receive no requests, sorted.
	evacuated []string
	// rollouts are the roll-outs of services, sorted by service.
	rollouts []rollout.Record
	// revision is the revision of the store that the list reflects at least, deltasSince the
	// first one since which all departures are known.
	revision, deltasSince uint64
	// departures are the replicas that left recently, by ID.
	departures map[string]departure
	// heldFacts override a list that was restored from a copy.
	heldFacts heldFacts
	// statements are what replicas said about themselves.
	statements *Statements
}

type entry struct {
	replica Replica
	// idHash is the hash of the replica's ID, hashes are those of its content.
	idHash uint64
	hashes contentHashes
	// lastListed is when the last read that listed an unconfirmed replica was sent. A
	// confirmed one was listed by the last read of all.
	lastListed time.Time
	// unconfirmedSince is when the first read was sent that lacked the entry of an
	// unconfirmed replica.
	unconfirmedSince time.Time
	// earlierStartSince is since when the list has shown an earlier start than the known
	// one.
	earlierStartSince time.Time
	// changedAt is the revision of the read that last added or changed the entry.
	changedAt uint64
	// declaredDraining reports that an entry written by the replica itself said it
	// drains.
	declaredDraining bool
}

// New returns an empty directory. A pause of more than outage between two reads may have
// been an outage of the list. grace is how long entries may lag behind the state of their
// replicas: a replica that is missing after an outage stays unconfirmed for that long,
// and replicas of a data centre whose evacuation ends count as cold for that long.
func New(outage, grace time.Duration) *Directory {
	return &Directory{outageThreshold: outage, gracePeriod: grace, entries: make(map[string]*entry), unconfirmed: make(map[string]*entry), addresses: make(map[string]int), ready: make(map[string]int), partSums: make(map[partsKey][]uint32),
		departures: make(map[string]departure), statements: NewStatements()}
}

// Statements returns what replicas said about themselves.
func (d *Directory) Statements() *Statements { return d.statements }

// Replace applies a read that leaves the evacuated data centres unchanged.
func (d *Directory) Replace(list []Replica, sent time.Time) []Change {
	return d.Apply(Listing{Replicas: list, Evacuated: d.evacuated, Rollouts: d.rollouts}, sent)
}

// Apply applies a full read that was sent at the given time and returns the changes: data
// centres first, then replicas by ID. It ignores reads sent before the last one applied.
func (d *Directory) Apply(l Listing, sent time.Time) []Change {
	if sent.Before(d.readTime) {
		return nil
	}
	l = d.applyFacts(l, sent)
	changes := d.applyReplicas(l.Replicas, sent, d.missing(l.Replicas, func(*entry) bool { return true }))
	changes = append(d.applyEvacuations(l.Evacuated), changes...)
	return append(changes, d.applyRollouts(l.Rollouts)...)
}

// applyReplicas applies a read that lists some entries and lacks the missing ones. The rest
// of the list is unchanged.
func (d *Directory) applyReplicas(list []Replica, sent time.Time, missing map[string]*entry) []Change {
	outage := !d.readTime.IsZero() && sent.Sub(d.readTime) > d.outageThreshold
	before := d.readTime
	if sent.After(before) {
		d.previousRead = before
	}
	d.readTime = sent
	lost := d.servicesWithLostEntries(missing, outage)
	var changes []Change
	for _, r := range list {
		changes = d.applyEntry(r, changes)
	}
	for _, e := range missing {
		changes = d.handleMissing(e, before, lost[e.replica.Service], changes)
	}
	d.statements.markUnlisted(func(id string) bool { return d.entries[id] != nil }, sent)
	d.updateOldestListed()
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return changes
}

// missing returns the covered entries that a read did not list.
func (d *Directory) missing(list []Replica, covered func(*entry) bool) map[string]*entry {
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
	}
	missing := make(map[string]*entry)
	for id, e := range d.entries {
		if !seen[id] && covered(e) {
			missing[id] = e
		}
	}
	return missing
}

func (d *Directory) applyEntry(r Replica, changes []Change) []Change {
	old, known := d.entries[r.ID]
	if !known {
		r.ColdUntil = d.coldUntil(r)
		d.add(&entry{replica: r, idHash: idHash(r.ID), hashes: hashContent(&r), changedAt: d.revision, declaredDraining: d.declaresDraining(&r)})
		d.statements.markJoined(&r, d.readTime, d.gracePeriod)
		kind := Joined
		if r.State == Unusable {
			kind = EntryInvalidated
		}
		delete(d.departures, r.ID)
		return append(changes, Change{Replica: r, Kind: kind})
	}
	if d.listsEarlierStart(&r, old) {
		r = keepLaterStart(r, old.replica)
	} else {
		old.declaredDraining = old.declaredDraining || d.declaresDraining(&r)
	}
	kind := d.updateColdUntil(&r, old.replica)
	switch {
	case r.State == Unusable:
		// Keep the start time and sequence number for comparison with the replica's own
		// next entry.
		r.Born, r.NextSequence = old.replica.Born, old.replica.NextSequence
		if kind = ""; old.replica.State != Unusable {
			kind = EntryInvalidated
		}
	case d.restarted(&r, &old.replica):
		kind = Restarted
		old.declaredDraining = d.declaresDraining(&r)
		d.statements.markListedStart(&r, d.listedBefore(old), d.readTime)
	case r.State == Draining && old.replica.State != Draining:
		kind = DrainStarted
	case old.replica.State == Unusable:
		kind = EntryUsableAgain
	case r.State == Ready && old.replica.State == Draining:
		kind = ListedAgain
		if old.declaredDraining && !d.holdsFacts(d.readTime) {
			old.declaredDraining = false
			d.statements.withdrawShutdown(r.ID, d.readTime)
		}
	case !old.unconfirmedSince.IsZero():
		kind = ListedAgain
	}
	if r.NextSequence == 0 || d.holdsFacts(d.readTime) {
		r.NextSequence = max(r.NextSequence, old.replica.NextSequence)
	}
	changed := !sameContent(&r, &old.replica)
	if kind == "" && r.sendsElsewhere(&old.replica) {
		kind = Rewritten
	}
	if kind != "" {
		changes = append(changes, Change{Replica: r, Kind: kind})
	}
	d.confirm(old)
	if changed {
		d.replaceContent(old, r)
	}
	if changed || r.Entry != old.replica.Entry {
		old.changedAt = d.revision
		clear(d.partSums)
	}
	old.replica = r
	return changes
}

// declaresDraining reports whether an entry written by the replica itself says that it
// drains. While facts override a restored list, an entry may be draining only because of
// them.
func (d *Directory) declaresDraining(r *Replica) bool {
	return r.State == Draining && !d.holdsFacts(d.readTime)
}

func (d *Directory) updateOldestListed() {
	d.oldestListed = d.readTime
	for _, e := range d.unconfirmed {
		if e.lastListed.Before(d.oldestListed) {
			d.oldestListed = e.lastListed
		}
	}
}

// Ready reports whether a replica may receive new requests according to the list: it is
// listed as ready, or unconfirmed, and its data centre is not evacuated.
func (d *Directory) Ready(id string) bool {
	e, known := d.entries[id]
	return known && e.replica.State == Ready && !slices.Contains(d.evacuated, e.replica.DataCentre)
}

// Confirm records that a read sent at the given time would have returned the same list as
// Listed, and returns the changes.
//
// Without unconfirmed replicas nothing can change, so Confirm records only the time: a
// router receives a new proof several times a second, and applying all replicas as a new
// read is expensive.
func (d *Directory) Confirm(sent time.Time) []Change {
	if len(d.unconfirmed) > 0 {
		return d.Replace(d.Listed(), sent)
	}
	if sent.Before(d.readTime) {
		return nil
	}
	d.readTime, d.oldestListed = sent, sent
	return nil
}

// listed returns the replicas of Listed for which wanted returns true.
func (d *Directory) listed(wanted func(*entry) bool) []Replica {
	list := d.list(func(e *entry) bool { return e.unconfirmedSince.IsZero() && wanted(e) })
	for i := range list {
		list[i].ColdLeft = max(list[i].ColdUntil.Sub(d.readTime), 0)
	}
	return list
}

// ReadTime returns when the last applied read was sent, or zero before the first one.
func (d *Directory) ReadTime() time.Time { return d.readTime }

// List returns all replicas, including draining ones, sorted by ID.
func (d *Directory) List() []Replica {
	return d.list(func(*entry) bool { return true })
}

// WithEvacuated returns replicas of the list with Evacuated set for those whose data centre
// is evacuated.
func (d *Directory) WithEvacuated(list []Replica) []Replica {
	for i := range list {
		list[i].Evacuated = slices.Contains(d.evacuated, list[i].DataCentre)
	}
	return list
}

// Len returns the number of all replicas, including draining ones.
func (d *Directory) Len() int { return len(d.entries) }

func (d *Directory) list(wanted func(*entry) bool) []Replica {
	// Pointers are sorted, since a replica has some 200 bytes to move.
	entries := make([]*entry, 0, len(d.entries))
	for _, e := range d.entries {
		if wanted(e) {
			entries = append(entries, e)
		}
	}
	slices.SortFunc(entries, func(a, b *entry) int { return cmp.Compare(a.replica.ID, b.replica.ID) })
	list := make([]Replica, len(entries))
	for i, e := range entries {
		list[i] = e.replica
		list[i].Evacuated = slices.Contains(d.evacuated, list[i].DataCentre)
	}
	return list
}
