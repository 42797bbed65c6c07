package entry

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against streams that go on at replicas without a version after all routers ended: the record
// in the store names the version that served before, and no router reads it.
func TestJoinedWithReplicasThatStateNoVersionAfterRoutersEnded(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly("") })
	f.takeUp(t, 0, streams)
	joined := 0
	for _, s := range streams {
		if len(s.versions) > brokenAfter {
			joined++
		}
	}
	assert.Zero(t, joined, "of %d went on at a replica without a version", len(streams))
}

// Guards against the same with one router that has just started: the others know the version, and are
// not asked.
func TestJoinedWithReplicasThatStateNoVersionAtAStartedRouter(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.serveOnly("")
	for _, e := range f.routers {
		until(t, func() bool { return !slices.Contains(e.balancer.Versions("s"), "v1") })
	}
	f.add(t)
	f.awaitReady()
	f.takeUp(t, 3, streams)
	joined := 0
	for _, s := range streams {
		if len(s.versions) > brokenAfter {
			joined++
		}
	}
	assert.Zero(t, joined, "of %d went on at a replica without a version", len(streams))
}
