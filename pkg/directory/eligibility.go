package directory

import (
	"slices"
	"time"
)

// Eligibility of a replica for a new request is decided by, in this order:
//
//	the list: not listed, unusable, draining, evacuated
//	the replica's own statements: announced its shutdown, asked for rest
//	the age of the list: the replica may have left since, unless it was seen serving
//
// It is checked when a replica is chosen, and again before bytes are written to it.

// Reason is why a replica receives no new requests.
type Reason string

// The reasons for an exclusion.
const (
	NotListed           Reason = "not listed"
	EntryUnusable       Reason = "entry unusable"
	ListedDraining      Reason = "listed as draining"
	DataCentreEvacuated Reason = "data centre evacuated"
	ShutdownAnnounced   Reason = "announced its shutdown"
	RestRequested       Reason = "asked for rest"
	NotListedRecently   Reason = "not listed recently"
)

// Exclusion says that a replica receives no new requests, and why.
type Exclusion struct {
	ID     string
	Reason Reason
	// Since is when the reason began and Until when it ends; zero means unknown.
	Since, Until time.Time
	// LastResort reports that the replica may still receive a request that no other
	// replica can take.
	LastResort bool
}

// Conditions are the inputs to eligibility besides the directory.
type Conditions struct {
	Now time.Time
	// MaxListAge is the maximum age of a list used to send requests, and how long a
	// replica that announced its shutdown may keep serving. With 0 lists do not age, and
	// such a replica receives nothing.
	MaxListAge time.Duration
	// StoreUnavailable reports whether no router has received an answer from the list's
	// store for MaxListAge. Nil means that one has. It is called only when the result
	// matters.
	StoreUnavailable func() bool
	// LastUnavailable is when the store was last unavailable.
	LastUnavailable time.Time
}

// Exclusion reports whether a replica receives no new requests. Of several reasons it
// returns the first in the order above.
func (d *Directory) Exclusion(id string, c Conditions) (x Exclusion, excluded bool) {
	e, known := d.entries[id]
	if !known {
		return Exclusion{ID: id, Reason: NotListed}, true
	}
	if x, excluded = d.byList(e); excluded {
		return x, true
	}
	x, excluded = byStatement(&e.replica, d.statements.Get(id), c)
	if excluded && !x.LastResort {
		return x, true
	}
	if old, excluded := d.byAge(e, c); excluded {
		return old, true
	}
	return x, excluded
}

// Exclusions returns the replicas of a service that are listed as ready but receive no
// new requests. A replica that is excluded for two reasons may appear twice.
func (d *Directory) Exclusions(service string, c Conditions) []Exclusion {
	var list []Exclusion
	d.statements.eachExcluding(c.Now, func(id string, said Statement) {
		e, known := d.entries[id]
		if !known || e.replica.Service != service {
			return
		}
		if _, excluded := d.byList(e); excluded {
			return
		}
		if x, excluded := byStatement(&e.replica, said, c); excluded {
			list = append(list, x)
		}
	})
	if c.MaxListAge == 0 || !d.oldestListed.Before(c.Now.Add(-c.MaxListAge)) {
		return list
	}
	for _, e := range d.entries {
		if e.replica.Service != service {
			continue
		}
		if x, excluded := d.byAge(e, c); excluded {
			list = append(list, x)
		}
	}
	return list
}

// byList excludes a replica because of the list.
func (d *Directory) byList(e *entry) (Exclusion, bool) {
	x := Exclusion{ID: e.replica.ID}
	switch {
	case e.replica.State == Unusable:
		x.Reason = EntryUnusable
	case e.replica.State == Draining:
		x.Reason = ListedDraining
	case slices.Contains(d.evacuated, e.replica.DataCentre):
		x.Reason = DataCentreEvacuated
	default:
		return Exclusion{}, false
	}
	return x, true
}

// byStatement excludes a replica because of its own statements.
func byStatement(r *Replica, said Statement, c Conditions) (Exclusion, bool) {
	x := Exclusion{ID: r.ID}
	rests := c.Now.Before(said.RestUntil)
	switch {
	case !said.DrainingSince.IsZero():
		x.Reason, x.Since = ShutdownAnnounced, said.DrainingSince
		x.LastResort = !rests && c.Now.Sub(said.DrainingSince) < c.MaxListAge
	case rests:
		x.Reason, x.Until = RestRequested, said.RestUntil
	default:
		return Exclusion{}, false
	}
	return x, true
}

// byAge excludes a replica that may have announced its shutdown too long ago: no list
// named it within the maximum age, and it was not seen serving within it. While the store
// is unavailable no router can know more, so all replicas may be used.
func (d *Directory) byAge(e *entry, c Conditions) (Exclusion, bool) {
	since := c.Now.Add(-c.MaxListAge)
	if c.MaxListAge == 0 || !d.notListedSince(e, since, c.LastUnavailable) {
		return Exclusion{}, false
	}
	// A recent list decides alone, because some replicas that leave announce nothing and
	// keep answering.
	if !d.readTime.After(since) {
		if c.StoreUnavailable != nil && c.StoreUnavailable() {
			return Exclusion{}, false
		}
		if d.statements.Get(e.replica.ID).ServingAt.After(since) {
			return Exclusion{}, false
		}
	}
	return Exclusion{ID: e.replica.ID, Reason: NotListedRecently, Since: d.lastListed(e)}, true
}
