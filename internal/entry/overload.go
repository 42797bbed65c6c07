package entry

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/front"
	"github.com/croftyard/croftyard/internal/gossip"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/overload"
	"github.com/croftyard/croftyard/pkg/route"
)

// admissionSwitch tells whether admission control is on. Once on it stays on until the
// router ends: replicas that report a pace may be absent for a while. It is safe for
// concurrent use, and off if nil.
type admissionSwitch struct {
	on atomic.Bool
	// auto is set if a reported pace turns it on.
	auto bool
}

// newAdmissionSwitch returns the switch as the settings say.
func (e *Entry) newAdmissionSwitch(s settings.Settings) *admissionSwitch {
	if s.Overload.Admission == settings.AdmissionOff {
		return nil
	}
	a := &admissionSwitch{auto: s.Overload.Admission == settings.AdmissionAuto}
	a.on.Store(!a.auto || e.contractsLimitAdmission(s))
	return a
}

// contractsLimitAdmission reports whether the platform's contracts call for admission
// control.
func (e *Entry) contractsLimitAdmission(s settings.Settings) bool {
	return e.env.LimitsAdmission != nil && e.env.LimitsAdmission(s.Platform.Contracts)
}

// Enabled reports whether requests may be refused for lack of capacity.
func (a *admissionSwitch) Enabled() bool { return a != nil && a.on.Load() }

// ObservePace records the pace in a replica's load header, 0 if it had none. A replica that
// reports one shares its machine.
func (a *admissionSwitch) ObservePace(pace int) {
	if a == nil || !a.auto || pace <= 0 || a.on.Load() {
		return
	}
	a.on.Store(true)
}

// gatedController is the controller as gossip, the balancer and the front get it: without
// effect until admission control is on, so that nothing changes in a deployment that does not
// ask for it.
//
// It also records and reports for a while after another router reported. One that was just restarted
// and has not yet seen a pace thus passes on what its line reports.
type gatedController struct {
	*overload.Controller
	admission *admissionSwitch
	// reportedAt is when another router reported last; nil before.
	reportedAt atomic.Pointer[time.Time]
}

// reportedFor is how long after another router's report this one still records and reports:
// several rounds of a large fleet.
const reportedFor = 10 * time.Second

// buildOverload creates the controller unless admission control is off.
func (e *Entry) buildOverload() {
	e.admission = e.newAdmissionSwitch(e.settings)
	if e.admission != nil {
		e.overload = &gatedController{Controller: overload.New(uint64(steady.Now().UnixNano())), admission: e.admission}
	}
}

// overloadReports returns what gossip is given: nil, not an interface that holds nil, if
// admission control is off.
func (e *Entry) overloadReports() gossip.OverloadReports {
	if e.overload == nil {
		return nil
	}
	return e.overload
}

// connectOverload gives the controller to the balancer and, by the options, to the front.
func (e *Entry) connectOverload(o *front.Options) {
	if e.overload == nil {
		return
	}
	e.balancer.SetEstimator(e.overload)
	o.Overload, o.AdmissionEnabled, o.ObservePace = e.overload, e.admission.Enabled, e.admission.ObservePace
}

func (g *gatedController) reports(now time.Time) bool {
	if g.admission.Enabled() {
		return true
	}
	at := g.reportedAt.Load()
	return at != nil && now.Sub(*at) < reportedFor
}

// Arrived implements front.Overload.
func (g *gatedController) Arrived(service string, share overload.Share, now time.Time) {
	if g.reports(now) {
		g.Controller.Arrived(service, share, now)
	}
}

// Answered implements front.Overload.
func (g *gatedController) Answered(replica uint32, took time.Duration, now time.Time) {
	if g.reports(now) {
		g.Controller.Answered(replica, took, now)
	}
}

// Rejected implements front.Overload.
func (g *gatedController) Rejected(replica uint32, now time.Time) {
	if g.reports(now) {
		g.Controller.Rejected(replica, now)
	}
}

// Report implements gossip.OverloadReports.
func (g *gatedController) Report(now time.Time) overload.Report {
	if !g.reports(now) {
		return overload.Report{}
	}
	return g.Controller.Report(now)
}

// GroupReport implements gossip.OverloadReports.
func (g *gatedController) GroupReport(sources []string, now time.Time) overload.Report {
	if !g.reports(now) {
		return overload.Report{}
	}
	return g.Controller.GroupReport(sources, now)
}

// MergeReport implements gossip.OverloadReports.
func (g *gatedController) MergeReport(source string, r overload.Report, now time.Time) {
	g.reportedAt.Store(&now)
	g.Controller.MergeReport(source, r, now)
}

// Estimate returns what is known of a replica for placement, false while admission control
// is not on.
func (g *gatedController) Estimate(replica overload.Replica, usable []overload.Replica, now time.Time) (overload.Estimate, bool) {
	if !g.admission.Enabled() {
		return overload.Estimate{}, false
	}
	return g.Controller.Estimate(replica, usable, now)
}

// ServiceState is what the router believes of a service without engines. Rates are in
// requests per second.
type ServiceState struct {
	Service  string  `json:"service"`
	WaitMS   int64   `json:"wait_ms"`
	TookMS   int64   `json:"took_ms"`
	Capacity float64 `json:"capacity"`
	Limit    float64 `json:"limit"`
	Demand   float64 `json:"demand"`
	Limiting bool    `json:"limiting"`
}

// serviceStates returns the state of each service without engines while admission control
// is on.
func (e *Entry) serviceStates(now time.Time) []ServiceState {
	table := e.holder.Current().Table
	if !e.admission.Enabled() || table == nil {
		return nil
	}
	var list []ServiceState
	config := table.Config()
	for i := range config.Services {
		service := &config.Services[i]
		if service.Engine != nil {
			continue
		}
		s := e.overload.Status(service.Name, shortestTarget(config.Routes, service.Name), e.balancer.UsableReplicas(service.Name, e.excludedReplicas(service.Name, now), now), now)
		list = append(list, ServiceState{
			Service:  service.Name,
			WaitMS:   s.Wait.Milliseconds(),
			TookMS:   s.Took.Milliseconds(),
			Capacity: finite(s.Capacity),
			Limit:    finite(s.Limit),
			Demand:   finite(s.Demand),
			Limiting: s.Limiting,
		})
	}
	return list
}

// shortestTarget returns the shortest target of the routes to a service, 0 if none has one.
func shortestTarget(routes []route.Route, service string) time.Duration {
	var shortest time.Duration
	for i := range routes {
		r := &routes[i]
		leads := slices.ContainsFunc(r.Shares, func(s route.Share) bool { return s.Service == service })
		if leads && r.Target > 0 && (shortest == 0 || r.Target < shortest) {
			shortest = r.Target
		}
	}
	return shortest
}

// excludedReplicas returns the ids of the replicas of a service that get no new requests.
func (e *Entry) excludedReplicas(service string, now time.Time) []string {
	var excluded []string
	for _, r := range e.watcher.Replicas() {
		if r.Service != service {
			continue
		}
		if _, found := e.front.Exclusion(r.ID, now); found {
			excluded = append(excluded, r.ID)
		}
	}
	return excluded
}

// finite returns a rate that JSON can represent.
func finite(rate float64) float64 {
	if math.IsNaN(rate) || math.IsInf(rate, 0) {
		return 0
	}
	return rate
}
