package admin

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	gometrics "github.com/rcrowley/go-metrics"
)

// line is one sample in the text form that common scrapers read.
type line struct {
	name  string
	value float64
}

// quantiles of a histogram that are written.
var quantiles = []float64{0.5, 0.95, 0.99}

// writeMetrics writes all metrics, sorted by name. Dots become underscores.
func writeMetrics(w io.Writer, subject Subject) {
	var lines []line
	subject.Registry.Each(func(name string, metric any) {
		lines = append(lines, samples(strings.ReplaceAll(name, ".", "_"), metric)...)
	})
	for _, g := range subject.Gauges() {
		lines = append(lines, line{g.Name, g.Value})
	}
	slices.SortFunc(lines, func(a, b line) int { return cmp.Compare(a.name, b.name) })
	for _, l := range lines {
		fmt.Fprintf(w, "%s %g\n", l.name, l.value)
	}
}

func samples(name string, metric any) []line {
	switch m := metric.(type) {
	case gometrics.Counter:
		return []line{{name, float64(m.Count())}}
	case gometrics.Gauge:
		return []line{{name, float64(m.Value())}}
	case gometrics.Meter:
		return []line{{name, float64(m.Count())}}
	case gometrics.Histogram:
		snapshot := m.Snapshot()
		lines := []line{{name + "_count", float64(snapshot.Count())}}
		for i, v := range snapshot.Percentiles(quantiles) {
			lines = append(lines, line{fmt.Sprintf("%s{quantile=\"%g\"}", name, quantiles[i]), v})
		}
		return lines
	}
	return nil
}
