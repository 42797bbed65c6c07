package metrics

import (
	"fmt"
	"testing"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/overload"
)

// Guards against an unbounded number of metrics, one for each service.
func TestOverloadMetricsAreBounded(t *testing.T) {
	m := New()
	for i := range 2 * maxLabels {
		m.RecordOverload(fmt.Sprint("s", i), overload.TooLate)
	}
	other := m.Registry.Get("croftyard.front.service_refused_overloaded.other").(gometrics.Counter)
	assert.EqualValues(t, maxLabels, other.Count())
}
