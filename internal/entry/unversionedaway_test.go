package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that go on at replicas without a version after all routers ended, while the
// record that names the version that served before cannot be read.
func TestJoinedWithReplicasThatStateNoVersionWhileTheRecordIsAway(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.restart(t, func() {
		f.serveOnly("")
		f.store.setAway(true)
	})
	f.takeUp(t, 0, streams)
	joined := 0
	for _, s := range streams {
		if len(s.versions) > brokenAfter {
			joined++
		}
	}
	assert.Zero(t, joined, "of %d went on at a replica without a version", len(streams))
}
