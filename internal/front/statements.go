package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
)

// noteStatements records what an answer to a request sent at a time says of its replica.
func (f *Front) noteStatements(request, id string, sent time.Time, answer *http.Response) {
	now, statements := steady.Now(), f.follower.Statements()
	if answer.Close {
		statements.ForgetServing(id)
		f.follower.Leaves(id)
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		// Another replica stands at the address now.
		return
	}
	leaves := announcesShutdown(answer.Header.Get(f.options.Dialect.Leaving))
	if leaves {
		f.metrics.Draining.Inc(1)
		if statements.MarkDraining(id, sent, now) {
			f.log.Write(event.ReplicaDraining, event.F("replica", id), event.F("request", request), event.F("status", answer.StatusCode))
		}
	}
	if rest := restAsked(answer, time.Now()); rest > 0 {
		f.noteRest(request, id, sent, rest)
	}
	if !leaves && !answer.Close && answer.StatusCode < http.StatusInternalServerError {
		statements.MarkServing(id, sent, now)
	}
}

// noteRest records that an answer asks for no further requests for a time.
func (f *Front) noteRest(request, id string, sent time.Time, rest time.Duration) {
	f.metrics.Resting.Inc(1)
	now := steady.Now()
	until := now.Add(rest)
	if f.follower.Statements().MarkResting(id, sent, until, now) {
		f.log.Write(event.ReplicaResting, event.F("replica", id), event.F("request", request), event.F("rest_ms", rest.Milliseconds()))
	}
	f.balancer.Rests(id, until)
}

// announcesShutdown tells whether the value of the header says so.
func announcesShutdown(value string) bool { return value != "" && value != "0" }

// statementFields tell what a replica said of itself before it was chosen.
func (f *Front) statementFields(id string, now time.Time) []event.Field {
	var fields []event.Field
	said := f.follower.Statements().Of(id)
	if !said.DrainingSince.IsZero() {
		fields = append(fields, event.F("draining_ms", now.Sub(said.DrainingSince).Milliseconds()))
	}
	if rest := said.RestUntil.Sub(now); rest > 0 {
		fields = append(fields, event.F("rest_left_ms", rest.Milliseconds()))
	}
	return fields
}
