package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
)

// noteStatements records what an answer to a request sent at a time says of its replica.
func (c *call) noteStatements(id string, sent time.Time, answer *upstream.Answer) {
	if answer.StatusCode == http.StatusMisdirectedRequest {
		// Another replica stands at the address now.
		return
	}
	f, now := c.front, steady.Now()
	statements := f.follower.Statements()
	if announcesShutdown(answer.Header.Get(f.options.Dialect.Leaving)) {
		f.metrics.Draining.Inc(1)
		if statements.MarkDraining(id, sent, now) {
			f.log.Write(event.ReplicaDraining, event.F("replica", id), event.F("request", c.id), event.F("status", answer.StatusCode))
		}
	}
	rest := restAsked(answer.Response, time.Now())
	if rest == 0 {
		return
	}
	f.metrics.Resting.Inc(1)
	if statements.MarkResting(id, sent, now.Add(rest), now) {
		f.log.Write(event.ReplicaResting, event.F("replica", id), event.F("request", c.id), event.F("rest_ms", rest.Milliseconds()))
	}
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
