package front

import (
	"net/http"
	"strconv"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// relayedCall is what a router that handed a request to this one said of it.
type relayedCall struct {
	attempts              int
	service, organisation string
	// excluded are the replicas that the other router excludes because of their own statements.
	excluded []directory.Exclusion
	// asksVersion: it asks for the software version that answers.
	asksVersion bool
}

// ServeRelayed serves a request that another router handed to this one.
func (f *Front) ServeRelayed(w http.ResponseWriter, r *http.Request) {
	f.active.Add(1)
	defer f.active.Add(-1)
	c := newCall(f, w, r, steady.Now())
	defer c.recordEnd()
	attempts, err := strconv.Atoi(r.Header.Get(relayheader.Attempts))
	if err != nil || attempts < 1 {
		attempts = 1
	}
	c.relay = &relayedCall{attempts: attempts, service: r.Header.Get(relayheader.Service), organisation: r.Header.Get(relayheader.Organisation)}
	c.relay.excluded = relayheader.ParseExclusions(r.Header, steady.Now())
	if share, err := strconv.ParseFloat(r.Header.Get(relayheader.Share), 64); err == nil && share >= 0 && share < 1 {
		c.shareDraw = share
	}
	part, err := strconv.ParseFloat(r.Header.Get(relayheader.Lent), 64)
	if lender := r.Header.Get(relayheader.Lender); err == nil && lender != "" {
		f.balancer.ShareLent(c.relay.service, lender, part, steady.Now())
	}
	c.readOrigin(r.Header)
	relayheader.Delete(r.Header)
	f.metrics.RelayedHere.Inc(1)
	defer f.relayedHere.Add(-1)
	if f.relayedHere.Add(1) > maxRelayedHere {
		c.refuse(&refusal{status: http.StatusServiceUnavailable, reason: "too many requests of other routers", retryAfter: retryElsewhere, unable: true})
		return
	}
	// The first router counted the request as demand.
	c.counted = true
	c.serve()
}

// checkRelayed refuses a request that the router which handed it to this one takes for another
// one, by its own configuration.
func (c *call) checkRelayed() *refusal {
	if c.relay == nil || c.relay.service == c.service.Name && c.relay.organisation == c.organisationName() {
		return nil
	}
	return &refusal{status: http.StatusServiceUnavailable, reason: "configurations of routers differ", retryAfter: retryElsewhere, differs: true}
}

// organisationName returns the name of the caller's organisation, or "".
func (c *call) organisationName() string {
	if c.organisation == nil {
		return ""
	}
	return c.organisation.Name
}

// result returns the value of relayheader.Result for an answer that this router generated.
func (*relayedCall) result(c *call, r *refusal) string {
	switch {
	case c.mayHaveRun:
		return relayheader.Failed
	case r.differs || !impliesNotRun(r.status):
		return relayheader.Differs
	case c.sent.Load() > 0:
		// Replicas turned it away; the first router does not know how many.
		return relayheader.Refused
	case r.unable:
		return relayheader.Unable
	case r.full:
		return relayheader.Full
	}
	return relayheader.Refused
}

// describeRelayed adds to the head of a replica's answer what the router that handed the
// request to this one must know. A replica cannot set any of it.
func (c *call) describeRelayed(header http.Header) {
	if c.relay == nil {
		return
	}
	relayheader.Delete(header)
	header.Set(relayheader.Sent, strconv.Itoa(int(c.sent.Load())))
	header.Set(relayheader.Replica, c.outcome.replica)
	if c.relay.asksVersion {
		header.Set(relayheader.Version, c.replicaVersion.Name)
	}
}

// maxAttempts is how many replicas the request may be sent to.
func (c *call) maxAttempts() int {
	if c.relay == nil {
		return c.route.Attempts
	}
	return min(c.route.Attempts, c.relay.attempts)
}

// refuseOutOfReach refuses a request of another router whose service this one does not reach
// either.
func (c *call) refuseOutOfReach() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "service out of reach", retryAfter: retryElsewhere, unable: true}
}
