// Package continuation holds what decides where a stream of events that broke off, or that its caller takes
// up again, may go on: at which service and software version, and behind which event.
//
//	origin.go    the service and the version at which a stream began
//	position.go  the event behind which it goes on
//	observer.go  which services and versions serve meanwhile
//
// What replicas of two services or of two software versions write does not fit together, and replicas
// do not check it. A stream therefore goes on only at the service and the version that began it.
package continuation

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/pkg/origin"
)

// Origins records at which versions streams began, over all routers.
type Origins interface {
	// SetLifetime sets how long after its first event a stream may be taken up.
	SetLifetime(d time.Duration, now time.Time)
	// Observe notes which versions of a service serve now, by a list of replicas that is current
	// or not, or what origin.DescribeRoutes returns, of origin.Routes.
	Observe(service string, versions []string, current bool, now time.Time)
	// Served returns the versions of a service that served within a stream's lifetime.
	Served(service string, now time.Time) origin.Served
	// Confirmed returns the versions of a service that serve and that the store's record is known
	// to name.
	Confirmed(service string) []string
	// RecordOrigin records the version at which a stream of a service begins.
	RecordOrigin(service string, k origin.Key, version string)
	// Find returns what this router knows of a stream, or of what an origin.RouteQuery asks in
	// place of a service.
	Find(service string, k origin.Key, now time.Time) origin.Finding
	// FindOrigin returns the same. It asks other routers and the store if need be, for a bounded
	// time.
	FindOrigin(ctx context.Context, service string, k origin.Key) origin.Search
}

// Version is the software version of a replica, if known. Replicas that state none share the empty one.
type Version struct {
	Name  string
	Known bool
}

// KnownVersion returns a version that is known.
func KnownVersion(name string) Version { return Version{Name: name, Known: true} }

// State says what is known of the version at which a stream began.
type State uint8

const (
	// Open: no event was forwarded, so the stream may begin at any version.
	Open State = iota
	// Known: it began at a version, and goes on only there.
	Known
	// Unknown: it began at a version that is not known, and cannot go on.
	Unknown
)

// Origin is where a stream began: at which service and version.
type Origin struct {
	State   State
	Service string
	Version string
}

// StartedAt returns the origin of a stream that began at a version of a service.
func StartedAt(service, version string) Origin {
	return Origin{State: Known, Service: service, Version: version}
}

// MovedFrom reports whether a stream began at another service than the one given.
func (o Origin) MovedFrom(service string) bool {
	return o.State == Known && o.Service != service
}

// Allows reports whether a stream may go on at a version.
func (o Origin) Allows(v Version) bool {
	return o.State == Open || o.State == Known && v.Known && v.Name == o.Version
}
