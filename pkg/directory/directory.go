// Package directory keeps which replicas may get new work, from full reads of
// a list that is kept elsewhere.
//
//	listed and ready   -> gets work
//	listed as draining -> gets nothing new
//	no longer listed   -> gets nothing new, unless the list itself was lost: when
//	                      most of a service vanish at once, or a third after a
//	                      pause between reads, they keep their work for a time,
//	                      since their entries may have lapsed while they could
//	                      not renew them
//
// The package does no I/O; time comes from the caller and is steady.
package directory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what the list says of a replica.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
)

// Replica is one entry of the list.
type Replica struct {
	// ID names one incarnation; it is never used again.
	ID         string
	Service    string
	Address    string
	DataCentre string
	// Slots is the most requests that it runs at a time.
	Slots int
	State State
}

// Change is a difference between two reads.
type Change struct {
	Replica Replica
	What    What
}

// What says how a replica changed.
type What string

// The changes.
const (
	Joined  What = "joined"
	Drains  What = "draining"
	Left    What = "gone"
	Doubted What = "vanished with its list"
	Back    What = "listed again"
)

// Directory is not safe for concurrent use.
type Directory struct {
	outage  time.Duration
	grace   time.Duration
	entries map[string]*entry
	read    time.Time
	// oldest is when the replica was last listed for which that is longest ago.
	oldest time.Time
}

type entry struct {
	replica Replica
	// listed is when the last read was sent that listed it.
	listed time.Time
	// doubtedSince is when the entry was first missing after an outage.
	doubtedSince time.Time
}

// New returns an empty directory. A pause of more than outage between two reads
// may have been an outage of the list; grace is how long a replica that vanished in
// one keeps its work.
func New(outage, grace time.Duration) *Directory {
	return &Directory{outage: outage, grace: grace, entries: make(map[string]*entry)}
}

// Replace takes a full read that was sent at a time, and returns what changed,
// sorted by id. Reads that were sent before the last one taken are ignored.
func (d *Directory) Replace(list []Replica, sent time.Time) []Change {
	if sent.Before(d.read) {
		return nil
	}
	outage := !d.read.IsZero() && sent.Sub(d.read) > d.outage
	d.read = sent
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
	}
	lost := d.lost(seen, outage)
	var changes []Change
	for _, r := range list {
		changes = d.take(r, changes)
	}
	for id, e := range d.entries {
		if !seen[id] {
			changes = d.missing(id, e, lost[e.replica.Service], changes)
		}
	}
	d.noteOldest()
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Replica.ID, b.Replica.ID) })
	return changes
}

// lost returns the services of which so many replicas vanished at once that it is no
// release and no scaling, but a list that lost its entries: most of them, since an
// outage may have been too short to be seen here, or a third after a pause between two
// reads. A pause alone says little: it may be this router's reads that came late,
// while the others saw those replicas drain and leave.
func (d *Directory) lost(seen map[string]bool, pause bool) map[string]bool {
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
		lost[service] = most || pause && third
	}
	return lost
}

func (d *Directory) take(r Replica, changes []Change) []Change {
	old, known := d.entries[r.ID]
	if !known {
		d.entries[r.ID] = &entry{replica: r, listed: d.read}
		return append(changes, Change{r, Joined})
	}
	switch {
	case r.State == Draining && old.replica.State != Draining:
		changes = append(changes, Change{r, Drains})
	case !old.doubtedSince.IsZero():
		changes = append(changes, Change{r, Back})
	}
	old.replica = r
	old.listed = d.read
	old.doubtedSince = time.Time{}
	return changes
}

func (d *Directory) missing(id string, e *entry, lost bool, changes []Change) []Change {
	if e.doubtedSince.IsZero() && lost && e.replica.State == Ready && !d.addressTaken(id, e.replica.Address) {
		e.doubtedSince = d.read
		return append(changes, Change{e.replica, Doubted})
	}
	if !e.doubtedSince.IsZero() && d.read.Sub(e.doubtedSince) < d.grace {
		return changes
	}
	delete(d.entries, id)
	return append(changes, Change{e.replica, Left})
}

func (d *Directory) noteOldest() {
	d.oldest = d.read
	for _, e := range d.entries {
		if e.listed.Before(d.oldest) {
			d.oldest = e.listed
		}
	}
}

// Unlisted returns the ids of the replicas that no read named which was sent since a
// time. One that vanished with its list is left out if the list was seen to be lost
// after it was last named.
func (d *Directory) Unlisted(since, lost time.Time) []string {
	if !d.oldest.Before(since) {
		return nil
	}
	var ids []string
	for id, e := range d.entries {
		excused := !e.doubtedSince.IsZero() && lost.After(e.listed)
		if e.listed.Before(since) && !excused {
			ids = append(ids, id)
		}
	}
	return ids
}

// Ready tells whether a replica may have new work: it is listed as ready, or keeps its
// work for a while after an outage.
func (d *Directory) Ready(id string) bool {
	e, known := d.entries[id]
	return known && e.replica.State == Ready
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

// Confirm notes that a read that was sent at a time would have returned the same
// list as Listed, and returns what changed.
func (d *Directory) Confirm(sent time.Time) []Change {
	return d.Replace(d.Listed(), sent)
}

// Listed returns the replicas that the last read listed, sorted by id: without
// those that vanished after an outage.
func (d *Directory) Listed() []Replica {
	return d.list(func(e *entry) bool { return e.doubtedSince.IsZero() })
}

// Mark names the list by its content.
func (d *Directory) Mark() uint64 {
	hash := xxhash.New()
	for _, r := range d.Listed() {
		// A hash takes every write.
		fmt.Fprintf(hash, "%q %q %q %q %d %d\n", r.ID, r.Service, r.Address, r.DataCentre, r.Slots, r.State)
	}
	return hash.Sum64()
}

// Read returns when the read that the directory rests on was sent; zero before
// the first.
func (d *Directory) Read() time.Time { return d.read }

// List returns all replicas, draining ones included, sorted by id.
func (d *Directory) List() []Replica {
	return d.list(func(*entry) bool { return true })
}

func (d *Directory) list(wanted func(*entry) bool) []Replica {
	list := make([]Replica, 0, len(d.entries))
	for _, e := range d.entries {
		if wanted(e) {
			list = append(list, e.replica)
		}
	}
	slices.SortFunc(list, func(a, b Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
