package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a shorter time-out that is believed at once by a process that has just started: streams
// that began under the longer one are still taken up. A process that knew the longer one waits for it.
func TestShorterLifetimeIsNotBelievedAtAStart(t *testing.T) {
	for name, begin := range map[string]func(tracker *Tracker){
		"the process ran before": func(tracker *Tracker) { tracker.SetLifetime(5*time.Minute, at(0)) },
		"it has just started":    func(*Tracker) {},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := NewTracker(5 * time.Minute)
			begin(tracker)
			tracker.SetLifetime(lifespan, at(0))
			tracker.Observe("s", []string{"v2"}, true, at(0))
			tracker.Recall("s", []string{"v1", "v2"}, at(0))
			for second := range 30 {
				tracker.Observe("s", []string{"v2"}, true, at(float64(second)))
			}
			assert.Equal(t, Finding{Several: true}, tracker.Find("s", 1, at(30)))
		})
	}
}
