package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/steady"
)

// Guards against a router that was suspended and takes what it saw before and after for all that served
// meanwhile: a list is read before versions are observed again.
func TestSuspendedRouterDoesNotKnowWhatServedMeanwhile(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	// The record is not read after the suspension.
	f.store.setAway(true)
	const times = 8
	known := 0
	for n := range times {
		e := f.routers[0]
		e.served.tracker.Recall("s", nil, steady.Now())
		restore := steady.Pretend(time.Duration(n+1) * time.Minute)
		t.Cleanup(restore)
		time.Sleep(2 * servedPeriod)
		if e.served.tracker.Served("s", steady.Now()).IsSingle() {
			known++
		}
	}
	assert.Zero(t, known, "of %d times", times)
}
