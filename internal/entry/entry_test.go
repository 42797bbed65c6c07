package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/overload"
	"github.com/croftyard/croftyard/pkg/route"
)

type source struct {
	mu       sync.Mutex
	snapshot watch.Snapshot
	err      error
}

func (s *source) Replicas(ctx context.Context) (watch.Snapshot, error) {
	snapshot, err := s.Read(ctx)
	snapshot.Config = nil
	return snapshot, err
}

func (s *source) Read(context.Context) (watch.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot, s.err
}

func start(t *testing.T, s *source, grace time.Duration) *Entry {
	t.Helper()
	return startWith(t, s, grace, func(*settings.Settings, *Environment) {})
}

// startWith starts a router whose settings and environment a test changes.
func startWith(t *testing.T, s *source, grace time.Duration, change func(*settings.Settings, *Environment)) *Entry {
	t.Helper()
	set := settings.Default()
	set.Name, set.DataCentre = "r1", "here"
	set.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: ownPeerAddress(), Admin: "127.0.0.1:0", Readiness: "127.0.0.1:0"}
	set.Bounds.Apply = 100 * time.Millisecond
	set.Bounds.Grace = grace
	env := Environment{
		Source: func(settings.Settings, time.Duration) watch.Source { return s },
		Dialect: front.Dialect{AttemptID: "Try", Key: "Authorization", ParseParts: func(string) []balance.Part { return nil },
			ParseLoad: func(string) (int, int, bool) { return 0, 0, false }},
		ReadyPath:  "/ready",
		LogDropped: func() uint64 { return 0 },
	}
	change(&set, &env)
	e, err := Start(set, env, event.Discard())
	require.NoError(t, err)
	t.Cleanup(func() {
		e.Stop()
		e.Kill()
		_ = e.Wait()
	})
	return e
}

func status(t *testing.T, url string) int {
	t.Helper()
	response, err := http.Get(url)
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// until waits for a condition.
func until(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "condition not met in %v", waitLimit)
	}
}

func served(address string) watch.Snapshot {
	return watch.Snapshot{
		Config: &route.Config{Version: 1, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{
			{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Timeout: time.Minute, Shares: []route.Share{{Service: "s", Weight: 1}}}}},
		Replicas: []directory.Replica{{ID: "a", Service: "s", Address: address}},
	}
}

func TestReadyOnlyWithProvenKnowledge(t *testing.T) {
	s := &source{err: watch.ErrNoConfig}
	e := start(t, s, time.Second)
	callers, readiness := e.Addresses()
	assert.Equal(t, http.StatusServiceUnavailable, status(t, "http://"+readiness+"/ready"))
	assert.Equal(t, http.StatusServiceUnavailable, status(t, "http://"+callers+"/x"), "no 404 without a configuration")
	s.mu.Lock()
	s.snapshot, s.err = served("127.0.0.1:1"), nil
	s.mu.Unlock()
	until(t, e.Ready)
	assert.Equal(t, http.StatusOK, status(t, "http://"+readiness+"/ready"))
}

// Guards against a changed memory limit that holds only after a restart.
func TestReloadChangesHeldBytes(t *testing.T) {
	e := start(t, &source{snapshot: served("127.0.0.1:1")}, time.Second)
	assert.Zero(t, e.front.Held().Limit(), "none by default")
	changed := e.settings
	changed.Limits.HeldBytes = 1 << 20
	e.Reload(changed)
	assert.EqualValues(t, 1<<20, e.front.Held().Limit())
}

func TestPlannedStopFinishesRequestsInFlight(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Try", r.Header.Get("Try"))
		close(begun)
		<-finish
	}))
	defer replica.Close()
	e := start(t, &source{snapshot: served(strings.TrimPrefix(replica.URL, "http://"))}, 30*time.Second)
	until(t, e.Ready)
	callers, readiness := e.Addresses()
	answer := make(chan int)
	go func() {
		request, _ := http.NewRequest("POST", "http://"+callers+"/x", nil)
		request.Host = "h"
		request.Header.Set("Try", "1")
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			answer <- 0
			return
		}
		response.Body.Close()
		answer <- response.StatusCode
	}()
	<-begun
	e.Stop()
	until(t, func() bool { return !e.Ready() })
	assert.Equal(t, http.StatusServiceUnavailable, status(t, "http://"+readiness+"/ready"), "at once, and still answered")
	close(finish)
	assert.Equal(t, http.StatusOK, <-answer)
}

func TestStopCutsRequestsAtLimit(t *testing.T) {
	begun := make(chan struct{})
	replica := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	}))
	defer replica.Close()
	e := start(t, &source{snapshot: served(strings.TrimPrefix(replica.URL, "http://"))}, 50*time.Millisecond)
	until(t, e.Ready)
	callers, _ := e.Addresses()
	go func() {
		request, _ := http.NewRequest("GET", "http://"+callers+"/x", nil)
		request.Host = "h"
		response, err := http.DefaultTransport.RoundTrip(request)
		if err == nil {
			response.Body.Close()
		}
	}()
	<-begun
	e.Stop()
	assert.ErrorIs(t, e.Wait(), ErrCut)
}

var metricRow = regexp.MustCompile(`(?m)^\| (croftyard_[a-zA-Z_]+) \|`)

// The metrics page and the metrics endpoint name the same metrics.
func TestMetricsMatchPage(t *testing.T) {
	text, err := os.ReadFile("../../docs/METRICS.md")
	require.NoError(t, err)
	listed := make(map[string]bool)
	for _, row := range metricRow.FindAllStringSubmatch(string(text), -1) {
		listed[row[1]] = true
	}
	e := start(t, &source{snapshot: served("127.0.0.1:1")}, time.Second)
	until(t, e.Ready)
	e.metrics.RecordRequest("r", "served", time.Millisecond, time.Millisecond, true)
	e.metrics.RecordOverload("s", overload.OverShare)
	e.metrics.RecordRetry("s")
	response, err := http.Get("http://" + e.listeners[2].Addr().String() + "/metrics")
	require.NoError(t, err)
	defer response.Body.Close()
	told, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	seen := make(map[string]bool)
	for line := range strings.Lines(string(told)) {
		name, _, _ := strings.Cut(strings.Fields(line)[0], "{")
		name = strings.TrimSuffix(name, "_count")
		name = strings.Replace(name, "requests_served", "requests_OUTCOME", 1)
		if strings.HasPrefix(name, "croftyard_front_route_") {
			name = strings.TrimSuffix(name, "_r") + "_ROUTE"
		}
		if strings.HasPrefix(name, "croftyard_front_service_") {
			name = strings.TrimSuffix(name, "_s") + "_SERVICE"
		}
		seen[name] = true
	}
	assert.Equal(t, listed, seen)
}

func TestStateDump(t *testing.T) {
	e := start(t, &source{snapshot: served("127.0.0.1:1")}, time.Second)
	until(t, e.Ready)
	state := e.State()
	assert.EqualValues(t, 1, state.Version)
	assert.True(t, state.Ready)
	assert.Equal(t, "a", state.Replicas[0].ID)
	assert.Empty(t, state.Replicas[0].Excluded)
	now := steady.Now()
	e.watcher.Statements().MarkResting("a", now, now.Add(time.Hour), now)
	state = e.State()
	assert.Equal(t, string(directory.RestRequested), state.Replicas[0].Excluded)
	assert.Positive(t, state.Replicas[0].ExcludedMS)
}

func TestFirstStartOnlySeedsReadAtOnce(t *testing.T) {
	set := settings.Default()
	set.Listen.Peers, set.Peers.Seeds = "10.0.0.1:1", []string{"10.0.0.1:1", "10.0.0.2:1"}
	assert.Zero(t, firstReadDelay(set), "a router that starts again reads at once")
	set.Routes.FirstStart = true
	assert.Zero(t, firstReadDelay(set), "a seed")
	set.Listen.Peers = "10.0.0.3:1"
	assert.Equal(t, firstReadWait, firstReadDelay(set))
}

func TestShortEvacuateBoundShortensReadPeriod(t *testing.T) {
	b := settings.Default().Bounds
	period, proof := readPeriod(b), frontLimits(b).MaxListAge
	b.Evacuate = min(b.Apply, b.Drain) / 2
	assert.Equal(t, period/2, readPeriod(b))
	assert.Equal(t, proof/2, frontLimits(b).MaxListAge)
	b.Evacuate = time.Hour
	assert.Equal(t, period, readPeriod(b))
	assert.Equal(t, proof, frontLimits(b).MaxListAge)
}

// Reloaded settings bound a later stop, because the platform kills by them.
func TestStopUsesReloadedSettings(t *testing.T) {
	e := start(t, &source{snapshot: served("127.0.0.1:1")}, time.Hour)
	until(t, e.Ready)
	changed := e.settings
	changed.Bounds.Grace = 100 * time.Millisecond
	changed.Bounds.RevokeAlways, changed.Bounds.Revoke = true, time.Nanosecond
	e.Reload(changed)
	assert.False(t, e.Ready(), "no proof is as new as keys ask for now")
	e.Stop()
	select {
	case <-e.done:
		assert.NoError(t, e.Wait())
	case <-time.After(30 * time.Second):
		assert.Fail(t, "it goes by the grace time of its start")
	}
}

// Guards against a stop that goes on past a grace time that a reload made shorter, until the
// platform kills the process, and against one that a reload makes longer than the platform waits.
func TestReloadOnlyShortensStop(t *testing.T) {
	for name, test := range map[string]struct{ atStop, reloaded time.Duration }{
		"shorter": {time.Hour, 50 * time.Millisecond},
		"longer":  {500 * time.Millisecond, time.Hour},
	} {
		t.Run(name, func(t *testing.T) {
			begun := make(chan struct{})
			replica := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				close(begun)
				<-r.Context().Done()
			}))
			defer replica.Close()
			e := start(t, &source{snapshot: served(strings.TrimPrefix(replica.URL, "http://"))}, test.atStop)
			until(t, e.Ready)
			callers, _ := e.Addresses()
			go func() {
				request, _ := http.NewRequest("GET", "http://"+callers+"/x", nil)
				request.Host = "h"
				if response, err := http.DefaultTransport.RoundTrip(request); err == nil {
					response.Body.Close()
				}
			}()
			<-begun
			e.Stop()
			until(t, e.stopping.Load)
			changed := e.settings
			changed.Bounds.Grace = test.reloaded
			e.Reload(changed)
			select {
			case <-e.done:
				assert.ErrorIs(t, e.Wait(), ErrCut)
			case <-time.After(30 * time.Second):
				assert.Fail(t, "it goes by the longer grace time")
			}
		})
	}
}
