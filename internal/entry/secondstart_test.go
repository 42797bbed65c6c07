package entry

import (
	"testing"
)

// Guards against a setting that outlives the first start: what served before could not be recorded,
// and the missing record is taken for "no other version served".
func TestJoinedAtASecondStartThatIsSetAsTheFirst(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.firstStart, f.initial = true, 6
	f.store.setAway(true)
	f.start(t, 3)
	streams := f.begin(t, 0)
	f.restart(t, func() { f.serveOnly("v1"); f.store.setAway(false) })
	f.takeUp(t, 0, streams)
	assertNotJoined(t, streams)
}
