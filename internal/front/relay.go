package front

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/relay"
)

// A router that does not reach the replicas of a service hands its requests to one that may:
//
//	caller ──> router without a path ──HTTP──> other router ──> replica
//
// The other router treats the request as its own, with two differences: it never hands it
// on, and it counts it neither as demand nor for the retry budget, since the first router
// has. Its refusals say whether the request may have run, so that the promise of a 503
// holds across both.

// relayResult is the outcome of handing a request to other routers.
type relayResult uint8

const (
	// relayNone: no other router can serve it.
	relayNone relayResult = iota
	// relayFinished: the caller has its answer or has disconnected.
	relayFinished
	// relayRetry: it may be tried again.
	relayRetry
)

const (
	// maxRelayTries is how many routers are asked for one request. Each refuses within a
	// round trip.
	maxRelayTries = 4
	// maxRelayedHere bounds the requests of other routers in progress.
	maxRelayedHere = 256
	// maxUnconnected is after how many replicas that take no connection another router is
	// asked.
	maxUnconnected = 2
	// maxRelayedUnconnected is the same for a request of another router, if connections are
	// refused at once: replicas may have ended, and no further router may reach more of them.
	maxRelayedUnconnected = 4
)

// outOfReach reports whether the request should be handed to another router.
func (c *call) outOfReach(choice balance.Choice, found bool) bool {
	o := &c.front.options
	if o.Without.Has(mechanism.Relay) || c.relay == nil && (o.Relays == nil || o.RelayPool == nil) {
		return false
	}
	if c.unopened >= maxUnconnected || c.unconnected >= c.maxUnconnected() {
		return true
	}
	if c.relay != nil {
		// Replicas that are reached and have no room are no reason to ask yet another router.
		return found && (choice.Unreachable || choice.KeptOnly || c.wouldBreak(choice)) || !found && c.front.balancer.PathLost(c.service.Name, steady.Now())
	}
	if !found {
		now := steady.Now()
		return c.unconnected > 0 || c.front.balancer.AnyOutOfReach(c.service.Name, now) || c.needsRoom(now)
	}
	return choice.PathLost || choice.Unreachable
}

// wouldBreak reports whether a request of another router that runs once should not be sent to the
// replica: this router has probably lost its path too, and a request on a connection that is reset
// cannot be tried elsewhere.
func (c *call) wouldBreak(choice balance.Choice) bool {
	return c.route.RunsOnce() && choice.PathLost && choice.Reason == balance.LastResort && !c.front.balancer.ShareUsed(c.service.Name, steady.Now())
}

// needsRoom reports whether brittle replicas may have room that belongs to other routers.
func (c *call) needsRoom(now time.Time) bool {
	return c.relay == nil && c.front.balancer.ShareUsed(c.service.Name, now)
}

// maxUnconnected is after how many replicas that take no connection the request is given to
// another router, or back to the one that handed it to this one.
func (c *call) maxUnconnected() int {
	if c.relay != nil {
		return maxRelayedUnconnected
	}
	return maxUnconnected
}

// relayElsewhere hands the request to one router after another until one serves it.
func (c *call) relayElsewhere(ctx context.Context) relayResult {
	if c.mayHaveRun && c.route.RunsOnce() || int(c.sent.Load()) >= c.maxAttempts() {
		return relayNone
	}
	routers := c.front.options.Relays()
	c.relayRefusal = nil
	forRoom := c.needsRoom(steady.Now())
	if forRoom {
		owns := c.front.balancer.OwnsRoom(c.service.Name)
		routers = slices.DeleteFunc(routers, func(r relay.Router) bool { return !owns(r.Address) })
	}
	for range maxRelayTries {
		if c.callerLeft() {
			c.abortCallerGone()
		}
		router, found := c.front.relays.Choose(relay.Request{Service: c.service.Name, DataCentre: c.front.options.DataCentre, Tried: c.relayTried, ForRoom: forRoom}, routers, steady.Now())
		if !found {
			break
		}
		c.relayTried = append(c.relayTried, router.Address)
		if result := c.relayTo(ctx, router.Address); result != relayNone {
			return result
		}
	}
	if c.relayRefusal != nil {
		c.giveUp(c.relayRefusal)
		return relayFinished
	}
	return relayNone
}

// relayAttempts is how many replicas the other router may send the request to. One is left
// to this router if the request may be repeated, since the other one may break off.
func (c *call) relayAttempts() int {
	left := c.maxAttempts() - int(c.sent.Load())
	if c.route.RunsOnce() {
		return left
	}
	return max(left-1, 1)
}

// relayTo hands the request to one router. relayNone means that it has not run there.
func (c *call) relayTo(ctx context.Context, address string) relayResult {
	f := c.front
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	attempts := c.relayAttempts()
	c.waiting.Store(true)
	failover := c.failover(c.silenceLimit(), cancel)
	silence := time.AfterFunc(c.silenceLimit(), func() { failover() })
	answer, err := f.options.RelayPool.Do(ctx, address, c.relayRequest(address, attempts, cancel))
	silence.Stop()
	c.waiting.Store(false)
	if err == nil && errors.Is(context.Cause(ctx), errSilent) {
		// The answer came as the wait for it ended, and breaks off.
		answer.Close()
		err = errSilent
	}
	if err != nil {
		return c.handleRelayError(ctx, address, attempts, err)
	}
	defer answer.Close()
	result := answer.Header.Get(relayheader.Result)
	f.log.Write(event.RequestRelayed, event.F("request", c.id), event.F("router", address), event.F("result", result), event.F("status", answer.StatusCode))
	if result != "" {
		f.recordRelayedRests(answer, c.arrival)
	}
	switch {
	case result == relayheader.Failed:
		drainBody(answer)
		c.sent.Add(int32(attempts))
		c.mayHaveRun = true
		c.outcome.reason = "failed at another router"
		return c.retryRelay(steady.Until(c.deadline) > 0)
	case result == relayheader.Refused && impliesNotRun(answer.StatusCode):
		c.giveUp(c.refuseAsRelayed(answer))
		return relayFinished
	case result == relayheader.Full:
		f.relays.Full(c.service.Name, address, steady.Now())
		c.relayRefusal = c.refuseAsRelayed(answer)
		return relayNone
	case result == relayheader.Differs:
		f.watcher.TriggerRead()
		drainBody(answer)
		return relayNone
	case result != "":
		f.relays.Unable(c.service.Name, address, steady.Now())
		drainBody(answer)
		return relayNone
	case impliesNotRun(answer.StatusCode), c.lacksSignature(answer):
		// Routers of earlier builds forward such an answer of a replica that has run the request.
		drainBody(answer)
		c.mayHaveRun = true
		c.recordRelayed(answer)
		c.outcome.reason = "replica's error " + strconv.Itoa(answer.StatusCode) + " by another router"
		return c.retryRelay(steady.Until(c.deadline) > 0)
	}
	f.metrics.Relayed.Inc(1)
	f.relays.Served(c.service.Name, address, steady.Now())
	return c.forwardRelayed(ctx, answer)
}

// relayRequest builds the request for the router at an address: the caller's, with what is left
// of its time and attempts.
func (c *call) relayRequest(address string, attempts int, cancel context.CancelCauseFunc) *upstream.Request {
	d := &c.front.options.Dialect
	failover := c.failover(c.silenceLimit(), cancel)
	header := forwardedHeader(c.request.Header)
	header.Set(d.Deadline, strconv.FormatInt(max(steady.Until(c.deadline).Milliseconds(), 1), 10))
	header.Set(relayheader.Attempts, strconv.Itoa(attempts))
	header.Set(relayheader.Share, strconv.FormatFloat(c.shareDraw, 'g', -1, 64))
	header.Set(relayheader.Service, c.service.Name)
	header.Set(relayheader.Organisation, c.organisationName())
	c.lendShare(header, address)
	c.setExclusions(header)
	c.setOrigin(header)
	if c.position.LastEvent != "" {
		header.Set(lastEventHeader, c.position.LastEvent)
	}
	return &upstream.Request{
		Method: c.request.Method,
		URI:    c.request.RequestURI,
		Host:   c.request.Host,
		Header: header,
		Body:   c.body,
		ID:     c.id,
		Check: func() error {
			if c.callerLeft() {
				return errCallerGone
			}
			now := steady.Now()
			if !c.fitsShutdown(now) {
				return fmt.Errorf("%w: the router is stopping", errNotAllowed)
			}
			c.retries.Written(now)
			return nil
		},
		Unacked: func() { failover() },
	}
}

// lendShare leaves a part of this router's share of brittle replicas to the router at an address,
// if this one reaches none of them.
func (c *call) lendShare(header http.Header, address string) {
	f, now := c.front, steady.Now()
	if f.options.Name == "" || !f.balancer.PathLost(c.service.Name, now) {
		return
	}
	part := 1 / float64(max(f.relays.Takers(c.service.Name, f.options.Relays(), now), 1))
	part = f.balancer.LendShare(c.service.Name, address, part, now)
	header.Set(relayheader.Lender, f.options.Name)
	header.Set(relayheader.Lent, strconv.FormatFloat(part, 'g', -1, 64))
}

// handleRelayError decides how to go on after another router gave no answer.
func (c *call) handleRelayError(ctx context.Context, address string, attempts int, err error) relayResult {
	f := c.front
	f.log.Write(event.RequestRelayed, event.F("request", c.id), event.F("router", address), event.F("result", "error"), event.F("error", err))
	if ctx.Err() == nil {
		// Otherwise it was this router that ended the exchange.
		f.relays.Unreachable(address, steady.Now())
	}
	if errors.Is(err, errCallerGone) {
		c.abortCallerGone()
	}
	if errors.Is(err, upstream.ErrNotSent) {
		return relayNone
	}
	c.outcome.reason = "no answer of another router: " + err.Error()
	c.sent.Add(int32(attempts))
	c.mayHaveRun = true
	if c.request.Context().Err() != nil {
		c.abortCallerGone()
	}
	return c.retryRelay(errors.Is(context.Cause(ctx), errSilent) || steady.Until(c.deadline) > 0)
}

// retryRelay goes on after the request may have run at another router, if it may be repeated,
// and ends the call otherwise.
func (c *call) retryRelay(possible bool) relayResult {
	if possible && c.retry(c.outcome.reason) == attemptRetry {
		return relayRetry
	}
	c.giveUp(c.refuseUnavailable(c.outcome.reason))
	return relayFinished
}
