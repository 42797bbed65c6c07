package entry

import (
	"bufio"
	"cmp"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/origin"
	"github.com/croftyard/croftyard/pkg/route"
)

const (
	// versionedEvents is how many events a stream of a versioned fleet has, brokenAfter after
	// how many its first run breaks off.
	versionedEvents = 4
	brokenAfter     = 2
	// streamsPerCase is how many streams one case begins.
	streamsPerCase = 24
)

// versionedFleet are routers before replicas of several software versions. Each event of a
// stream names the version of its replica, and a stream that begins breaks off within an event.
type versionedFleet struct {
	t       *testing.T
	routers []*Entry
	source  *source
	store   *memoryStore
	// all are the replicas, listed or not.
	all    []directory.Replica
	client *http.Client
	sent   int
	// started is how many routers were started.
	started int
	// firstStart: the first routers, as many as initial, start as a fleet that never ran before.
	firstStart bool
	initial    int
	// withoutRecord: routers do not keep the record of versions, as those of earlier builds.
	withoutRecord bool
	// apply is the time in which a configuration is to be in force, 0 for the default.
	apply time.Duration
}

// newVersionedFleet starts routers before some replicas of each version.
func newVersionedFleet(t *testing.T, routers, replicas int, versions ...string) *versionedFleet {
	t.Helper()
	f := newVersionedReplicas(t, replicas, versions...)
	f.start(t, routers)
	return f
}

// newVersionedReplicas starts some replicas of each version.
func newVersionedReplicas(t *testing.T, replicas int, versions ...string) *versionedFleet {
	t.Helper()
	f := &versionedFleet{t: t, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, source: &source{}, store: newMemoryStore()}
	f.source.snapshot.Config = &route.Config{Version: 1, Services: []route.Service{{Name: "s"}}}
	for _, attempts := range []int{1, 3} {
		f.source.snapshot.Config.Routes = append(f.source.snapshot.Config.Routes, route.Route{Name: fmt.Sprint("stream", attempts), Host: "h", Prefix: fmt.Sprintf("/%d/", attempts),
			Kind: route.Stream, Resumable: true, Attempts: attempts, Timeout: 2 * time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}})
	}
	for _, version := range versions {
		for n := range replicas {
			server := httptest.NewServer(serveVersion(version))
			t.Cleanup(server.Close)
			f.source.snapshot.Replicas = append(f.source.snapshot.Replicas,
				directory.Replica{ID: fmt.Sprint(version, "-", n), Service: "s", Address: server.Listener.Addr().String(), Version: version, Slots: 16})
		}
	}
	f.all = slices.Clone(f.source.snapshot.Replicas)
	return f
}

// start starts routers.
func (f *versionedFleet) start(t *testing.T, routers int) {
	t.Helper()
	f.initial = cmp.Or(f.initial, routers)
	for range routers {
		f.add(t)
	}
	f.awaitReady()
}

// add starts a router that knows the first one, if there is any.
func (f *versionedFleet) add(t *testing.T) {
	t.Helper()
	var seeds []string
	if len(f.routers) > 0 {
		seeds = []string{f.routers[0].gossip.Address()}
	}
	f.started++
	f.routers = append(f.routers, startWith(t, f.source, time.Second, func(s *settings.Settings, env *Environment) {
		s.Name, s.Peers.Seeds, s.Peers.Period = fmt.Sprint("r", f.started), seeds, 10*time.Millisecond
		s.Bounds.RepeatAllowance, s.Bounds.RepeatWindow = 1000, 10*time.Millisecond
		s.Routes.FirstStart = f.firstStart && f.started <= f.initial
		if f.apply > 0 {
			s.Bounds.Apply, s.Bounds.Drain, s.Bounds.Evacuate = f.apply, f.apply, f.apply
		}
		env.Dialect.Resumes = "Resumes"
		if !f.withoutRecord {
			env.ServedStore = func(settings.Settings, time.Duration) origin.Store { return f.store }
		}
	}))
}

// awaitReady waits until all routers serve and know each other.
func (f *versionedFleet) awaitReady() {
	f.t.Helper()
	for _, e := range f.routers {
		until(f.t, func() bool {
			return e.Ready() && e.gossip.MemberCount() >= len(f.routers) && e.retries.HasPart(steady.Now())
		})
	}
}

func serveVersion(version string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		w.Header().Set("Try", r.Header.Get("Try"))
		w.Header().Set("Content-Type", "text/event-stream")
		last := versionedEvents
		if after == 0 {
			last = brokenAfter
		}
		for n := after + 1; n <= last; n++ {
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, version)
		}
		if after == 0 {
			fmt.Fprint(w, "id: 3\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// stream is what a caller has of a stream, over all of its tries.
type stream struct {
	id       string
	versions []string
	status   int
}

func (s *stream) mixed() bool {
	for _, version := range s.versions {
		if version != s.versions[0] {
			return true
		}
	}
	return false
}

// try begins a stream at a router, or takes it up.
func (f *versionedFleet) try(t *testing.T, router, attempts int, s *stream) {
	t.Helper()
	callers, _ := f.routers[router].Addresses()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%d/", callers, attempts), strings.NewReader("body"))
	require.NoError(t, err)
	request.Host = "h"
	f.sent++
	id := fmt.Sprint("t", f.sent)
	request.Header.Set("Try", id)
	if len(s.versions) > 0 {
		request.Header.Set("Resumes", s.id)
		request.Header.Set("Last-Event-Id", strconv.Itoa(len(s.versions)))
	} else {
		s.id = id
	}
	response, err := f.client.Do(request)
	if err != nil {
		return
	}
	defer response.Body.Close()
	s.status = response.StatusCode
	if s.status != http.StatusOK {
		return
	}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			s.versions = append(s.versions, version)
		}
	}
}

// begin begins streams at a router, which break off.
func (f *versionedFleet) begin(t *testing.T, router int) []*stream {
	t.Helper()
	streams := make([]*stream, streamsPerCase)
	for i := range streams {
		streams[i] = &stream{}
		f.try(t, router, 1, streams[i])
		require.Len(t, streams[i].versions, brokenAfter)
	}
	return streams
}

// takeUp takes streams up at a router.
func (f *versionedFleet) takeUp(t *testing.T, router int, streams []*stream) {
	t.Helper()
	for _, s := range streams {
		f.try(t, router, 1, s)
	}
}

// assertOneVersion checks that no stream holds events of two versions, and that all of them
// went on.
func assertOneVersion(t *testing.T, streams []*stream) {
	t.Helper()
	for _, s := range streams {
		assert.False(t, s.mixed(), "%s: %v", s.id, s.versions)
		assert.Len(t, s.versions, versionedEvents, "%s: status %d", s.id, s.status)
	}
}

// Guards against streams that go on at another software version within one answer.
func TestStreamGoesOnAtItsVersionWithinAnswer(t *testing.T) {
	f := newVersionedFleet(t, 1, 3, "v1", "v2")
	var streams []*stream
	for range streamsPerCase {
		s := &stream{}
		f.try(t, 0, 3, s)
		streams = append(streams, s)
	}
	assertOneVersion(t, streams)
}

// Guards against streams that their callers take up, at any router, and that go on at another
// software version than the one that began them.
func TestStreamIsTakenUpAtItsVersion(t *testing.T) {
	for name, test := range map[string]struct {
		versions []string
		router   int
		before   func(f *versionedFleet)
	}{
		"at the same router":        {versions: []string{"v1", "v2"}, router: 0},
		"at another router":         {versions: []string{"v1", "v2"}, router: 1},
		"of three versions":         {versions: []string{"v1", "v2", "v3"}, router: 2},
		"the first router ended":    {versions: []string{"v1", "v2"}, router: 1, before: func(f *versionedFleet) { f.end(0) }},
		"one version, router ended": {versions: []string{"v1"}, router: 1, before: func(f *versionedFleet) { f.end(0) }},
		"versions not known":        {versions: []string{""}, router: 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionedFleet(t, 4, 3, test.versions...)
			streams := f.begin(t, 0)
			if test.before != nil {
				test.before(f)
			}
			f.takeUp(t, test.router, streams)
			assertOneVersion(t, streams)
		})
	}
}

// end ends a router at once.
func (f *versionedFleet) end(router int) {
	e := f.routers[router]
	e.Stop()
	e.Kill()
	_ = e.Wait()
}

// Guards against streams that go on at another version because no replica of theirs is left.
func TestStreamWhoseVersionIsGoneIsRefused(t *testing.T) {
	f := newVersionedFleet(t, 2, 2, "v1", "v2")
	streams := f.begin(t, 0)
	f.source.mu.Lock()
	f.source.snapshot = watch.Snapshot{Config: f.source.snapshot.Config, Replicas: f.source.snapshot.Replicas[2:]}
	f.source.mu.Unlock()
	for _, e := range f.routers {
		until(t, func() bool { return e.balancer.ReadyCount("s") == 2 })
	}
	f.takeUp(t, 1, streams)
	for _, s := range streams {
		assert.False(t, s.mixed(), "%s: %v", s.id, s.versions)
		if s.versions[0] == "v1" {
			assert.Equal(t, http.StatusServiceUnavailable, s.status)
		} else {
			assert.Len(t, s.versions, versionedEvents)
		}
	}
}

// Guards against streams that go on at any version because no router has a record of theirs.
func TestStreamOfUnknownVersionIsRefusedAmongSeveral(t *testing.T) {
	f := newVersionedFleet(t, 2, 2, "v1", "v2")
	begun := f.begin(t, 0)
	for _, id := range []string{"", "unknown", strings.Repeat("x", 4096)} {
		s := &stream{id: id, versions: []string{"v1", "v1"}}
		f.try(t, 0, 1, s)
		assert.Equal(t, http.StatusServiceUnavailable, s.status, "%.10s", id)
	}
	f.takeUp(t, 1, begun)
	assertOneVersion(t, begun)
}
