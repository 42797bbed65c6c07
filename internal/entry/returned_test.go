package entry

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/steady"
)

// awaitReads waits until the store's records were read some times.
func (f *versionedFleet) awaitReads(reads int) {
	f.t.Helper()
	until(f.t, func() bool {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return f.store.reads >= reads
	})
}

// Guards against a version that the record names and that gets no streams for long after it was not
// listed for a moment, as in a roll-back.
func TestVersionThatReturnsGetsStreamsSoon(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.firstStart = true
	f.start(t, 3)
	f.awaitConfirmed("v1", "v2")
	require.True(t, f.store.has("v1", "v2"))
	f.awaitReads(3)
	serving := func(versions ...string) {
		f.serveOnly(versions...)
		for _, e := range f.routers {
			until(t, func() bool { return slices.Equal(e.served.tracker.Served("s", steady.Now()).Serving, versions) })
		}
	}
	serving("v2")
	serving("v1", "v2")
	time.Sleep(5 * time.Second)
	assert.True(t, f.store.has("v1", "v2"))
	for n, e := range f.routers {
		assert.Empty(t, e.served.tracker.Unconfirmed("s"), "router %d, 5 s after the return", n)
	}
	assert.Equal(t, []string{"v1", "v2"}, f.begun(t, 0, 1))
}

// Guards against streams that begin at a version that no record names: the only recorded one was not
// listed for a moment, and is not known to be recorded since.
func TestJoinedAfterTheRecordedVersionReturned(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitConfirmed("v1")
	f.awaitReads(3)
	f.serveOnly()
	time.Sleep(time.Second)
	f.serveOnly("v1")
	time.Sleep(5 * time.Second)
	for n, e := range f.routers {
		t.Logf("router %d, 5 s after the return: recorded and confirmed %q, unconfirmed %q", n, e.served.tracker.Confirmed("s"), e.served.tracker.Unconfirmed("s"))
	}
	f.store.setAway(true)
	f.serveOnly("v1", "v2")
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly("v1") })
	f.store.setAway(false)
	f.takeUp(t, 0, streams)
	assertNotJoined(t, streams)
}
