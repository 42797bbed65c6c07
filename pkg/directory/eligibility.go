package directory

import (
	"slices"
	"time"
)

// Whether a replica may have a new request is one question. These speak to it, in order:
//
//	the list: not listed, unusable, draining, evacuated
//	the replica's own statements: announced its shutdown, asked for rest
//	the age of the list: the replica may have left since, unless it was seen serving
//
// Whoever chooses a replica asks before, and again before bytes are written to it.

// Reason tells why a replica gets no new requests.
type Reason string

// The reasons.
const (
	NotListed         Reason = "not listed"
	EntryUnusable     Reason = "entry unusable"
	ListedDraining    Reason = "listed as draining"
	CentreEvacuated   Reason = "data centre evacuated"
	ShutdownAnnounced Reason = "announced its shutdown"
	RestAsked         Reason = "asked for rest"
	ListTooOld        Reason = "not listed lately"
)

// Exclusion tells that a replica gets no new requests, and why.
type Exclusion struct {
	ID      string
	Service string
	Reason  Reason
	// Since is when the reason began, Until when it ends; zero: not known.
	Since, Until time.Time
	// LastResort: it may still have a request for which there is no other replica.
	LastResort bool
}

// Conditions are what eligibility depends on besides the directory.
type Conditions struct {
	Now time.Time
	// Limit is the greatest age of a list by which requests are sent, and for how long a
	// replica may serve on that announced its shutdown. 0: lists do not age, and such a
	// replica gets nothing.
	Limit time.Duration
	// StoreUnavailable tells whether no router has had an answer of the list's store for
	// Limit; nil: one has. It is asked only where it matters.
	StoreUnavailable func() bool
	// SeenUnavailable is when that was last so.
	SeenUnavailable time.Time
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
	for _, old := range d.byAge(c) {
		if old.ID == id {
			return old, true
		}
	}
	return x, excluded
}

// Exclusions returns those of the replicas that are listed as ready which get no new
// requests. One that is excluded for two reasons may stand in it twice.
func (d *Directory) Exclusions(c Conditions) []Exclusion {
	var list []Exclusion
	for id, said := range d.statements.binding(c.Now) {
		e, known := d.entries[id]
		if !known {
			continue
		}
		if _, excluded := d.byList(e); excluded {
			continue
		}
		if x, excluded := byStatement(&e.replica, said, c); excluded {
			list = append(list, x)
		}
	}
	return append(list, d.byAge(c)...)
}

// byList excludes by what the list says.
func (d *Directory) byList(e *entry) (Exclusion, bool) {
	x := Exclusion{ID: e.replica.ID, Service: e.replica.Service}
	switch {
	case e.replica.State == Unusable:
		x.Reason = EntryUnusable
	case e.replica.State == Draining:
		x.Reason = ListedDraining
	case slices.Contains(d.evacuated, e.replica.DataCentre):
		x.Reason = CentreEvacuated
	default:
		return Exclusion{}, false
	}
	return x, true
}

// byStatement excludes by what a replica said of itself.
func byStatement(r *Replica, said Statement, c Conditions) (Exclusion, bool) {
	x := Exclusion{ID: r.ID, Service: r.Service}
	rests := c.Now.Before(said.RestUntil)
	switch {
	case !said.DrainingSince.IsZero():
		x.Reason, x.Since = ShutdownAnnounced, said.DrainingSince
		x.LastResort = !rests && c.Now.Sub(said.DrainingSince) < c.Limit
	case rests:
		x.Reason, x.Until = RestAsked, said.RestUntil
	default:
		return Exclusion{}, false
	}
	return x, true
}

// byAge excludes the replicas that may have announced that they drain too long ago: no
// list named them within the limit, and neither were they seen serving. While the store
// is unavailable nobody can have heard more, and all may be used.
func (d *Directory) byAge(c Conditions) []Exclusion {
	if c.Limit == 0 {
		return nil
	}
	since := c.Now.Add(-c.Limit)
	unlisted := d.Unlisted(since, c.SeenUnavailable)
	if len(unlisted) == 0 {
		return nil
	}
	// A list that is young enough names them no more: some that leave say nothing of it
	// themselves and go on answering.
	byYoungList := d.read.After(since)
	if !byYoungList && c.StoreUnavailable != nil && c.StoreUnavailable() {
		return nil
	}
	var list []Exclusion
	for _, id := range unlisted {
		if !byYoungList && d.statements.Get(id).ServingAt.After(since) {
			continue
		}
		e := d.entries[id]
		list = append(list, Exclusion{ID: id, Service: e.replica.Service, Reason: ListTooOld, Since: e.listed})
	}
	return list
}
