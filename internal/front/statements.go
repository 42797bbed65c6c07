package front

import (
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/retryafter"
	"github.com/croftyard/croftyard/internal/steady"
)

// noteStatements records what an answer to a request sent at a time says of its replica.
func (f *Front) noteStatements(request, id string, sent time.Time, answer *http.Response) {
	now, statements := steady.Now(), f.watcher.Statements()
	if answer.Close {
		statements.ForgetServing(id)
		f.watcher.MarkDraining(id)
	}
	if answer.StatusCode == http.StatusMisdirectedRequest {
		// Another replica stands at the address now.
		return
	}
	leaves := announcesShutdown(answer.Header.Get(f.options.Dialect.ShuttingDown))
	if leaves {
		f.metrics.DrainingAnswers.Inc(1)
		if statements.MarkDraining(id, sent, now) {
			f.log.Write(event.ReplicaDraining, event.F("replica", id), event.F("request", request), event.F("status", answer.StatusCode))
		}
	}
	f.noteRest(request, id, sent, answer)
	if !leaves && !answer.Close && answer.StatusCode < http.StatusInternalServerError {
		statements.MarkServing(id, sent, now)
	}
}

// RecordRest records a rest that an answer to a question of the router's own asks for. That
// the answer is the replica's own is less certain than that of a request that names it, so
// an announced shutdown, which binds for as long as the replica runs, is not taken from it.
func (f *Front) RecordRest(id string, sent time.Time, answer *http.Response) {
	f.noteRest("", id, sent, answer)
}

// noteRest records that an answer asks for no further requests for a time.
func (f *Front) noteRest(request, id string, sent time.Time, answer *http.Response) {
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

// announcesShutdown tells whether the value of the header says so.
func announcesShutdown(value string) bool { return value != "" && value != "0" }

// maxLogged is how many of the replicas that were passed over a line names.
const maxLogged = 4

// exclusionFields tell which replicas of the service got nothing, and why.
func (c *call) exclusionFields() []event.Field {
	var excluded []string
	for _, x := range c.excluded {
		if len(excluded) < maxLogged {
			excluded = append(excluded, x.ID+": "+string(x.Reason))
		}
	}
	if excluded == nil {
		return nil
	}
	return []event.Field{event.F("excluded", excluded)}
}

// statementFields tell what a replica said of itself before it was chosen.
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
