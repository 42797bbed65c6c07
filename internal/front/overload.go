package front

import (
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/overload"
)

// Overload decides which requests a service without capacity for all of them takes.
// *overload.Controller implements it.
type Overload interface {
	Arrived(service string, share overload.Share, now time.Time)
	Answered(replica uint32, took time.Duration, now time.Time)
	Rejected(replica uint32, now time.Time)
	Decide(q overload.Request, now time.Time) overload.Decision
}

var _ Overload = (*overload.Controller)(nil)

// admissionControl returns the admission control of the call's service, or nil if it has
// none. Engines have queues and bounds of their own.
func (c *call) admissionControl() Overload {
	o := &c.front.options
	if o.Overload == nil || c.service.Engine != nil || o.Without.Has(mechanism.Admission) {
		return nil
	}
	return o.Overload
}

// checkOverload refuses a request that its service has no capacity for. The request is
// counted and decided on once, before the first attempt: after that a replica may have run
// it. Without a usable replica there is nothing to decide by.
func (c *call) checkOverload(excluded []directory.Exclusion, now time.Time) *refusal {
	control := c.admissionControl()
	if control == nil || c.decided || !c.sentAt.IsZero() {
		return nil
	}
	q := overload.Request{Service: c.service.Name, Share: c.overloadShare(), Target: c.route.Target, Left: c.deadline.Sub(now)}
	if !c.counted {
		c.counted = true
		control.Arrived(q.Service, q.Share, now)
	}
	if enabled := c.front.options.AdmissionEnabled; enabled != nil && !enabled() {
		// Ends the overload of a service whose requests were refused until this was switched off.
		c.front.recordDecision(q.Service, overload.Decision{Admitted: true}, now)
		return nil
	}
	q.Usable = c.front.balancer.UsableReplicas(q.Service, idsOf(excluded), now)
	if len(q.Usable) == 0 {
		return nil
	}
	c.decided = true
	d := control.Decide(q, now)
	c.front.recordDecision(q.Service, d, now)
	if d.Admitted {
		return nil
	}
	c.overloaded = &overloadRefusal{request: q, decision: d}
	// A third of a short remaining time may round to zero, which would omit the header.
	after := max(d.RetryAfter, time.Millisecond)
	return &refusal{status: http.StatusServiceUnavailable, reason: "service overloaded: " + string(d.Reason), retryAfter: after}
}

// overloadShare returns the share that the call competes in.
func (c *call) overloadShare() overload.Share {
	return overload.Share{Priority: c.priority(), Organisation: c.organisationName()}
}

// recordLoad records what the head of an answer tells about its replica's load. A rejection
// counts only if the replica is full: one that is shutting down, or has another id (421), has
// no queue. A status that may mean that the request has not run counts as nothing, since its
// short duration would overstate the capacity.
func (c *call) recordLoad(id string, answer *http.Response) {
	control := c.admissionControl()
	if control == nil {
		return
	}
	d := &c.front.options.Dialect
	notExecuted := answer.Header.Get(d.NotExecuted) != ""
	full := answer.StatusCode == http.StatusServiceUnavailable || answer.StatusCode == http.StatusTooManyRequests
	now := steady.Now()
	switch {
	case notExecuted && full && !announcesShutdown(answer.Header.Get(d.ShuttingDown)):
		control.Rejected(balance.ReplicaHash(id), now)
	case notExecuted, impliesNotRun(answer.StatusCode):
	default:
		control.Answered(balance.ReplicaHash(id), now.Sub(c.writtenAt), now)
	}
}

// overloadRefusal is a refusal by admission control, for the log.
type overloadRefusal struct {
	request  overload.Request
	decision overload.Decision
}

// overloadFields returns the log fields of a call that admission control refused.
func (c *call) overloadFields() []event.Field {
	if c.overloaded == nil {
		return nil
	}
	q, d := c.overloaded.request, c.overloaded.decision
	fields := []event.Field{event.F("organisation", q.Share.Organisation), event.F("priority", q.Share.Priority),
		event.F("offered", roundRate(d.Offered)), event.F("granted", roundRate(d.Granted)),
		event.F("service_took_ms", d.Status.Took.Milliseconds())}
	return append(fields, statusFields(q.Service, d.Status)...)
}

// statusFields returns the log fields that describe a service's load.
func statusFields(service string, s overload.Status) []event.Field {
	return []event.Field{event.F("service", service), event.F("wait_ms", s.Wait.Milliseconds()),
		event.F("capacity", roundRate(s.Capacity)), event.F("demand", roundRate(s.Demand)), event.F("limit", roundRate(s.Limit))}
}

// roundRate rounds a rate to hundredths. It returns nil for NaN and infinity, which JSON
// cannot represent: the log line would be lost.
func roundRate(rate float64) any {
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return nil
	}
	return math.Round(rate*100) / 100
}

// recordDecision counts a decision and logs if it changes whether this router refuses
// requests for the service.
func (f *Front) recordDecision(service string, d overload.Decision, now time.Time) {
	if !d.Admitted {
		f.metrics.RecordOverload(service, d.Reason)
	}
	if id, changed := f.overloaded.record(service, d, now); changed {
		f.log.Write(id, append(statusFields(service, d.Status), event.F("took_ms", d.Status.Took.Milliseconds()))...)
	}
}

// overloadedServices are the services for which this router refuses requests.
type overloadedServices struct {
	mu sync.Mutex
	// lastRefusal is when a request for the service was last refused.
	lastRefusal map[string]time.Time
}

// roomPeriod is how long after the last refusal a service may be reported to have capacity
// again. The rates behind decisions have a time constant of a second, so decisions about a
// service near its limit alternate within that time.
const roomPeriod = time.Second

// record records a decision and returns the event to log if the service's state changed.
func (s *overloadedServices) record(service string, d overload.Decision, now time.Time) (id event.ID, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last, refusing := s.lastRefusal[service]
	switch {
	case !d.Admitted:
		if s.lastRefusal == nil {
			s.lastRefusal = make(map[string]time.Time)
		}
		s.lastRefusal[service] = now
		return event.ServiceOverloaded, !refusing
	case refusing && !d.Status.Limiting && now.Sub(last) >= roomPeriod:
		delete(s.lastRefusal, service)
		return event.ServiceHasRoom, true
	}
	return 0, false
}
