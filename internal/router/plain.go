package router

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/router/job"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/policy"
)

// ServePlain sends a request to the least busy replica of a plain service. No
// owner is needed: there is no cache to find. It is sent again only if it
// cannot have run, or if the service's calls may be repeated.
func (r *Router) ServePlain(ctx context.Context, call *job.Call, sink dispatch.Sink) *admission.Refusal {
	end, accepted := r.begin()
	if !accepted {
		return r.claims.Confirm(ctx, &call.Job, admission.Refuse(admission.Stopping, time.Second, "this router stops"))
	}
	defer end()
	ctx, cancel := context.WithTimeout(ctx, steady.Until(call.Job.Deadline))
	defer cancel()
	refusal := r.admit(&call.Job)
	if refusal == nil {
		refusal = r.callReplicas(ctx, call, sink)
	}
	if refusal != nil {
		refusal = r.claims.Confirm(ctx, &call.Job, refusal)
		r.refused(&call.Job, refusal)
		return refusal
	}
	r.metrics.Served.Inc(1)
	return nil
}

func (r *Router) callReplicas(ctx context.Context, call *job.Call, sink dispatch.Sink) *admission.Refusal {
	tried := make(map[string]bool)
	started := &startedSink{Sink: sink}
	mayHaveRun := false
	for {
		target, found := r.leastBusy(call.Service.Name, tried)
		if !found {
			refusal := admission.Refuse(admission.NoEngine, time.Second, fmt.Sprintf("no live replica of %s", call.Service.Name))
			refusal.NotRun = !mayHaveRun
			return refusal
		}
		tried[target.Name] = true
		refusal := r.callReplica(ctx, call, target, started)
		if refusal == nil {
			return nil
		}
		// What an earlier replica may have run, no later refusal makes undone.
		mayHaveRun = mayHaveRun || !refusal.NotRun
		refusal.NotRun = !mayHaveRun
		if started.begun || !r.callAgain(ctx, call, refusal) {
			return refusal
		}
	}
}

// callAgain tells whether another replica may be called after this refusal: the
// call did not run, or the service's calls may be repeated.
func (r *Router) callAgain(ctx context.Context, call *job.Call, refusal *admission.Refusal) bool {
	failed := refusal.Reason == admission.TargetFailed || refusal.Reason == admission.TargetLeaving
	repeatable := failed && call.Service.Repeatable && call.Job.Key == ""
	again := *refusal
	again.NotRun = refusal.NotRun || repeatable
	return r.retry(ctx, &call.Job, &again)
}

func (r *Router) callReplica(ctx context.Context, call *job.Call, target fleet.Instance, sink dispatch.Sink) *admission.Refusal {
	ctx, cancel := context.WithTimeout(ctx, call.Service.Timeout)
	defer cancel()
	r.countService(target.Name, 1)
	defer r.countService(target.Name, -1)
	request := call.Request
	request.Address = target.Address
	_, refusal := r.attempts.Send(ctx, &call.Job, target, request, sink)
	return refusal
}

// startedSink remembers whether the caller was sent anything.
type startedSink struct {
	dispatch.Sink
	begun bool
}

// Head implements dispatch.Sink.
func (s *startedSink) Head(h dispatch.Head) error {
	s.begun = true
	return s.Sink.Head(h)
}

// leastBusy returns the live replica with the fewest calls from here, in this
// data centre if there is one.
func (r *Router) leastBusy(service string, tried map[string]bool) (fleet.Instance, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best fleet.Instance
	found := false
	seen := 0
	r.view.ForEach(steady.Now(), func(i fleet.Instance, health fleet.Health) {
		if i.Role != fleet.RoleService || i.Service != service || health != fleet.Live || tried[i.Name] {
			return
		}
		switch r.compareReplicas(i, best, found) {
		case better:
			best, found, seen = i, true, 1
		case equal:
			// Each of several equal ones is taken with the same chance.
			seen++
			if r.rnd.IntN(seen) == 0 {
				best = i
			}
		}
	})
	return best, found
}

type comparison int

const (
	worse comparison = iota
	equal
	better
)

func (r *Router) compareReplicas(i, best fleet.Instance, found bool) comparison {
	if !found {
		return better
	}
	near := i.DataCentre == r.settings.DataCentre
	if bestNear := best.DataCentre == r.settings.DataCentre; near != bestNear {
		if near {
			return better
		}
		return worse
	}
	switch a, b := r.services[i.Name], r.services[best.Name]; {
	case a < b:
		return better
	case a == b:
		return equal
	}
	return worse
}

func (r *Router) countService(name string, by int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services[name] += by
	if r.services[name] == 0 {
		delete(r.services, name)
	}
}

// HasService tells whether the configuration names the service.
func (r *Router) HasService(name string) (*policy.Service, bool) {
	s := r.adopted.Current()
	if s == nil {
		return nil, false
	}
	service, found := s.Services[name]
	return service, found
}

// IgnoredToken counts a chat token that was not valid.
func (r *Router) IgnoredToken(reason error) {
	r.metrics.TokensIgnored.Inc(1)
	r.log.Write(event.TokenIgnored, event.F("error", reason))
}
