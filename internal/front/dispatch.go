package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
)

// verdict is what one attempt at a replica leads to.
type verdict uint8

const (
	// done: the caller has its answer, or is gone.
	done verdict = iota
	// again: another replica may be asked.
	again
	// over: no further replica may be asked; the caller must be told.
	over
)

// dispatch sends the request to replicas until one of them answers it or none
// may be asked any more.
func (c *call) dispatch(ctx context.Context) {
	for {
		if c.left() {
			c.callerGone()
			return
		}
		c.awaitLook(ctx)
		if refused := c.mayStillSend(ctx); refused != nil {
			c.giveUp(refused)
			return
		}
		c.renewList(ctx)
		now := steady.Now()
		excluded := c.front.exclusions(now)
		choice, found := c.choose(excluded, now)
		x, allExcluded := directory.Exclusion{}, false
		if !found {
			x, allExcluded = c.exclusionOf(excluded)
		}
		if allExcluded && x.Reason == directory.ListTooOld {
			c.giveUp(unproven("list of replicas too old"))
			return
		}
		if !found || choice.Hopeless {
			if c.waitForReplica(ctx) {
				continue
			}
			c.giveUp(c.noReplica(x))
			return
		}
		switch c.attempt(ctx, choice) {
		case done:
			return
		case over:
			c.giveUp(c.notTaken(c.outcome.reason))
			return
		}
	}
}

// noReplica refuses a request for which there is no replica, or only excluded ones, for
// a reason.
func (c *call) noReplica(x directory.Exclusion) *refusal {
	if c.evacuated() {
		return c.notTaken("evacuated")
	}
	if x.Reason != "" {
		return c.notTaken("no replica: " + string(x.Reason))
	}
	return c.notTaken("no replica")
}

// evacuated tells whether all replicas of the service are: there is nothing to wait for.
func (c *call) evacuated() bool { return c.front.balancer.Evacuated(c.service.Name) }

// question asks for a replica that was not tried and is not excluded.
func (c *call) question(excluded []string) balance.Question {
	tried := slices.Concat(c.tried, excluded)
	q := balance.Question{Service: c.service.Name, DataCentre: c.front.options.DataCentre, Tried: tried, ColdRate: c.service.ColdRate}
	if c.service.Engine != nil {
		q.Parts = c.parts
	}
	return q
}

// mayStillSend looks once more whether the configuration allows the request:
// it may have changed while the body came or while another replica was tried.
func (c *call) mayStillSend(ctx context.Context) *refusal {
	if ctx.Err() != nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "time is over", retryAfter: retryElsewhere}
	}
	if refused := c.admit(ctx); refused != nil {
		return refused
	}
	return c.suspicion(steady.Now())
}

// noteList writes when the list of replicas could not be renewed, and when it was
// again.
func (f *Front) noteList(err error) {
	if was := f.listOld.Swap(err != nil); was == (err != nil) {
		return
	}
	id := event.ListNew
	if err != nil {
		id = event.ListOld
	}
	f.log.Write(id, event.F("age_ms", f.follower.ListAge(steady.Now()).Milliseconds()), event.F("error", err))
}

// attempt sends the request to one replica.
func (c *call) attempt(ctx context.Context, choice balance.Choice) verdict {
	id := choice.Replica.ID
	c.tried = append(c.tried, id)
	c.outcome.replica = id
	c.noteChoice(choice)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	c.front.balancer.Started(id)
	defer c.front.balancer.Finished(id)
	hung := c.whenSilent(c.hangTime(), id, cancel)
	defer hung.Stop()
	sent := steady.Now()
	c.sentAt = sent
	c.waiting.Store(true)
	request := c.outgoing(choice)
	request.Check = func() error { return c.checkBeforeWrite(id, steady.Now()) }
	request.Unacked = c.moveOn(c.hangTime(), cancel)
	answer, err := c.front.pool.Do(ctx, choice.Replica.Address, request)
	c.waiting.Store(false)
	if err != nil {
		return c.failed(ctx, choice, err)
	}
	defer answer.Close()
	if hung.Stop() && c.service.Engine == nil {
		c.front.balancer.Paced(id, steady.Since(sent))
	}
	c.sent.Add(1)
	c.front.noteStatements(c.id, id, sent, answer.Response)
	return c.answered(ctx, cancel, choice, answer)
}

// noteChoice writes which replica was chosen, why, and by what.
func (c *call) noteChoice(choice balance.Choice) {
	id, now := choice.Replica.ID, steady.Now()
	fields := []event.Field{
		event.F("request", c.id), event.F("replica", id), event.F("why", string(choice.Reason)),
		event.F("part", fmt.Sprintf("%x", choice.Part)), event.F("holders", choice.Holders),
		event.F("load", choice.Load), event.F("bound", choice.Bound), event.F("copy_from", choice.Source), event.F("sent", c.sent.Load()),
		event.F("passed", choice.Passed), event.F("passed_load", choice.PassedLoad), event.F("passed_bad", choice.PassedBad),
		event.F("proof_ms", c.front.follower.ProofAge(now).Milliseconds()),
	}
	if age, doubted := c.front.follower.Doubt(id, now); doubted {
		fields = append(fields, event.F("doubt_ms", age.Milliseconds()))
	}
	fields = append(fields, c.front.statementFields(id, now)...)
	c.front.log.Write(event.ReplicaChosen, append(fields, c.exclusionFields()...)...)
}

// failed turns an attempt without an answer into a verdict.
func (c *call) failed(ctx context.Context, choice balance.Choice, err error) verdict {
	id := choice.Replica.ID
	c.outcome.reason = "no answer: " + err.Error()
	if errors.Is(err, errCallerGone) {
		c.callerGone()
		return done
	}
	if errors.Is(err, errNotAllowed) {
		return c.notWritten(id, err)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		// That this router has no descriptor left is not the replica's fault.
		if c.request.Context().Err() == nil && ctx.Err() == nil && !socket.IsExhausted(err) {
			c.front.fail(c.id, id, dialFailure(err))
		}
		// Nothing reached the replica, so this was no attempt.
		return again
	}
	c.sent.Add(1)
	c.mayHaveRun = true
	if c.request.Context().Err() != nil {
		c.callerGone()
		return done
	}
	hung := errors.Is(context.Cause(ctx), errHung)
	if ctx.Err() != nil && !hung {
		return over
	}
	if hung {
		c.abandoned(choice)
	} else {
		c.broke(choice)
	}
	return c.repeat("broken")
}

// maxNotWritten is how often a request may be not written once connected. Then its way
// takes longer than what allows it stays new.
const maxNotWritten = 2

// notWritten turns an attempt that was not written into a verdict. It says nothing of the
// replica, which may be asked if all is well again.
func (c *call) notWritten(id string, err error) verdict {
	c.outcome.reason = err.Error()
	c.unwritten++
	if c.unwritten >= maxNotWritten {
		return over
	}
	c.tried = slices.DeleteFunc(c.tried, func(tried string) bool { return tried == id })
	return again
}

// asked returns how many replicas were asked, the one included whose answer is
// waited for.
func (c *call) asked() int {
	sent := int(c.sent.Load())
	if c.waiting.Load() {
		sent++
	}
	return sent
}

func dialFailure(err error) balance.Failure {
	if upstream.IsRefused(err) {
		return balance.Refused
	}
	return balance.Unreachable
}

// repeat decides whether another replica may be asked after one that may have
// run the request.
func (c *call) repeat(why string) verdict {
	if c.mayHaveRun && c.route.RunsOnce() {
		return over
	}
	if int(c.sent.Load()) >= c.route.Attempts {
		return over
	}
	if !c.reserved.Swap(false) && !c.front.spendRepeat(c.id) {
		return over
	}
	c.front.log.Write(event.RequestRetried, event.F("request", c.id), event.F("replica", c.outcome.replica),
		event.F("why", why), event.F("sent", c.sent.Load()), event.F("after_ms", steady.Since(c.arrival).Milliseconds()))
	c.front.metrics.Repeats.Inc(1)
	return again
}

// spendRepeat takes a repeat from the budget, and notes when there is none.
func (f *Front) spendRepeat(request string) bool {
	spent := !f.repeats.Spend()
	if spent && !f.spent.Swap(true) {
		f.log.Write(event.BudgetSpent, event.F("request", request))
	}
	if !spent {
		f.spent.Store(false)
	}
	return !spent
}

// fail notes a failure at a replica.
func (f *Front) fail(request, id string, kind balance.Failure) {
	f.balancer.Failed(id, kind, f.options.DataCentre, steady.Now())
	f.log.Write(event.EngineSuspect, event.F("request", request), event.F("replica", id), event.F("kind", kind.String()))
}
