package front

import (
	"context"
	"net/http"
	"strconv"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
)

// answered handles an answer whose head has come.
func (c *call) answered(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) verdict {
	d := &c.front.options.Dialect
	id := choice.Replica.ID
	if load, told := d.ParseLoad(answer.Header.Get(d.Load)); told {
		c.front.balancer.Reported(id, load, steady.Now())
	}
	if answer.Header.Get(d.NotRun) != "" || answer.StatusCode == http.StatusMisdirectedRequest {
		drain(answer)
		c.outcome.reason = "not taken: " + strconv.Itoa(answer.StatusCode)
		c.front.fail(c.id, id, notTaken(answer.StatusCode))
		return c.repeat(c.outcome.reason)
	}
	c.mayHaveRun = true
	if answer.StatusCode >= http.StatusInternalServerError {
		return c.replicaError(ctx, cancel, choice, answer)
	}
	if c.front.balancer.Answered(id, c.parts, steady.Now()) {
		c.front.log.Write(event.EngineBack, event.F("replica", id), event.F("request", c.id))
	}
	c.blame()
	return c.pass(ctx, cancel, choice, answer)
}

func notTaken(status int) balance.Failure {
	if status == http.StatusMisdirectedRequest {
		return balance.Refused
	}
	return balance.Shed
}

// replicaError handles a replica's own 5xx: what it did is not known.
func (c *call) replicaError(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) verdict {
	c.outcome.reason = "replica's error " + strconv.Itoa(answer.StatusCode)
	if c.begun {
		c.front.fail(c.id, choice.Replica.ID, balance.Errored)
		drain(answer)
		return c.repeat(c.outcome.reason)
	}
	if !c.route.RunsOnce() && steady.Until(c.end) > c.route.Target/2 && c.repeat(c.outcome.reason) == again {
		c.errored = append(c.errored, choice.Replica.ID)
		drain(answer)
		return again
	}
	if len(c.errored) == 0 {
		c.front.fail(c.id, choice.Replica.ID, balance.Errored)
	}
	if promises(answer.StatusCode) {
		// Without the mark of not having run, its promise may not be passed on.
		drain(answer)
		return over
	}
	return c.pass(ctx, cancel, choice, answer)
}

// blame notes the replicas that failed a request which another one answered. A
// request that fails at each replica speaks against itself, not against them.
func (c *call) blame() {
	for _, id := range c.errored {
		c.front.fail(c.id, id, balance.Errored)
	}
	c.errored = nil
}

// promises tells whether a status says that a request has not run.
func promises(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
