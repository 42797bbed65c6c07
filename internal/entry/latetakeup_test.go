package entry

import (
	"testing"

	"github.com/croftyard/croftyard/internal/steady"
)

// Guards against streams that go on at another version with all routers at work, since their callers take
// them up later than streams are taken to last.
func TestJoinedByALateTakeUp(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.serveOnly("v2")
	for _, e := range f.routers {
		until(t, func() bool { return e.served.tracker.Served("s", steady.Now()).IsSingle() })
	}
	f.takeUp(t, 1, streams)
	assertNotJoined(t, streams)
}
