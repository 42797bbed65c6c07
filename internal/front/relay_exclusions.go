package front

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/directory"
)

// maxRelayedExclusions bounds the replicas named to another router.
const maxRelayedExclusions = 32

// setExclusions lists the replicas that this router excludes because of their own statements,
// each with the milliseconds left of a requested rest, or an empty value if it shuts down. The other router has its
// own requests to send, and this one may have more of them.
func (c *call) setExclusions(header http.Header) {
	if c.service == nil {
		return
	}
	now, told := steady.Now(), make(url.Values)
	for _, x := range c.front.watcher.Exclusions(c.service.Name, c.front.maxListAge(), now) {
		switch {
		case x.LastResort || len(told) == maxRelayedExclusions:
		case x.Reason == directory.RestRequested:
			told.Set(x.ID, strconv.FormatInt(x.Until.Sub(now).Milliseconds(), 10))
		case x.Reason == directory.ShutdownAnnounced:
			told.Set(x.ID, "")
		}
	}
	if len(told) > 0 {
		header.Set(relayExcludedHeader, told.Encode())
	}
}

// parseExclusions parses what setExclusions set, at the time of its arrival. What it can't
// parse excludes nothing.
func parseExclusions(header http.Header, now time.Time) []directory.Exclusion {
	told, err := url.ParseQuery(header.Get(relayExcludedHeader))
	if err != nil {
		return nil
	}
	var excluded []directory.Exclusion
	for id := range told {
		x := directory.Exclusion{ID: id, Reason: directory.ShutdownAnnounced, Since: now}
		if left, err := strconv.Atoi(told.Get(id)); err == nil {
			x.Reason, x.Until = directory.RestRequested, now.Add(time.Duration(left)*time.Millisecond)
		}
		excluded = append(excluded, x)
	}
	return excluded
}

// recordRelayedRests records the rests that a refusal of another router names: they may have
// been asked for in answer to this router's request. An announced shutdown is not taken from
// it, since it holds until a restart, which the other router may not have noticed.
func (f *Front) recordRelayedRests(answer *upstream.Answer, sent time.Time) {
	now := steady.Now()
	for _, x := range parseExclusions(answer.Header, now) {
		if x.Reason == directory.RestRequested {
			f.watcher.Statements().MarkResting(x.ID, sent, x.Until, now)
			f.balancer.RestUntil(x.ID, x.Until)
		}
	}
}
