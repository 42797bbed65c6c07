package front

import (
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/rollout"
)

// minEvents is the least number of pieces of a stream from which its pace is computed.
const minEvents = 3

// versionTrial measures one attempt at a replica, for the comparison of versions.
type versionTrial struct {
	sent time.Time
	// headAt is when the head of the answer arrived, chunks the number of pieces before.
	headAt time.Time
	chunks int
	// failed is set if the replica answered with an error of its own.
	failed bool
}

// observeVersion counts how an attempt ended. An attempt without an answer is left out:
// the replica may have crashed, which says nothing about its version.
func (c *call) observeVersion(choice balance.Choice) {
	t := &c.trialOfVersion
	if t.headAt.IsZero() {
		return
	}
	o := rollout.Outcome{Failed: t.failed}
	events := c.chunks - t.chunks
	switch {
	case c.service.Engine == nil:
		o.Duration = t.headAt.Sub(t.sent)
	case events >= minEvents:
		o.Duration = steady.Since(t.headAt) / time.Duration(events-1)
	}
	c.front.balancer.Rollouts().Observe(c.service.Name, c.route.Name, choice.Replica.Version, choice.Replica.ID, o)
}
