package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/directory"
)

// setExclusions tells another router which replicas this one excludes because of their own statements.
func (c *call) setExclusions(header http.Header) {
	if c.service == nil {
		return
	}
	now := steady.Now()
	relayheader.SetExclusions(header, c.front.watcher.Exclusions(c.service.Name, c.front.maxListAge(), now), now)
}

// recordRelayedRests records the rests that a refusal of another router names: they may have
// been asked for in answer to this router's request. An announced shutdown is not taken from
// it, since it holds until a restart, which the other router may not have noticed.
func (f *Front) recordRelayedRests(answer *upstream.Answer, sent time.Time) {
	now := steady.Now()
	for _, x := range relayheader.ParseExclusions(answer.Header, now) {
		if x.Reason == directory.RestRequested {
			f.watcher.Statements().MarkResting(x.ID, sent, x.Until, now)
			f.balancer.RestUntil(x.ID, x.Until)
		}
	}
}
