package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a confirmation that outlives the record at a router that was cut off or stood still: a
// version that left and returned meanwhile may be missing from the record.
func TestConfirmationsEndWhereObservationsDo(t *testing.T) {
	for name, observe := range map[string]func(tracker *Tracker){
		"old lists": func(tracker *Tracker) {
			for second := 1; second < 90; second++ {
				tracker.Observe("s", []string{"v1", "v2"}, false, at(float64(second)))
			}
		},
		"none": func(*Tracker) {},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := trackerOf("v1", "v2")
			tracker.SetConfirmed("s", []string{"v1", "v2"}, 3)
			observe(tracker)
			tracker.Observe("s", []string{"v1", "v2"}, true, at(90))
			assert.Empty(t, tracker.Confirmed("s"))
		})
	}
}
