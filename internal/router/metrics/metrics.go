// Package metrics holds the counters and histograms of one router of chats.
package metrics

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/placement"
)

// Metrics of one router. Names follow croftyard.SUBJECT.WHAT[.KIND].
type Metrics struct {
	Registry gometrics.Registry

	ConfigVersion gometrics.Gauge
	Served        gometrics.Counter
	Broken        gometrics.Counter
	Retried       gometrics.Counter
	Resumed       gometrics.Counter
	Crossed       gometrics.Counter
	Diverted      gometrics.Counter
	PassedOn      gometrics.Counter
	Forwarded     gometrics.Counter
	Alone         gometrics.Counter
	TokensIgnored gometrics.Counter
	Tokens        gometrics.Meter
	FirstByte     gometrics.Histogram
	Total         gometrics.Histogram
	Waited        gometrics.Histogram
	PromptTokens  gometrics.Counter
	CachedTokens  gometrics.Counter

	refused map[admission.Reason]gometrics.Counter
	origins map[placement.Origin]gometrics.Counter
}

// New returns metrics in a registry of their own.
func New() *Metrics {
	const reservoir = 1028
	const recent = 0.015
	registry := gometrics.NewRegistry()
	counter := func(name string) gometrics.Counter {
		return gometrics.NewRegisteredCounter("croftyard."+name, registry)
	}
	histogram := func(name string) gometrics.Histogram {
		sample := gometrics.NewExpDecaySample(reservoir, recent)
		return gometrics.NewRegisteredHistogram("croftyard."+name, registry, sample)
	}
	m := &Metrics{
		Registry:      registry,
		ConfigVersion: gometrics.NewRegisteredGauge("croftyard.config.version", registry),
		Served:        counter("requests.served"),
		Broken:        counter("requests.broken"),
		Retried:       counter("requests.retried"),
		Resumed:       counter("streams.resumed"),
		Crossed:       counter("answers.crossed"),
		Diverted:      counter("placement.diverted"),
		PassedOn:      counter("placement.passed_on"),
		Forwarded:     counter("placement.forwarded"),
		Alone:         counter("placement.alone"),
		TokensIgnored: counter("chat_tokens.ignored"),
		Tokens:        gometrics.NewRegisteredMeter("croftyard.output.events", registry),
		FirstByte:     histogram("latency.first_byte_us"),
		Total:         histogram("latency.total_us"),
		Waited:        histogram("latency.queue_us"),
		PromptTokens:  counter("cache.prompt_tokens"),
		CachedTokens:  counter("cache.cached_tokens"),
		refused:       make(map[admission.Reason]gometrics.Counter),
		origins:       make(map[placement.Origin]gometrics.Counter),
	}
	for reason, name := range admission.ReasonNames() {
		if reason != admission.Served {
			m.refused[reason] = counter("requests.refused." + name)
		}
	}
	for origin := placement.FromNothing; origin <= placement.FromDiversion; origin++ {
		m.origins[origin] = counter("placement.from." + origin.String())
	}
	return m
}

// Refused counts a refusal.
func (m *Metrics) Refused(reason admission.Reason) {
	if c, known := m.refused[reason]; known {
		c.Inc(1)
	}
}

// Placed counts where a request was placed, and what the choice rested on.
func (m *Metrics) Placed(origin placement.Origin) {
	m.origins[origin].Inc(1)
	if origin == placement.FromDiversion {
		m.Diverted.Inc(1)
	}
}

// Observe enters a duration, in microseconds.
func Observe(h gometrics.Histogram, d time.Duration) {
	h.Update(d.Microseconds())
}
