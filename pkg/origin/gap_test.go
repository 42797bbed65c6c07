package origin

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a process that stood still and takes what it saw before and after for all that
// served meanwhile. The first observation afterwards may be by a current list.
func TestVersionsAreNotKnownOverAGapOfObservations(t *testing.T) {
	tracker := NewTracker(lifespan)
	for second := range 31 {
		tracker.Observe("s", []string{"v1"}, true, at(float64(second)))
	}
	assert.Equal(t, Inferred, tracker.Find("s", 1, at(30)).Source)
	tracker.Observe("s", []string{"v1"}, true, at(90))
	assert.Equal(t, Unknown, tracker.Find("s", 1, at(90)).Source)
}

// Guards against a process that stood still and answers another router before it observes anew, and
// against a service that it does not observe any more.
func TestVersionsAreNotKnownWithoutObservations(t *testing.T) {
	tracker := NewTracker(lifespan)
	observe(tracker, []string{"v1"}, true, 0, 31)
	for second := range 31 {
		tracker.Observe(Routes, []string{"h %2Fa%2F s 1"}, true, at(float64(second)))
	}
	query := RouteQuery{Host: "h", Path: "/a/b", Service: "s"}.String()
	assert.Equal(t, Inferred, tracker.Find("s", 1, at(31)).Source)
	assert.Equal(t, Inferred, tracker.Find(query, 1, at(31)).Source)
	assert.Equal(t, Unknown, tracker.Find("s", 1, at(90)).Source)
	assert.Equal(t, Unknown, tracker.Find(query, 1, at(90)).Source)
}
