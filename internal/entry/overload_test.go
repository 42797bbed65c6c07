package entry

import (
	"encoding/json"
	"math"
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
	"github.com/croftyard/croftyard/pkg/overload"
	"github.com/croftyard/croftyard/pkg/route"
)

// Guards against admission control outside of the deployments that ask for it, and against
// one that turns off again while the replicas that report a pace are absent.
func TestAdmissionSwitch(t *testing.T) {
	const word = "limits"
	for _, test := range []struct {
		admission    settings.Admission
		contracts    []string
		pace         int
		before, then bool
	}{
		{settings.AdmissionOff, []string{word}, 60, false, false},
		{settings.AdmissionOn, nil, 0, true, true},
		{settings.AdmissionAuto, []string{"other", word}, 0, true, true},
		{settings.AdmissionAuto, []string{"other"}, 0, false, false},
		{settings.AdmissionAuto, nil, 60, false, true},
	} {
		e := &Entry{env: Environment{LimitsAdmission: func(list []string) bool { return slices.Contains(list, word) }}}
		e.settings.Overload.Admission, e.settings.Platform.Contracts = test.admission, test.contracts
		e.buildOverload()
		assert.Equal(t, test.before, e.admission.Enabled(), test)
		for _, pace := range []int{test.pace, 0} {
			e.admission.ObservePace(pace)
			assert.Equal(t, test.then, e.admission.Enabled(), test)
		}
		assert.Equal(t, test.admission == settings.AdmissionOff, e.overloadReports() == nil, "a nil controller must not reach gossip")
	}
}

// Guards against a pace that the front sees and the switch does not, and against reports in a
// deployment that does not ask for admission control.
func TestPaceInLoadHeaderTurnsAdmissionOn(t *testing.T) {
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Try", r.Header.Get("Try"))
		w.Header().Set("Load", r.URL.Path[1:])
	}))
	defer replica.Close()
	e := startWith(t, &source{snapshot: served(strings.TrimPrefix(replica.URL, "http://"))}, time.Second, func(s *settings.Settings, env *Environment) {
		s.Overload.Admission = settings.AdmissionAuto
		env.Dialect.Load = "Load"
		env.Dialect.ParseLoad = func(value string) (requests, pace int, ok bool) {
			pace, err := strconv.Atoi(value)
			return 0, pace, err == nil
		}
	})
	until(t, e.Ready)
	callers, _ := e.Addresses()
	for _, step := range []struct {
		load string
		on   bool
	}{{"none", false}, {"0", false}, {"60", true}, {"0", true}} {
		request, err := http.NewRequest("GET", "http://"+callers+"/"+step.load, nil)
		require.NoError(t, err)
		request.Host = "h"
		request.Header.Set("Try", "1")
		response, err := http.DefaultTransport.RoundTrip(request)
		require.NoError(t, err)
		response.Body.Close()
		assert.Equal(t, step.on, e.admission.Enabled(), step.load)
		assert.Equal(t, step.on, e.overload.reports(steady.Now()))
	}
	e.admission.on.Store(false)
	e.overload.MergeReport("another router", overload.Report{}, e.started)
	assert.True(t, e.overload.reports(e.started), "passes on what others report")
	assert.False(t, e.overload.reports(e.started.Add(reportedFor)), "stops once no other router reports")
	assert.False(t, e.admission.Enabled(), "refuses nothing for that")
}

// Guards against a state dump that omits a plain service, lists one while admission control
// is off, or can't be encoded.
func TestStateListsPlainServices(t *testing.T) {
	read := served("127.0.0.1:1")
	read.Config.Services = append(read.Config.Services, route.Service{Name: "engines", Engine: &route.Engine{}})
	e := startWith(t, &source{snapshot: read}, time.Second, func(s *settings.Settings, _ *Environment) { s.Overload.Admission = settings.AdmissionAuto })
	until(t, e.Ready)
	assert.Empty(t, e.State().Services, "not on yet")
	e.admission.ObservePace(60)
	state := e.State()
	require.Len(t, state.Services, 1)
	assert.Equal(t, "s", state.Services[0].Service)
	assert.Empty(t, e.excludedReplicas("s", steady.Now()))
	e.watcher.Statements().MarkDraining("a", steady.Now(), steady.Now())
	assert.Equal(t, []string{"a"}, e.excludedReplicas("s", steady.Now()))
	assert.Empty(t, e.excludedReplicas("engines", steady.Now()))
	_, err := json.Marshal(ServiceState{Capacity: finite(math.Inf(1)), Limit: finite(math.NaN())})
	assert.NoError(t, err)
}

// Guards against a state dump that judges waiting by a target which no route has.
func TestShortestTarget(t *testing.T) {
	to := func(target time.Duration, service string) route.Route {
		return route.Route{Target: target, Shares: []route.Share{{Service: service, Weight: 1}}}
	}
	routes := []route.Route{to(0, "a"), to(3, "a"), to(2, "a"), to(1, "b"), to(0, "c")}
	for service, want := range map[string]time.Duration{"a": 2, "b": 1, "c": 0, "d": 0} {
		assert.Equal(t, want, shortestTarget(routes, service), service)
	}
}
