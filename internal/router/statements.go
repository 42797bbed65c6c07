package router

import (
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// resting notes that a target asked for no requests for a time. Other routers are not
// told: it asked this one.
func (r *Router) resting(name string, rest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := steady.Now()
	if r.view.Health(name, now) != fleet.Resting {
		r.log.Write(event.ReplicaResting, event.F("replica", name), event.F("rest_ms", rest.Milliseconds()))
	}
	r.view.MarkResting(name, now.Add(rest))
	r.closeEngines(now)
}

// excludes refuses a request for a target that said that it leaves, or asked for rest,
// after it was chosen.
func (r *Router) excludes(name string) *admission.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch health := r.view.Health(name, steady.Now()); health {
	case fleet.Departing, fleet.Resting:
		return admission.Refuse(admission.TargetLeaving, time.Second, fmt.Sprintf("target %s: %s", name, health))
	}
	return nil
}

// comparedEngines is with how many other engines one that refuses connections is compared.
const comparedEngines = 2

// otherEngines returns the addresses of some engines besides one.
func (r *Router) otherEngines(target fleet.Instance) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var others []string
	r.view.ForEach(steady.Now(), func(i fleet.Instance, _ fleet.Health) {
		if i.Role == fleet.RoleEngine && i.Name != target.Name && len(others) < comparedEngines {
			others = append(others, i.Address)
		}
	})
	return others
}
