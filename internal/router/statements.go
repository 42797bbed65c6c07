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
