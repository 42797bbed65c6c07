package front

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// preferredVersions returns the versions at which a stream should begin: those that routers know of
// also after all of them ended. Without any, the stream may begin anywhere.
func (c *call) preferredVersions() []string {
	if c.front.options.Origins == nil || !c.route.Resumable || c.origin.State != continuation.Open {
		return nil
	}
	return c.front.options.Origins.Confirmed(c.service.Name)
}

// recordOrigin records the version at which the stream begins, before its first event is
// forwarded.
func (c *call) recordOrigin() {
	if c.originRecorded {
		return
	}
	c.originRecorded = true
	switch {
	case c.origin.State != continuation.Open:
	case c.replicaVersion.Known:
		c.origin = continuation.StartedAt(c.service.Name, c.replicaVersion.Name)
	default:
		c.origin = continuation.Origin{State: continuation.Unknown}
	}
	f := c.front
	if f.options.Origins == nil || c.origin.State != continuation.Known || c.origin.Version == "" {
		return
	}
	f.streams.ObserveNewRoutes()
	f.streams.ObserveVersions(c.service.Name)
	f.options.Origins.RecordOrigin(c.service.Name, c.originKey(), c.origin.Version)
	if c.takenUp() {
		// A caller may name this attempt when it takes the stream up again.
		f.options.Origins.RecordOrigin(c.service.Name, origin.KeyOf(c.service.Name, c.id), c.origin.Version)
	}
}

// streamID returns the id of the attempt that began the stream: callers that take it up name the
// attempt that brought its first event. A router of an earlier build that goes on with a stream keeps
// the attempt's own id.
func (c *call) streamID() string {
	if c.takenUp() {
		return cmp.Or(c.resumes(), c.id)
	}
	return c.id
}

// originKey returns the key of the stream.
func (c *call) originKey() origin.Key { return origin.KeyOf(c.service.Name, c.streamID()) }

// findOrigin finds at which version the stream began that the caller takes up, and refuses to
// go on if that is not known, or if it began at another service.
func (c *call) findOrigin(ctx context.Context) *refusal {
	f := c.front
	if c.origin.MovedFrom(c.service.Name) {
		return c.refuseMoved()
	}
	if f.options.Origins == nil || c.origin.State != continuation.Open || !c.takenUp() {
		return nil
	}
	f.streams.ObserveRoutes()
	if !f.streams.MayStateVersions(c.service.Name) {
		return c.checkRoutes()
	}
	found := f.options.Origins.FindOrigin(ctx, c.service.Name, c.originKey())
	routes := origin.Search{Finding: origin.Finding{Source: origin.Recorded}}
	if found.Source == origin.Inferred {
		routes = c.findRoutes(ctx)
	}
	c.logTakenUp(found, routes)
	if found.Source == origin.Unknown && !found.Several && (found.Unrecorded && f.streams.StatesNoVersion(c.service.Name) || !f.streams.MayStateVersions(c.service.Name)) {
		// No router and no record names a version: the service has none. A record that was not read
		// may name one.
		return c.checkRoutes()
	}
	if found.Source == origin.Unknown {
		return c.refuseOrigin("version of the stream not known")
	}
	if routes.Source == origin.Unknown {
		return c.refuseMoved()
	}
	c.origin = continuation.StartedAt(c.service.Name, found.Version)
	if !slices.Contains(f.balancer.Versions(c.service.Name), found.Version) {
		// The list of another router may be newer.
		f.watcher.TriggerRead()
	}
	return nil
}

// findRoutes finds whether all routes of a stream's lifetime lead it to its service. What this router
// knows to differ no other one can overrule.
func (c *call) findRoutes(ctx context.Context) origin.Search {
	if own := c.front.options.Origins.Find(c.routeQuery(), c.originKey(), steady.Now()); own.Several {
		return origin.Search{Finding: own}
	}
	return c.front.options.Origins.FindOrigin(ctx, c.routeQuery(), c.originKey())
}

// checkRoutes refuses a stream of a service without versions, of which nothing is recorded, if this
// router knows that its route led elsewhere.
func (c *call) checkRoutes() *refusal {
	if c.front.options.Origins.Find(c.routeQuery(), c.originKey(), steady.Now()).Several {
		return c.refuseMoved()
	}
	return nil
}

func (c *call) refuseMoved() *refusal { return c.refuseOrigin("service of the stream not known") }

// refuseOrigin refuses to go on with a stream, of which it is not known where it began.
func (c *call) refuseOrigin(reason string) *refusal {
	c.front.metrics.UnknownOrigins.Inc(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryLater}
}

// routeQuery asks whether the stream began at its service, in place of a service's name.
func (c *call) routeQuery() string {
	q := origin.RouteQuery{Host: strings.ToLower(c.route.Host), Path: c.path(), Draw: c.shareDraw, Service: c.service.Name}
	return q.String()
}

// logTakenUp logs what is known of a stream that the caller takes up, and of its routes.
func (c *call) logTakenUp(found, routes origin.Search) {
	listed := c.front.balancer.Versions(c.service.Name)
	slices.Sort(listed)
	c.front.log.Write(event.StreamTakenUp, event.F("request", c.id), event.F("resumes", c.resumes()), event.F("after_event", c.request.Header.Get(lastEventHeader)),
		event.F("found", found.Source.String()), event.F("origin", found.Version), event.F("listed", slices.Compact(listed)),
		event.F("several", found.Several), event.F("routes", routes.Source.String()), event.F("asked", found.Asked), event.F("answered", found.Answered), event.F("uptime_ms", steady.Since(c.front.started).Milliseconds()))
}

// ObserveVersions notes which versions serve, where routes lead, and how long streams may last.
func (f *Front) ObserveVersions() { f.streams.Observe() }

// ResumableServices returns the services whose streams may be taken up and whose replicas state the
// version of their software, or did so within a stream's lifetime.
func (f *Front) ResumableServices() []string { return f.streams.ResumableServices() }

// ServicesWithResumableRoutes returns the services whose streams may be taken up.
func (f *Front) ServicesWithResumableRoutes() []string {
	return f.streams.ServicesWithResumableRoutes()
}

// relayOriginPrefix precedes the version in relayheader.Origin.
const relayOriginPrefix = "="

// setOrigin adds to a request for another router the version at which the stream began.
func (c *call) setOrigin(header http.Header) {
	value := ""
	if c.origin.State == continuation.Known {
		value = relayOriginPrefix + c.origin.Version
	}
	header.Set(relayheader.Origin, value)
}

// readOrigin reads where the stream began from the request of another router.
func (c *call) readOrigin(header http.Header) {
	values, stated := header[relayheader.Origin]
	if !stated {
		return
	}
	c.relay.asksVersion = true
	if version, known := strings.CutPrefix(values[0], relayOriginPrefix); known {
		c.origin = continuation.StartedAt(c.relay.service, version)
	}
}

// relayedVersion returns the version of the replica that answered another router. One of an
// earlier build does not state it.
func (c *call) relayedVersion(header http.Header) continuation.Version {
	if values, stated := header[relayheader.Version]; stated {
		return continuation.KnownVersion(values[0])
	}
	version, listed := c.front.balancer.VersionOf(header.Get(relayheader.Replica))
	return continuation.Version{Name: version, Known: listed}
}

// takenUp reports whether the caller takes up a stream that an earlier attempt began.
func (c *call) takenUp() bool {
	return c.route != nil && c.route.Resumable && c.request.Header.Get(lastEventHeader) != ""
}

// maxAttemptID bounds the ids of earlier attempts, in bytes.
const maxAttemptID = 256

// resumes returns the id of the attempt that the caller says began the stream, or "".
func (c *call) resumes() string {
	id := c.request.Header.Get(c.front.options.Dialect.Resumes)
	if len(id) > maxAttemptID {
		return ""
	}
	return id
}
