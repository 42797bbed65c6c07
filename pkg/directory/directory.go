// Package directory keeps which replicas may get new work, from full reads of
// a list that is kept elsewhere.
//
//	listed and ready   -> gets work
//	listed as draining -> gets nothing new
//	evacuated          -> gets nothing new while its data centre is listed as such
//	cold               -> listed with how long it will be; those who send count
//	                      it down by their steady clocks
//	listed by a copy   -> what was known before holds against it for a while
//	no longer listed   -> gets nothing new, unless the list may be incomplete: when
//	                      most of a service are missing at once, or a third after
//	                      a pause between reads, they stay unconfirmed for a time,
//	                      since their entries may have lapsed while they could
//	                      not renew them
//
// The package does no I/O; time comes from the caller and is steady.
package directory

import (
	"cmp"
	"slices"
	"time"
)

// State is what the list says of a replica.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	// Unusable: its entry is not a replica's. It names nobody to send to.
	Unusable
)

// Replica is one entry of the list.
type Replica struct {
	// ID names the replica, which may start again under it.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the most requests that it runs at a time.
	Slots int
	State State
	// Entry is the revision of the replica's entry: it rises when the entry changes.
	Entry uint64
	// Cold tells that the entry says that the replica is still slow from its start,
	// and ColdLeft for how long from the read that lists it. Only the first tells one
	// list from another: the second is another one at each read.
	Cold     bool
	ColdLeft time.Duration
	// ColdUntil is when it is warm, by this router's clock.
	ColdUntil time.Time `json:"-"`
	// Evacuated: nothing is to be sent to its data centre.
	Evacuated bool `json:"-"`
	// Born is when it started, in Unix milliseconds by its own clock, so that a later
	// one is a later start; 0 if it is not known.
	Born int64 `json:",omitempty"`
	// NextSequence is one more than how far it says that it has counted since its start, known
	// to who read the list itself; 0 if it is not known.
	NextSequence uint64 `json:"-"`
}

// Listing is what one read lists.
type Listing struct {
	Replicas []Replica
	// Evacuated are the data centres to which nothing is to be sent.
	Evacuated []string
}

// Change is a difference between two reads.
type Change struct {
	// Replica is the one that changed; empty where a data centre did.
	Replica Replica
	// DataCentre is the data centre that changed, or empty.
	DataCentre string
	Kind       ChangeKind
}

// ChangeKind says how a replica changed.
type ChangeKind string

// Directory is not safe for concurrent use.
type Directory struct {
	outage  time.Duration
	grace   time.Duration
	entries map[string]*entry
	read    time.Time
	// oldest is when the replica was last listed for which that is longest ago.
	oldest time.Time
	// evacuated are the data centres to which nothing is to be sent, sorted.
	evacuated []string
	// departed are those that left recently, by id.
	departed map[string]departed
	// rewind is what is known against a list that came back from a copy.
	rewind rewind
	// statements are what replicas said of themselves.
	statements *Statements
}

type entry struct {
	replica Replica
	// idHash is of the replica's id, sums are of its content.
	idHash uint64
	sums   sums
	// listed is when the last read was sent that listed it.
	listed time.Time
	// unconfirmedSince is when the entry was first missing after an outage.
	unconfirmedSince time.Time
	// earlierStartSince is since when an earlier start is listed than the one known.
	earlierStartSince time.Time
	// declared: an entry of the replica's own said that it drains.
	declared bool
}

// New returns an empty directory. A pause of more than outage between two reads
// may have been an outage of the list; grace is for how long entries may lag behind the
// state of their replicas: one that is missing after an outage stays unconfirmed for so
// long, and those of a data centre that is taken back count as cold.
func New(outage, grace time.Duration) *Directory {
	return &Directory{outage: outage, grace: grace, entries: make(map[string]*entry), departed: make(map[string]departed), statements: NewStatements()}
}

// Statements returns what replicas said of themselves.
func (d *Directory) Statements() *Statements { return d.statements }

// Replace is Apply of a read that leaves the data centres as they are.
func (d *Directory) Replace(list []Replica, sent time.Time) []Change {
	return d.Apply(Listing{Replicas: list, Evacuated: d.evacuated}, sent)
}

// Apply applies a full read that was sent at a time, and returns what changed, data
// centres first, then replicas by id. Reads sent before the last one applied are ignored.
func (d *Directory) Apply(l Listing, sent time.Time) []Change {
	if sent.Before(d.read) {
		return nil
	}
	l = d.applyFacts(l, sent)
	changes := d.applyReplicas(l.Replicas, sent)
	return append(d.takeCentres(l.Evacuated), changes...)
}

func (d *Directory) applyReplicas(list []Replica, sent time.Time) []Change {
	outage := !d.read.IsZero() && sent.Sub(d.read) > d.outage
	d.read = sent
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
	}
	lost := d.incomplete(seen, outage)
	var changes []Change
	for _, r := range list {
		changes = d.applyEntry(r, changes)
	}
	for id, e := range d.entries {
		if !seen[id] {
			changes = d.handleMissing(id, e, lost[e.replica.Service], changes)
		}
	}
	d.noteOldest()
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return changes
}

func (d *Directory) applyEntry(r Replica, changes []Change) []Change {
	old, known := d.entries[r.ID]
	if !known {
		r.ColdUntil = d.coldUntil(r)
		d.entries[r.ID] = &entry{replica: r, idHash: idHash(r.ID), sums: sumsOf(&r), listed: d.read, declared: d.declares(&r)}
		d.statements.joined(&r, d.read, d.grace)
		what := Joined
		if r.State == Unusable {
			what = EntryInvalidated
		}
		delete(d.departed, r.ID)
		return append(changes, Change{Replica: r, Kind: what})
	}
	if d.listsEarlierStart(&r, old) {
		r = keepLaterStart(r, old.replica)
	} else {
		old.declared = old.declared || d.declares(&r)
	}
	what := d.warmth(&r, old.replica)
	switch {
	case r.State == Unusable:
		// When it started and how far it counted holds on, for its own next entry.
		r.Born, r.NextSequence = old.replica.Born, old.replica.NextSequence
		if what = ""; old.replica.State != Unusable {
			what = EntryInvalidated
		}
	case d.restarted(&r, &old.replica):
		what = Restarted
		old.declared = d.declares(&r)
		d.statements.listedStart(r.ID, d.read)
	case r.State == Draining && old.replica.State != Draining:
		what = DrainStarted
	case old.replica.State == Unusable:
		what = EntryUsableAgain
	case r.State == Ready && old.replica.State == Draining:
		what = ListedAgain
		if old.declared && !d.rewound(d.read) {
			old.declared = false
			d.statements.withdrawn(r.ID, d.read)
		}
	case !old.unconfirmedSince.IsZero():
		what = ListedAgain
	}
	if r.NextSequence == 0 || d.rewound(d.read) {
		r.NextSequence = max(r.NextSequence, old.replica.NextSequence)
	}
	if what != "" {
		changes = append(changes, Change{Replica: r, Kind: what})
	}
	if !sameContent(&r, &old.replica) {
		old.sums = sumsOf(&r)
	}
	old.replica = r
	old.listed = d.read
	old.unconfirmedSince = time.Time{}
	return changes
}

// declares reports whether an entry of a replica's own says that it drains. While what was
// known holds against a copy, an entry may say so for that only.
func (d *Directory) declares(r *Replica) bool { return r.State == Draining && !d.rewound(d.read) }

func (d *Directory) noteOldest() {
	d.oldest = d.read
	for _, e := range d.entries {
		if e.listed.Before(d.oldest) {
			d.oldest = e.listed
		}
	}
}

// Ready reports whether a replica may have new work by the list: it is listed as ready, or
// unconfirmed, and its data centre is not evacuated.
func (d *Directory) Ready(id string) bool {
	e, known := d.entries[id]
	return known && e.replica.State == Ready && !slices.Contains(d.evacuated, e.replica.DataCentre)
}

// Confirm notes that a read that was sent at a time would have returned the same
// list as Listed, and returns what changed.
//
// Mostly nothing can change by it, and only the time is recorded: a router receives a new
// proof some times a second, and applying all replicas as of a new read is expensive.
func (d *Directory) Confirm(sent time.Time) []Change {
	if d.hasUnconfirmed() {
		return d.Replace(d.Listed(), sent)
	}
	if sent.Before(d.read) {
		return nil
	}
	d.read, d.oldest = sent, sent
	for _, e := range d.entries {
		e.listed = sent
	}
	return nil
}

// listed returns those of Listed that are wanted.
func (d *Directory) listed(wanted func(*entry) bool) []Replica {
	list := d.list(func(e *entry) bool { return e.unconfirmedSince.IsZero() && wanted(e) })
	for i := range list {
		list[i].ColdLeft = max(list[i].ColdUntil.Sub(d.read), 0)
	}
	return list
}

// ReadTime returns when the read that the directory rests on was sent; zero before
// the first.
func (d *Directory) ReadTime() time.Time { return d.read }

// List returns all replicas, draining ones included, sorted by id.
func (d *Directory) List() []Replica {
	return d.list(func(*entry) bool { return true })
}

func (d *Directory) list(wanted func(*entry) bool) []Replica {
	list := make([]Replica, 0, len(d.entries))
	for _, e := range d.entries {
		if wanted(e) {
			r := e.replica
			r.Evacuated = slices.Contains(d.evacuated, r.DataCentre)
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
