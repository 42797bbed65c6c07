package gossip

import (
	"fmt"
	"math"
	"time"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// encodeRollouts returns reports about roll-outs in wire form.
func encodeRollouts(list []rollout.Report) []*gossippb.Rollout {
	var encoded []*gossippb.Rollout
	for _, r := range list {
		e := &gossippb.Rollout{Service: r.Service, Order: r.Order, Bad: r.Bad, ElapsedMs: uint32(min(r.Elapsed.Milliseconds(), math.MaxUint32))}
		for route, arms := range r.Evidence {
			e.Arms = appendArm(e.Arms, route, false, arms.Old)
			e.Arms = appendArm(e.Arms, route, true, arms.New)
		}
		encoded = append(encoded, e)
	}
	return encoded
}

// appendArm appends an arm unless it is empty.
func appendArm(arms []*gossippb.RolloutArm, route uint32, updated bool, a rollout.Arm) []*gossippb.RolloutArm {
	if a.Answered == 0 {
		return arms
	}
	durations := a.Durations[:]
	for len(durations) > 0 && durations[len(durations)-1] == 0 {
		durations = durations[:len(durations)-1]
	}
	return append(arms, &gossippb.RolloutArm{
		Route: route, Updated: updated, Answered: a.Answered, Failed: a.Failed, Durations: durations, UsedOn: a.UsedOn, FailedOn: a.FailedOn,
	})
}

// decodeRollouts decodes reports about roll-outs. It ignores buckets that this build does
// not have.
func decodeRollouts(encoded []*gossippb.Rollout) []rollout.Report {
	var list []rollout.Report
	for _, e := range encoded {
		r := rollout.Report{Service: e.Service, Order: e.Order, Bad: e.Bad, Elapsed: milliseconds(e.ElapsedMs), Evidence: make(rollout.Evidence)}
		for _, a := range e.Arms {
			arm := rollout.Arm{Answered: a.Answered, Failed: a.Failed, UsedOn: a.UsedOn, FailedOn: a.FailedOn}
			copy(arm.Durations[:], a.Durations)
			arms := r.Evidence[a.Route]
			if a.Updated {
				arms.New = arm
			} else {
				arms.Old = arm
			}
			r.Evidence[a.Route] = arms
		}
		list = append(list, r)
	}
	return list
}

// mergeRollouts takes what a router counted about roll-outs, or what its line did.
func (g *Gossip) mergeRollouts(d *gossippb.Digest, now time.Time) {
	source := d.Sender
	if d.Lines > 0 {
		source = fmt.Sprintf("line %d of %d", d.Line, d.Lines)
	}
	g.balancer.Rollouts().MergeReports(source, decodeRollouts(d.Rollouts), now)
}
