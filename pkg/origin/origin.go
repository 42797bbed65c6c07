// Package origin remembers at which service and software version streams began, so that they
// go on only there.
//
//	Table    the version at which each stream began, for as long as it may last
//	History  which versions served lately, and which routes led to services, which decides for a
//	         stream without a record
//	Tracker  both
//	Keeper   when the versions that served are read from the store and written to it, so that
//	         they outlive all routers
//
// A Tracker also holds which of the versions that serve the record in the store is known to name.
//
// Routers send each other records while a service has more than one version, or while they do not
// know that it has not, or while a route leads elsewhere than lately. A stream without a record
// therefore goes on only if a single version served, and its route led to the service, within its
// lifetime, and this is known. The package does no I/O; time comes from the caller.
package origin

import (
	"cmp"
	"time"
)

// Finding is what a router knows of a stream.
type Finding struct {
	Source Source
	// Version is the one at which the stream began, unless Source is Unknown.
	Version string
	// Several: more than one version of the service served within a stream's lifetime.
	Several bool
}

// Source is how the version of a stream is known.
type Source uint8

// The sources.
const (
	// Unknown: the version is not known.
	Unknown Source = iota
	// Inferred: no other version served within the stream's lifetime.
	Inferred
	// Recorded: the router of the stream recorded the version.
	Recorded
)

// String returns the name of a source, for logs.
func (s Source) String() string {
	switch s {
	case Inferred:
		return "inferred"
	case Recorded:
		return "recorded"
	default:
		return "unknown"
	}
}

// Search is a finding and what it took to make it.
type Search struct {
	Finding
	// Asked is how many other routers were asked, Answered how many of them answered.
	Asked, Answered int
	// Unrecorded: the records in the store were read, and none is of the service.
	Unrecorded bool
}

// Tracker records where streams began. It is safe for concurrent use.
type Tracker struct {
	table    *Table
	history  *History
	lifetime lifetime
	added    chan struct{}
	routes   observedRoutes
}

// NewTracker returns an empty tracker. Until SetLifetime is called, a stream lasts for longest at
// the most.
func NewTracker(longest time.Duration) *Tracker {
	t := &Tracker{table: NewTable(), history: NewHistory(), added: make(chan struct{}, 1)}
	t.lifetime.assumed = longest
	return t
}

// SetLifetime sets how long a stream may last, its takings up included. A shorter time takes effect
// once the streams that began before have ended. A longer one is not covered by what is known until it
// has passed.
func (t *Tracker) SetLifetime(d time.Duration, now time.Time) {
	if before := t.lifetime.set(d, now); d > before {
		t.history.lengthen(before, now)
	}
}

// Observe notes the versions of a service that serve now by a list of replicas that is current or
// not, or the texts of all Routes.
func (t *Tracker) Observe(service string, versions []string, current bool, now time.Time) {
	if service == Routes {
		defer t.inheritRoutes(versions, now)
	}
	if !t.history.Observe(service, versions, current, now, t.lifetime.get(now)) {
		return
	}
	select {
	case t.added <- struct{}{}:
	default:
	}
}

// Added returns a channel that receives a value after versions were added.
func (t *Tracker) Added() <-chan struct{} { return t.added }

// Recall adds the versions of a service that served before, which are all that did, by a record that does
// not state for how long they are kept in it. Streams that began before may last for the longest time.
func (t *Tracker) Recall(service string, versions []string, now time.Time) {
	t.RecallRecord(Stored{Service: service, Versions: versions}, now)
}

// RecallRecord does the same by a record as it was read. Streams that began before may last for the time
// that it states.
func (t *Tracker) RecallRecord(r Stored, now time.Time) {
	if len(r.Versions) > 0 {
		t.lifetime.setEarlier(cmp.Or(r.Kept, t.lifetime.assumed), now)
	}
	if t.history.Recall(r, now) && r.Service == Routes {
		t.recallRoutes(r.Versions, now)
	}
}

// Written notes records that this router wrote of what it knows, with a revision. Reading them tells it
// nothing new.
func (t *Tracker) Written(records []Stored, revision uint64) { t.history.written(records, revision) }

// Served returns the versions of a service that served within a stream's lifetime.
func (t *Tracker) Served(service string, now time.Time) Served {
	return t.history.Served(service, now, t.lifetime.get(now))
}

// GapEnd returns when the last time ended in which a service, or the routes that a RouteQuery is about,
// were not observed by a current list, zero if there was none.
func (t *Tracker) GapEnd(service string) time.Time {
	if _, err := parseRouteQuery(service); err == nil {
		service = Routes
	}
	return t.history.GapEnd(service)
}

// HasLapsed reports whether a service was not observed by a current list for a time after it had been, so
// that what is known of the time before the start does not tell what served.
func (t *Tracker) HasLapsed(service string) bool { return t.history.hasLapsed(service) }

// Record notes the version at which a stream began. shared is set if other routers have it too.
func (t *Tracker) Record(k Key, version string, shared bool, now time.Time) {
	t.table.Record(k, version, shared, now, t.lifetime.get(now))
}

// Unshared returns the records that no other router has, and counts them as shared from then on.
func (t *Tracker) Unshared(now time.Time) []Record { return t.table.Unshared(now) }

// Records returns all records.
func (t *Tracker) Records(now time.Time) []Record { return t.table.All(now) }

// Find returns what is known of a stream of a service, or what a RouteQuery asks: Inferred means that
// the stream began at the service, Several that it may have begun at another one.
func (t *Tracker) Find(service string, k Key, now time.Time) Finding {
	if q, err := parseRouteQuery(service); err == nil {
		return t.findRoute(q, now)
	}
	served := t.Served(service, now)
	f := Finding{Several: len(served.Versions) > 1}
	if version, found := t.table.Version(k, now); found {
		f.Source, f.Version = Recorded, version
	} else if version, known := served.only(); known {
		f.Source, f.Version = Inferred, version
	}
	return f
}

// Len returns the number of streams recorded.
func (t *Tracker) Len() int { return t.table.Len() }

// Merge combines findings of several routers about one stream. A record goes first. A router that
// saw more than one version overrules those that saw a single one.
func Merge(findings ...Finding) Finding {
	var out Finding
	conflict := false
	for _, f := range findings {
		out.Several = out.Several || f.Several
		switch {
		case f.Source == Unknown || f.Source < out.Source:
		case f.Source > out.Source:
			out.Source, out.Version, conflict = f.Source, f.Version, false
		case f.Version != out.Version:
			conflict = true
		}
	}
	if conflict || out.Source == Inferred && out.Several {
		return Finding{Several: true}
	}
	return out
}
