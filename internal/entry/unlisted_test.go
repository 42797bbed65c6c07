package entry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against refusals that last: the record was read for a caller while no replica was listed.
func TestStreamsOfASingleVersionGoOnOnceItIsListed(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly() })
	time.Sleep(3 * time.Second)
	for n := range f.routers {
		f.takeUp(t, n, streams[:1])
	}
	f.serveOnly("v1")
	listed := time.Now()
	for len(streams[0].versions) == brokenAfter && time.Since(listed) < 20*time.Second {
		f.takeUp(t, 0, streams[:1])
		time.Sleep(20 * time.Millisecond)
	}
	assert.Less(t, time.Since(listed), 2*time.Second)
	t.Logf("went on after %v", time.Since(listed))
}
