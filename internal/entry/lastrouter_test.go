package entry

import (
	"fmt"
	"testing"

	"github.com/croftyard/croftyard/internal/steady"
)

// Guards against streams of a service with a single version that do not go on at the only router that
// is left: it has no record of them, and no other answers.
func TestStreamsOfASingleVersionGoOnAtTheLastRouter(t *testing.T) {
	for _, routers := range []int{2, 3, 6} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newVersionedReplicas(t, 2, "v1")
			f.firstStart = true
			f.start(t, routers)
			f.awaitRecord("v1")
			for _, e := range f.routers {
				until(t, func() bool { return e.served.tracker.Served("s", steady.Now()).IsSingle() })
			}
			streams := f.begin(t, 0)
			last := routers - 1
			for n := range last {
				f.end(n)
			}
			f.takeUp(t, last, streams)
			assertOneVersion(t, streams)
		})
	}
}
