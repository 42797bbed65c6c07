package front

import (
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/retryafter"
	"github.com/croftyard/croftyard/internal/steady"
)

// recordStatements records what an answer says about its replica. sent is when the request
// was sent.
func (f *Front) recordStatements(request, id string, sent time.Time, answer *http.Response) {
	now, statements := steady.Now(), f.watcher.Statements()
	if answer.Close {
		statements.ForgetServing(id)
		f.watcher.MarkDraining(id)
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		// The address now belongs to another replica.
		return
	}
	f.recordBrittle(id, answer)
	leaves := announcesShutdown(answer.Header.Get(f.options.Dialect.ShuttingDown))
	if leaves {
		f.metrics.DrainingAnswers.Inc(1)
		if statements.MarkDraining(id, sent, now) {
			f.log.Write(event.ReplicaDraining, event.F("replica", id), event.F("request", request), event.F("status", answer.StatusCode))
		}
	}
	f.recordRest(request, id, sent, answer)
	if !leaves && !answer.Close && answer.StatusCode < http.StatusInternalServerError {
		statements.MarkServing(id, sent, now)
	}
}

// recordBrittle records whether an answer says that its replica is brittle.
func (f *Front) recordBrittle(id string, answer *http.Response) {
	now := steady.Now()
	rejections, err := strconv.Atoi(answer.Header.Get(f.options.Dialect.Brittle))
	if err != nil || rejections < 0 {
		f.balancer.SturdyReported(id, now)
		return
	}
	f.balancer.BrittleReported(id, rejections, now)
}

// RecordRest records a rest that an answer to one of the router's own queries asks for. Such
// an answer is less certain to come from the replica than that to a request which names it,
// so an announced shutdown, which holds until the replica restarts, is not taken from it.
func (f *Front) RecordRest(id string, sent time.Time, answer *http.Response) {
	f.recordRest("", id, sent, answer)
}

// recordRest records that an answer asks for no further requests for a time.
func (f *Front) recordRest(request, id string, sent time.Time, answer *http.Response) {
	rest := retryafter.Rest(answer, time.Now())
	if rest == 0 {
		return
	}
	f.metrics.RestingAnswers.Inc(1)
	now := steady.Now()
	until := now.Add(rest)
	if f.watcher.Statements().MarkResting(id, sent, until, now) {
		f.log.Write(event.ReplicaResting, event.F("replica", id), event.F("request", request), event.F("rest_ms", rest.Milliseconds()))
	}
	f.balancer.RestUntil(id, until)
}

// announcesShutdown reports whether a value of the ShuttingDown header announces a shutdown.
func announcesShutdown(value string) bool { return value != "" && value != "0" }

// maxLoggedExclusions bounds the excluded replicas named in a log line.
const maxLoggedExclusions = 4

// exclusionFields returns the log field with the service's excluded replicas and the reasons.
func (c *call) exclusionFields() []event.Field {
	var excluded []string
	for _, x := range c.excluded {
		if len(excluded) < maxLoggedExclusions {
			excluded = append(excluded, x.ID+": "+string(x.Reason))
		}
	}
	if excluded == nil {
		return nil
	}
	return []event.Field{event.F("excluded", excluded)}
}

// statementFields returns the log fields with what a replica had said about itself when it
// was chosen.
func (f *Front) statementFields(id string, now time.Time) []event.Field {
	var fields []event.Field
	said := f.watcher.Statements().Get(id)
	if !said.DrainingSince.IsZero() {
		fields = append(fields, event.F("draining_ms", now.Sub(said.DrainingSince).Milliseconds()))
	}
	if rest := said.RestUntil.Sub(now); rest > 0 {
		fields = append(fields, event.F("rest_left_ms", rest.Milliseconds()))
	}
	return fields
}
