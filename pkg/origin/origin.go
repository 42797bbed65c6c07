// Package origin remembers at which software version of a service streams began, so that they
// go on only there.
//
//	Table    the version at which each stream began, for as long as it may last
//	History  which versions served lately, which decides for a stream without a record
//	Tracker  both
//
// Routers send each other records only while a service has more than one version. A stream
// without one therefore began while there was a single version, as far as its router knew.
// The package does no I/O; time comes from the caller.
package origin

import (
	"sync/atomic"
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
	// Inferred: the version served alone when the stream must have begun.
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
}

// Tracker records where streams began. It is safe for concurrent use.
type Tracker struct {
	table    *Table
	history  *History
	lifetime atomic.Int64
}

// NewTracker returns an empty tracker. A stream lasts for lifetime at the most.
func NewTracker(lifetime time.Duration) *Tracker {
	t := &Tracker{table: NewTable(), history: NewHistory()}
	t.SetLifetime(lifetime)
	return t
}

// SetLifetime sets how long a stream may last, its takings up included.
func (t *Tracker) SetLifetime(d time.Duration) { t.lifetime.Store(int64(d)) }

// Observe notes the versions of a service that serve now, and reports whether several served
// within a stream's lifetime.
func (t *Tracker) Observe(service string, versions []string, now time.Time) (several bool) {
	t.history.Observe(service, versions, now, t.streamLifetime())
	return t.history.Several(service)
}

// Record notes the version at which a stream began.
func (t *Tracker) Record(k Key, version string, now time.Time) {
	t.table.Record(k, version, now, t.streamLifetime())
}

// Find returns what is known of a stream.
func (t *Tracker) Find(service string, k Key, now time.Time) Finding {
	f := Finding{Several: t.history.Several(service)}
	if version, found := t.table.Version(k, now); found {
		f.Source, f.Version = Recorded, version
	} else if version, known := t.history.Only(service, now, t.streamLifetime()); known {
		f.Source, f.Version = Inferred, version
	}
	return f
}

// Len returns the number of streams recorded.
func (t *Tracker) Len() int { return t.table.Len() }

func (t *Tracker) streamLifetime() time.Duration { return time.Duration(t.lifetime.Load()) }

// Merge combines findings of several routers about one stream. A record goes first. Routers
// that infer different versions have seen different lists, so neither is believed.
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
	if conflict {
		return Finding{Several: true}
	}
	return out
}
