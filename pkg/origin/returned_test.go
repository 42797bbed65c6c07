package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a version that left and returns and is missing from the record: the first router by
// rank removed it, which the second one has not read, and cannot write now.
func TestNextKeeperRecordsAVersionThatReturns(t *testing.T) {
	tracker := NewTracker(lifespan)
	k := keeperAfterRead(1, "v1", "v2")
	tracker.Observe("s", []string{"v1", "v2"}, true, at(0))
	tracker.Recall("s", []string{"v1", "v2"}, at(0))
	calls := 0
	next := func(now time.Time, versions ...string) {
		tracker.Observe("s", versions, true, now)
		step := k.Next([]Served{tracker.Served("s", now)}, 1, 1, now)
		if step.Read || len(step.Write) > 0 {
			calls++
		}
	}
	for second := 1.0; second < 60; second++ {
		next(at(second), "v2")
	}
	assert.Equal(t, []string{"v2"}, tracker.Served("s", at(59)).Versions, "the first router by rank has removed v1 from the record")
	calls = 0
	for second := 60.0; second < 90; second++ {
		next(at(second), "v1", "v2")
	}
	assert.NotZero(t, calls, "30 s after v1 returned")
}

// Guards against versions that are taken for all that served: a longer time-out was set, and a version
// that left was forgotten by the shorter one.
func TestLongerLifetimeIsNotKnownAtOnce(t *testing.T) {
	tracker := NewTracker(time.Second)
	tracker.SetLifetime(10*time.Second, at(0))
	tracker.Recall("s", nil, at(0))
	tracker.Observe("s", []string{"v1", "v2"}, true, at(0))
	for second := 1.0; second <= 12; second++ {
		tracker.Observe("s", []string{"v2"}, true, at(second))
	}
	tracker.SetLifetime(60*time.Second, at(13))
	tracker.Observe("s", []string{"v2"}, true, at(13))
	f := tracker.Find("s", KeyOf("s", "a"), at(13))
	assert.Equal(t, Unknown, f.Source, "v1 served 12 s ago, and a stream may last for 60 s: %+v", f)
}
