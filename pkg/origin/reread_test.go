package origin

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a record that never drops a version: the routers that keep it read it again at
// intervals shorter than a stream's lifetime, and what they read is what they wrote.
func TestVersionThatLeftIsRemovedThoughTheRecordIsReread(t *testing.T) {
	const lifetime = 65 * time.Second
	tracker, keeper := NewTracker(lifetime), &Keeper{}
	record := Stored{"s", []string{"v1", "v2"}, 1, 7, 0}
	for second := range 600 {
		now := at(float64(second))
		tracker.Observe("s", []string{"v2"}, true, now)
		step := keeper.Next([]Served{tracker.Served("s", now)}, 1, 0, now)
		if step.Read {
			for _, r := range keeper.Loaded([]Stored{record}, 1, now) {
				tracker.Recall("s", r.Versions, now)
			}
		}
		for _, r := range step.Write {
			r.Revision = record.Revision + 1
			record = r
			keeper.Written([]Stored{r}, r.Revision)
		}
	}
	assert.Equal(t, []string{"v2"}, record.Versions)
	assert.True(t, tracker.Served("s", at(600)).IsSingle())
}
