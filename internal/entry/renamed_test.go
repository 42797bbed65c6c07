package entry

import (
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/route"
)

// rename gives the service another name, with the same replicas, and waits until all routers know it.
func (f *versionedFleet) rename(name string) {
	f.t.Helper()
	f.source.mu.Lock()
	config := *f.source.snapshot.Config
	config.Version++
	config.Services = []route.Service{{Name: name}}
	config.Routes = slices.Clone(config.Routes)
	for i := range config.Routes {
		config.Routes[i].Shares = []route.Share{{Service: name, Weight: 1}}
	}
	f.source.snapshot.Config = &config
	f.source.snapshot.Replicas = slices.Clone(f.source.snapshot.Replicas)
	for i := range f.source.snapshot.Replicas {
		f.source.snapshot.Replicas[i].Service = name
	}
	ready := len(f.source.snapshot.Replicas)
	f.source.mu.Unlock()
	for _, e := range f.routers {
		until(f.t, func() bool { return e.balancer.ReadyCount(name) == ready && e.front.ResumableServices()[0] == name })
	}
}

// Guards against streams of a single version that are refused because their service has another name.
func TestStreamsOfASingleVersionGoOnAtARenamedService(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.store.put("v1")
	f.start(t, 3)
	streams := f.begin(t, 0)
	f.rename("renamed")
	refused := 0
	for n, s := range streams {
		f.try(t, n%len(f.routers), 1, s)
		if s.status == http.StatusServiceUnavailable {
			refused++
		}
	}
	assert.Zero(t, refused, "of %d", len(streams))
	assertNotJoined(t, streams)
}
