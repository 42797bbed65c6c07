package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against streams of a single version that are refused because the settings let routers read lists
// more rarely than lists of two routers are taken to differ.
func TestStreamsOfASingleVersionGoOnWithLongReadPeriods(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.apply = 20 * time.Second
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.restart(t, func() {})
	refused := 0
	// Some in each second of a read period.
	for _, s := range streams {
		f.try(t, 1, 1, s)
		if s.status == http.StatusServiceUnavailable {
			refused++
		}
		time.Sleep(readPeriod(f.routers[1].settings.Bounds) / time.Duration(len(streams)))
	}
	assert.Zero(t, refused, "of %d", len(streams))
}
