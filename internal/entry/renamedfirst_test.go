package entry

import "testing"

// Guards against streams that go on at another version at a service that has another name, since
// first_start passes for knowledge that no version served at the new name.
func TestJoinedAtARenamedServiceByAFirstStart(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1", "v2")
	f.serveOnly("v1")
	f.firstStart = true
	f.start(t, 3)
	f.awaitRecord("v1")
	streams := f.begin(t, 0)
	f.serveOnly("v2")
	f.rename("renamed")
	f.takeUp(t, 1, streams)
	assertNotJoined(t, streams)
}
