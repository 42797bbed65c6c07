// Package metrics holds the counters and histograms of a Front.
package metrics

import (
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/croftyard/croftyard/pkg/overload"
)

// Metrics are the metrics of a Front. Times are in milliseconds. Names follow
// croftyard.PART.WHAT[_UNIT][.LABEL]; docs/METRICS.md lists them.
type Metrics struct {
	Registry gometrics.Registry
	Retries  gometrics.Counter
	// RetriesBorrowed counts the retries for which other routers lent something.
	RetriesBorrowed   gometrics.Counter
	ConnectionsOpened gometrics.Counter
	// PoisonRefusals counts refusals of requests that are suspected to crash replicas.
	PoisonRefusals gometrics.Counter
	// DrainingAnswers counts answers that announced the replica's shutdown, RestingAnswers
	// those that asked for a rest.
	DrainingAnswers gometrics.Counter
	RestingAnswers  gometrics.Counter
	// UndelimitedAnswers counts answers that ended with their connection.
	UndelimitedAnswers gometrics.Counter
	// UnknownOrigins counts refusals to go on with streams whose version is not known.
	UnknownOrigins gometrics.Counter
	// Relayed counts requests handed to another router, RelayedHere those taken from one.
	Relayed         gometrics.Counter
	RelayedHere     gometrics.Counter
	TimeToFirstByte gometrics.Histogram
	Duration        gometrics.Histogram

	mu sync.Mutex
	// routes and services have metrics of their own.
	routes, services map[string]bool
}

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// routeSampleSize is the same for the histograms of a single route.
	routeSampleSize = 64
	// maxLabels bounds the number of routes, and that of services, with metrics of their own.
	// The others share one.
	maxLabels  = 32
	otherLabel = "other"
)

// New returns metrics in a new registry.
func New() *Metrics {
	r := gometrics.NewRegistry()
	m := &Metrics{
		Registry:           r,
		Retries:            gometrics.NewRegisteredCounter("croftyard.front.repeats", r),
		RetriesBorrowed:    gometrics.NewRegisteredCounter("croftyard.front.repeats_borrowed", r),
		ConnectionsOpened:  gometrics.NewRegisteredCounter("croftyard.front.connections_opened", r),
		PoisonRefusals:     gometrics.NewRegisteredCounter("croftyard.front.refused_as_poison", r),
		DrainingAnswers:    gometrics.NewRegisteredCounter("croftyard.front.answers_draining", r),
		RestingAnswers:     gometrics.NewRegisteredCounter("croftyard.front.answers_resting", r),
		UndelimitedAnswers: gometrics.NewRegisteredCounter("croftyard.front.answers_undelimited", r),
		UnknownOrigins:     gometrics.NewRegisteredCounter("croftyard.front.refused_unknown_origin", r),
		Relayed:            gometrics.NewRegisteredCounter("croftyard.front.relayed", r),
		RelayedHere:        gometrics.NewRegisteredCounter("croftyard.front.relayed_here", r),
		TimeToFirstByte:    gometrics.NewRegisteredHistogram("croftyard.front.first_byte_ms", r, gometrics.NewUniformSample(sampleSize)),
		Duration:           gometrics.NewRegisteredHistogram("croftyard.front.whole_ms", r, gometrics.NewUniformSample(sampleSize)),
		routes:             make(map[string]bool),
		services:           make(map[string]bool),
	}
	for _, reason := range []overload.Reason{overload.OverShare, overload.TooLate} {
		m.RefusedOverloaded(reason)
	}
	return m
}

// RefusedOverloaded returns the counter of requests that admission control refused for a
// reason.
func (m *Metrics) RefusedOverloaded(reason overload.Reason) gometrics.Counter {
	return gometrics.GetOrRegisterCounter("croftyard.front.refused_overloaded."+strings.ReplaceAll(string(reason), " ", "_"), m.Registry)
}

// RecordOverload counts a request that admission control refused.
func (m *Metrics) RecordOverload(service string, reason overload.Reason) {
	m.RefusedOverloaded(reason).Inc(1)
	gometrics.GetOrRegisterCounter("croftyard.front.service_refused_overloaded."+m.label(m.services, service), m.Registry).Inc(1)
}

// RecordRetry counts a retry at a service.
func (m *Metrics) RecordRetry(service string) {
	m.Retries.Inc(1)
	gometrics.GetOrRegisterCounter("croftyard.front.service_repeats."+m.label(m.services, service), m.Registry).Inc(1)
}

// RecordRequest counts a request by its route and outcome.
func (m *Metrics) RecordRequest(route, outcome string, took, first time.Duration, begun bool) {
	gometrics.GetOrRegisterCounter("croftyard.front.requests."+outcome, m.Registry).Inc(1)
	m.Duration.Update(took.Milliseconds())
	label := m.label(m.routes, route)
	m.histogram("croftyard.front.route_whole_ms." + label).Update(took.Milliseconds())
	if begun {
		m.TimeToFirstByte.Update(first.Milliseconds())
		m.histogram("croftyard.front.route_first_byte_ms." + label).Update(first.Milliseconds())
	}
}

func (m *Metrics) histogram(name string) gometrics.Histogram {
	return m.Registry.GetOrRegister(name, func() gometrics.Histogram {
		return gometrics.NewHistogram(gometrics.NewUniformSample(routeSampleSize))
	}).(gometrics.Histogram)
}

// label returns a name if it has metrics of its own, and otherLabel otherwise. known holds
// those that have.
func (m *Metrics) label(known map[string]bool, name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if name == "" || !known[name] && len(known) >= maxLabels {
		return otherLabel
	}
	known[name] = true
	return name
}
