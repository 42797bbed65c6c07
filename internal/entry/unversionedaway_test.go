package entry

import (
	"net/http"
	"testing"
	"time"

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

// Guards against streams of a service without versions that do not go on after all routers ended, once the
// store answers.
func TestStreamsWithoutVersionsGoOnAfterRoutersEnded(t *testing.T) {
	for name, away := range map[string]bool{"the store answers": false, "it is back": true} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedReplicas(t, 2, "")
			f.start(t, 3)
			streams := f.begin(t, 0)
			f.restart(t, func() { f.store.setAway(away) })
			if away {
				f.takeUp(t, 1, streams)
				for _, s := range streams {
					assert.Len(t, s.versions, brokenAfter, s.id)
					assert.Equal(t, http.StatusServiceUnavailable, s.status, s.id)
				}
				f.store.setAway(false)
				time.Sleep(recallFailedPause)
			}
			f.takeUp(t, 1, streams)
			assertOneVersion(t, streams)
			assert.Empty(t, f.store.copied(), "nothing is recorded of a service without versions")
		})
	}
}
