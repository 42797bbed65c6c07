package front

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
)

// attemptResult is the outcome of one attempt at a replica.
type attemptResult uint8

const (
	// attemptFinished: the caller has its answer or has disconnected.
	attemptFinished attemptResult = iota
	// attemptRetry: another replica may be tried.
	attemptRetry
	// attemptGiveUp: no further replica may be tried; the caller gets an error.
	attemptGiveUp
)

// dispatch sends the request to one replica after another until one answers it or no further
// replica may be tried.
func (c *call) dispatch(ctx context.Context) {
	for {
		if c.callerLeft() {
			c.abortCallerGone()
			return
		}
		c.waitForProbe(ctx)
		if refused := c.checkAdmission(ctx); refused != nil {
			c.giveUp(refused)
			return
		}
		c.refreshList(ctx)
		// Again before each choice: without a list, no version was known to differ.
		if refused := c.findOrigin(ctx); refused != nil {
			c.giveUp(refused)
			return
		}
		now := steady.Now()
		excluded := c.exclusions(now)
		if refused := c.checkOverload(excluded, now); refused != nil {
			c.giveUp(refused)
			return
		}
		choice, found := c.choose(excluded, now)
		x, allExcluded := directory.Exclusion{}, false
		if !found {
			x, allExcluded = c.exclusionOf(excluded)
		}
		if allExcluded && x.Reason == directory.NotListedRecently {
			c.giveUp(refuseStale("list of replicas too old"))
			return
		}
		if c.outOfReach(choice, found) {
			if c.relay != nil {
				c.giveUp(c.refuseOutOfReach())
				return
			}
			switch c.relayElsewhere(ctx) {
			case relayFinished:
				return
			case relayRetry:
				continue
			}
			// A replica that has not failed itself is tried: the others may have ended.
			if len(c.relayTried) > 0 && (!found || choice.KeptOnly) && c.front.balancer.PathLost(c.service.Name, steady.Now()) {
				c.giveUp(c.refuseUnavailable("service out of reach"))
				return
			}
		}
		if !found || choice.Unreachable {
			if c.waitForReplica(ctx) {
				continue
			}
			c.giveUp(c.refuseNoReplica(x))
			return
		}
		if !c.front.balancer.StartChosen(choice, steady.Now()) {
			continue
		}
		switch c.attempt(ctx, choice) {
		case attemptFinished:
			return
		case attemptGiveUp:
			c.giveUp(c.refuseUnavailable(c.outcome.reason))
			return
		}
	}
}

// refuseNoReplica refuses a request whose service has no eligible replica. x is the exclusion
// of the replica that it would otherwise go to, if there is one.
func (c *call) refuseNoReplica(x directory.Exclusion) *refusal {
	if c.evacuated() {
		return c.refuseUnavailable("evacuated")
	}
	if x.Reason != "" {
		return c.refuseUnavailable("no replica: " + string(x.Reason))
	}
	r := c.refuseUnavailable("no replica")
	r.full = true
	return r
}

// evacuated reports whether all replicas of the service are evacuated, so that waiting is
// useless.
func (c *call) evacuated() bool { return c.front.balancer.ServiceEvacuated(c.service.Name) }

// question returns the balancer's query for a replica that is neither tried nor excluded.
func (c *call) question(excluded []string) balance.Request {
	tried := slices.Concat(c.tried, excluded)
	q := balance.Request{Service: c.service.Name, DataCentre: c.front.options.DataCentre, Tried: tried, ColdRate: c.service.ColdRate, Target: c.route.Target}
	q.OnlyVersion, q.Version = c.origin.State == continuation.Known, c.origin.Version
	q.PreferredVersions = c.preferredVersions()
	if c.service.Engine != nil {
		q.Parts = c.parts
	}
	return q
}

// checkAdmission repeats the admission checks: the configuration may have changed while the
// body was read or while another replica was tried, or a shutdown may have begun.
func (c *call) checkAdmission(ctx context.Context) *refusal {
	if ctx.Err() != nil {
		return refuseTooLate()
	}
	if refused := c.admit(ctx); refused != nil {
		return refused
	}
	now := steady.Now()
	if refused := c.checkShutdown(now); refused != nil {
		return refused
	}
	return c.checkPoison(now)
}

// logListAge logs when refreshing the list of replicas starts to fail and when it works again.
func (f *Front) logListAge(err error) {
	if was := f.listStale.Swap(err != nil); was == (err != nil) {
		return
	}
	id := event.ListNew
	if err != nil {
		id = event.ListOld
	}
	f.log.Write(id, event.F("age_ms", f.watcher.ListAge(steady.Now()).Milliseconds()), event.F("error", err))
}

// attempt sends the request to one replica, at which it is counted as started.
func (c *call) attempt(ctx context.Context, choice balance.Choice) attemptResult {
	id := choice.Replica.ID
	defer c.front.balancer.RequestFinished(id)
	c.tried = append(c.tried, id)
	c.outcome.replica = id
	c.replicaVersion = continuation.KnownVersion(choice.Replica.Version)
	c.logChoice(choice)
	c.logStopEstimate(steady.Now())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	hung := c.startSilenceTimer(c.silenceLimit(), id, cancel)
	defer hung.Stop()
	if c.headSent {
		hung.SetFailover(c.failoverIfLost(choice.Replica, c.silenceLimit(), cancel))
	}
	sent := steady.Now()
	c.sentAt = sent
	c.trialOfVersion = versionTrial{sent: sent, chunks: c.chunks}
	c.partsSurvived = false
	defer c.observeVersion(choice)
	c.waiting.Store(true)
	request := c.outgoing(choice)
	request.Check = func() error {
		c.writtenAt = steady.Now()
		err := c.checkBeforeWrite(id, c.writtenAt)
		if err == nil {
			c.retries.Written(c.writtenAt)
		}
		return err
	}
	failover := c.failover(c.silenceLimit(), cancel)
	request.Unacked = func() { failover() }
	answer, err := c.front.pool.Do(ctx, choice.Replica.Address, request)
	c.waiting.Store(false)
	if err == nil && errors.Is(context.Cause(ctx), errSilent) {
		// The answer came as the wait for it ended, and breaks off.
		answer.Close()
		err = errSilent
	}
	if err != nil {
		return c.handleFailure(ctx, choice, err)
	}
	defer answer.Close()
	c.trialOfVersion.headAt = steady.Now()
	if hung.Stop() && c.service.Engine == nil {
		c.front.balancer.RecordDuration(id, steady.Since(sent))
	}
	c.sent.Add(1)
	c.recordLoad(id, answer.Response)
	c.front.recordStatements(c.id, id, sent, answer.Response)
	return c.handleAnswer(ctx, cancel, choice, answer)
}

// logChoice logs the chosen replica with the values that led to the choice.
func (c *call) logChoice(choice balance.Choice) {
	id, now := choice.Replica.ID, steady.Now()
	fields := []event.Field{
		event.F("request", c.id), event.F("replica", id), event.F("why", string(choice.Reason)),
		event.F("part", fmt.Sprintf("%x", choice.Part)), event.F("holders", choice.Holders),
		event.F("load", choice.Load), event.F("bound", choice.Bound), event.F("copy_from", choice.CopySource), event.F("sent", c.sent.Load()),
		event.F("replica_version", choice.Replica.Version), event.F("within_answer", c.headSent), event.F("passed", choice.PassedOver), event.F("passed_load", choice.PassedOverLoad), event.F("passed_bad", choice.PassedOverBadness),
		event.F("proof_ms", c.front.watcher.Staleness(now).Milliseconds()),
	}
	if age, doubted := c.front.watcher.Unconfirmed(id, now); doubted {
		fields = append(fields, event.F("unconfirmed_ms", age.Milliseconds()))
	}
	if c.takenUp() {
		fields = append(fields, event.F("resumes", c.resumes()), event.F("after_event", c.request.Header.Get(lastEventHeader)))
	}
	fields = append(fields, c.front.statementFields(id, now)...)
	c.front.log.Write(event.ReplicaChosen, append(fields, c.exclusionFields()...)...)
}

// handleFailure decides how to go on after an attempt without an answer.
func (c *call) handleFailure(ctx context.Context, choice balance.Choice, err error) attemptResult {
	id := choice.Replica.ID
	c.outcome.reason = "no answer: " + err.Error()
	if errors.Is(err, errCallerGone) {
		c.abortCallerGone()
		return attemptFinished
	}
	if errors.Is(err, errNotAllowed) {
		return c.handleUnwritten(id, err)
	}
	if errors.Is(err, upstream.ErrNotSent) {
		// If this router is out of file descriptors, the replica is not at fault.
		if c.request.Context().Err() == nil && ctx.Err() == nil && !socket.IsExhausted(err) && !errors.Is(err, upstream.ErrNoneKept) {
			kind := dialFailure(err)
			c.front.reportFailure(c.id, id, kind)
			c.unconnected++
			if kind == balance.Unreachable {
				c.unopened++
			}
		}
		// Nothing reached the replica, so this does not count as an attempt.
		return attemptRetry
	}
	c.sent.Add(1)
	c.mayHaveRun = true
	if c.request.Context().Err() != nil {
		c.abortCallerGone()
		return attemptFinished
	}
	hung := errors.Is(context.Cause(ctx), errSilent)
	if ctx.Err() != nil && !hung {
		return attemptGiveUp
	}
	if hung {
		c.recordAbandoned(choice)
	} else {
		c.recordBroken(choice)
	}
	return c.retry("broken")
}

// maxUnwritten is how many attempts may be cancelled between connect and write. After that,
// connecting takes longer than the data that permits the request stays fresh.
const maxUnwritten = 2

// handleUnwritten decides how to go on after an attempt that was not written. The replica is
// not at fault and may be tried again.
func (c *call) handleUnwritten(id string, err error) attemptResult {
	c.outcome.reason = err.Error()
	c.unwritten++
	if c.unwritten >= maxUnwritten {
		return attemptGiveUp
	}
	c.tried = slices.DeleteFunc(c.tried, func(tried string) bool { return tried == id })
	return attemptRetry
}

// sentCount returns how many replicas the request was sent to, including one whose answer is
// outstanding.
func (c *call) sentCount() int {
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

// retry decides whether another replica may be tried after one that may have run the
// request.
func (c *call) retry(why string) attemptResult {
	if c.mayHaveRun && c.route.RunsOnce() {
		return attemptGiveUp
	}
	if int(c.sent.Load()) >= c.maxAttempts() {
		return attemptGiveUp
	}
	if !c.admitRetry(c.front.cutting) {
		return attemptGiveUp
	}
	c.front.log.Write(event.RequestRetried, event.F("request", c.id), event.F("replica", c.outcome.replica),
		event.F("why", why), event.F("sent", c.sent.Load()), event.F("after_ms", steady.Since(c.arrival).Milliseconds()),
		event.F("service", c.service.Name), event.F("left", c.front.retries.Left(c.service.Name)))
	c.front.metrics.RecordRetry(c.service.Name)
	return attemptRetry
}

// reportFailure reports a replica's failure to the balancer.
func (f *Front) reportFailure(request, id string, kind balance.Failure) {
	f.balancer.RequestFailed(id, kind, f.options.DataCentre, steady.Now())
	f.log.Write(event.EngineSuspect, event.F("request", request), event.F("replica", id), event.F("kind", kind.String()))
}
