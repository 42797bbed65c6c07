package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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
