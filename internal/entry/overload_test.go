package entry

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/settings"
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

// Guards against a state dump that omits a plain service, lists one while admission control
// is off, or can't be encoded.
func TestStateListsPlainServices(t *testing.T) {
	read := served("127.0.0.1:1")
	read.Config.Services = append(read.Config.Services, route.Service{Name: "engines", Engine: &route.Engine{}})
	e := start(t, &source{snapshot: read}, time.Second)
	until(e.Ready)
	assert.Empty(t, e.State().Services, "off by default")
	e.settings.Overload.Admission = settings.AdmissionOn
	e.buildOverload()
	state := e.State()
	require.Len(t, state.Services, 1)
	assert.Equal(t, "s", state.Services[0].Service)
	assert.Len(t, e.usableReplicas("s", e.started), 1)
	assert.Empty(t, e.usableReplicas("engines", e.started))
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
