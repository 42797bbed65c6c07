package front

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics are the metrics of a Front. Times are in milliseconds. Names follow
// croftyard.PART.WHAT[_UNIT][.LABEL]; docs/METRICS.md lists them.
type Metrics struct {
	Registry          gometrics.Registry
	Retries           gometrics.Counter
	ConnectionsOpened gometrics.Counter
	// PoisonRefusals counts refusals of requests that are suspected to crash replicas.
	PoisonRefusals gometrics.Counter
	// DrainingAnswers counts answers that announced the replica's shutdown, RestingAnswers
	// those that asked for a rest.
	DrainingAnswers gometrics.Counter
	RestingAnswers  gometrics.Counter
	TimeToFirstByte gometrics.Histogram
	Duration        gometrics.Histogram

	mu     sync.Mutex
	routes map[string]bool
}

const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// routeSampleSize is the same for the histograms of a single route.
	routeSampleSize = 64
	// maxRoutes bounds the number of routes with histograms of their own. The others share
	// one.
	maxRoutes   = 32
	otherRoutes = "other"
)

// NewMetrics returns metrics in a new registry.
func NewMetrics() *Metrics {
	r := gometrics.NewRegistry()
	return &Metrics{
		Registry:          r,
		Retries:           gometrics.NewRegisteredCounter("croftyard.front.repeats", r),
		ConnectionsOpened: gometrics.NewRegisteredCounter("croftyard.front.connections_opened", r),
		PoisonRefusals:    gometrics.NewRegisteredCounter("croftyard.front.refused_as_poison", r),
		DrainingAnswers:   gometrics.NewRegisteredCounter("croftyard.front.answers_draining", r),
		RestingAnswers:    gometrics.NewRegisteredCounter("croftyard.front.answers_resting", r),
		TimeToFirstByte:   gometrics.NewRegisteredHistogram("croftyard.front.first_byte_ms", r, gometrics.NewUniformSample(sampleSize)),
		Duration:          gometrics.NewRegisteredHistogram("croftyard.front.whole_ms", r, gometrics.NewUniformSample(sampleSize)),
		routes:            make(map[string]bool),
	}
}

// RecordRequest counts a request by its route and outcome.
func (m *Metrics) RecordRequest(route, outcome string, took, first time.Duration, begun bool) {
	gometrics.GetOrRegisterCounter("croftyard.front.requests."+outcome, m.Registry).Inc(1)
	m.Duration.Update(took.Milliseconds())
	label := m.label(route)
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

func (m *Metrics) label(route string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if route == "" || !m.routes[route] && len(m.routes) >= maxRoutes {
		return otherRoutes
	}
	m.routes[route] = true
	return route
}
