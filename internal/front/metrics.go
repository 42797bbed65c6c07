package front

import (
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Metrics are the figures of a front. Times are in milliseconds.
type Metrics struct {
	Registry  gometrics.Registry
	Repeats   gometrics.Counter
	Opened    gometrics.Counter
	FirstByte gometrics.Histogram
	Whole     gometrics.Histogram
}

// sampleSize is how many values a histogram keeps.
const sampleSize = 512

// NewMetrics returns figures in a registry of their own.
func NewMetrics() *Metrics {
	r := gometrics.NewRegistry()
	return &Metrics{
		Registry:  r,
		Repeats:   gometrics.NewRegisteredCounter("croftyard.front.repeats", r),
		Opened:    gometrics.NewRegisteredCounter("croftyard.front.connections_opened", r),
		FirstByte: gometrics.NewRegisteredHistogram("croftyard.front.first_byte_ms", r, gometrics.NewUniformSample(sampleSize)),
		Whole:     gometrics.NewRegisteredHistogram("croftyard.front.whole_ms", r, gometrics.NewUniformSample(sampleSize)),
	}
}

// Ended counts a call by how it ended.
func (m *Metrics) Ended(outcome string, took, first time.Duration, begun bool) {
	name := "croftyard.front.requests." + strings.ReplaceAll(outcome, " ", "_")
	gometrics.GetOrRegisterCounter(name, m.Registry).Inc(1)
	m.Whole.Update(took.Milliseconds())
	if begun {
		m.FirstByte.Update(first.Milliseconds())
	}
}
