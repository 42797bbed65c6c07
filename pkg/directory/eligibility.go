package directory

import (
	"slices"
	"time"
)

// Whether a replica may have a new request is decided by, in this order:
//
//	the list: not listed, unusable, draining, evacuated
//	the replica's own statements: announced its shutdown, asked for rest
//	the age of the list: the replica may have left since, unless it was seen serving
//
// It is asked when a replica is chosen, and again before bytes are written to it.

// Reason tells why a replica gets no new requests.
type Reason string

// The reasons.
const (
	NotListed           Reason = "not listed"
	EntryUnusable       Reason = "entry unusable"
	ListedDraining      Reason = "listed as draining"
	DataCentreEvacuated Reason = "data centre evacuated"
	ShutdownAnnounced   Reason = "announced its shutdown"
	RestRequested       Reason = "asked for rest"
	NotListedRecently   Reason = "not listed recently"
)

// Exclusion tells that a replica gets no new requests, and why.
type Exclusion struct {
	ID     string
	Reason Reason
	// Since is when the reason began, Until when it ends; zero: not known.
	Since, Until time.Time
	// LastResort: it may still have a request for which there is no other replica.
	LastResort bool
}

// Conditions are what eligibility depends on besides the directory.
type Conditions struct {
	Now time.Time
	// MaxListAge is the greatest age of a list by which requests are sent, and for how long a
	// replica may serve on that announced its shutdown. 0: lists do not age, and such a
	// replica gets nothing.
	MaxListAge time.Duration
	// StoreUnavailable tells whether no router has had an answer of the list's store for
	// Limit; nil: one has. It is asked only where it matters.
	StoreUnavailable func() bool
	// LastUnavailable is when that was last so.
	LastUnavailable time.Time
}

// Exclusion tells whether a replica gets no new requests. Of several reasons the first
// in the order above is returned.
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

// Exclusions returns those of a service's replicas that are listed as ready and get no new
// requests. One that is excluded for two reasons may stand in it twice.
func (d *Directory) Exclusions(service string, c Conditions) []Exclusion {
	var list []Exclusion
	d.statements.eachBinding(c.Now, func(id string, said Statement) {
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
	if c.MaxListAge == 0 || !d.oldest.Before(c.Now.Add(-c.MaxListAge)) {
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

// byList excludes by what the list says.
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

// byStatement excludes by what a replica said of itself.
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

// byAge excludes a replica that may have announced its shutdown too long ago: no list named
// it within the limit, and neither was it seen serving. While the store is unavailable
// nobody can know more, and all may be used.
func (d *Directory) byAge(e *entry, c Conditions) (Exclusion, bool) {
	since := c.Now.Add(-c.MaxListAge)
	if c.MaxListAge == 0 || !e.unlisted(since, c.LastUnavailable) {
		return Exclusion{}, false
	}
	// A list that is young enough decides: some replicas that leave announce nothing and go
	// on answering.
	if !d.read.After(since) {
		if c.StoreUnavailable != nil && c.StoreUnavailable() {
			return Exclusion{}, false
		}
		if d.statements.Get(e.replica.ID).ServingAt.After(since) {
			return Exclusion{}, false
		}
	}
	return Exclusion{ID: e.replica.ID, Reason: NotListedRecently, Since: e.listed}, true
}
