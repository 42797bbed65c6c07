package rollout

import (
	"maps"
	"slices"
	"time"
)

// View is what a router knows about one roll-out, for operators.
type View struct {
	Service string  `json:"service"`
	Version string  `json:"version"`
	Phase   Phase   `json:"phase"`
	Reason  string  `json:"reason"`
	Written State   `json:"written"`
	Share   float64 `json:"share"`
	// Answers and Failures are those of the new version and of the old ones.
	Answers     uint32 `json:"answers"`
	Failures    uint32 `json:"failures"`
	OldAnswers  uint32 `json:"old_answers"`
	OldFailures uint32 `json:"old_failures"`
}

// Views returns all roll-outs that have an order, sorted by service.
func (c *Controller) Views(now time.Time) []View {
	c.mu.Lock()
	names := slices.Sorted(maps.Keys(c.runs))
	c.mu.Unlock()
	var list []View
	for _, service := range names {
		if v, ordered := c.view(service, now); ordered {
			list = append(list, v)
		}
	}
	return list
}

func (c *Controller) view(service string, now time.Time) (View, bool) {
	plan, _ := c.Plan(service, now)
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[service]
	if r == nil || r.phase == "" {
		return View{}, false
	}
	total := r.allEvidence().total()
	return View{
		Service: service, Version: r.record.Order.Version, Phase: r.phase, Reason: r.reason, Written: r.record.Outcome(), Share: plan.Share,
		Answers: total.New.Answered, Failures: total.New.Failed, OldAnswers: total.Old.Answered, OldFailures: total.Old.Failed,
	}, true
}
