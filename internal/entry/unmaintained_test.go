package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/origin"
)

// Guards against streams that began at replicas without a version and go on at one after all routers ended:
// the record names only that version, which served before, and is not kept while no replica states one.
func TestJoinedByARecordThatLacksReplicasWithoutAVersion(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	f.serveOnly()
	f.serveOnly("")
	time.Sleep(4 * servedPeriod)
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly("v1") })
	f.takeUp(t, 0, streams)
	joined := 0
	for _, s := range streams {
		if len(s.versions) > brokenAfter {
			joined++
		}
	}
	assert.Zero(t, joined, "of %d went on at another version", len(streams))
}

// Guards against the same if all routers end twice: those that start while no replica states a version read
// that the record names one, and keep it.
func TestJoinedByARecordThatRoutersFoundAtTheirStart(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	f.restart(t, func() { f.serveOnly("") })
	f.awaitRecord("", "v1")
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly("v1") })
	f.takeUp(t, 0, streams)
	for _, s := range streams {
		assert.Len(t, s.versions, brokenAfter, "%s: %q", s.id, s.versions)
	}
}

// Guards against calls to the store without end by a fleet whose replicas state no version, and against
// records of them.
func TestServicesWithoutVersionsCostFewCalls(t *testing.T) {
	f := newVersionedReplicas(t, 2, "")
	f.start(t, 3)
	time.Sleep(peerWait + recallWait + 8*time.Second)
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	assert.Positive(t, f.store.reads)
	assert.LessOrEqual(t, f.store.reads, origin.Keepers)
	assert.Zero(t, f.store.writes)
}
