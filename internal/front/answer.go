package front

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/eventstream"
	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// connectionHeaders are hop-by-hop headers and are never forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns a copy of a header without its hop-by-hop fields.
func forwardedHeader(h http.Header) http.Header {
	out := h.Clone()
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		out.Del(name)
	}
	return out
}

// drainBody reads a short answer to its end so that its connection can be reused.
func drainBody(answer *upstream.Answer) {
	const most = 64 << 10
	// If the answer is longer, its connection is closed instead.
	_, _ = io.CopyN(io.Discard, answer, most)
}

// forward sends a replica's answer to the caller.
func (c *call) forward(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) attemptResult {
	resumable := c.resumable(answer)
	if c.headSent && !resumable {
		c.outcome.reason = "replica does not resume"
		drainBody(answer)
		return c.retry(c.outcome.reason)
	}
	if c.headSent {
		c.front.log.Write(event.StreamResumed, event.F("request", c.id), event.F("replica", choice.Replica.ID), event.F("after_event", c.position.LastEvent))
	} else if !resumable {
		c.forwardHead(answer)
	}
	var err error
	c.streaming = answer.StatusCode == http.StatusOK && isEventStream(answer.Response)
	if resumable {
		err = c.forwardResumable(choice.Replica, answer, cancel)
	} else {
		err = c.forwardBody(answer)
	}
	if err == nil && !c.headSent {
		c.forwardHead(answer)
	}
	c.recordUndelimited(answer, err)
	err = c.checkEnd(answer, err)
	if err == nil {
		c.endInOrder()
		if answer.Undelimited() {
			c.probeForCrash(choice)
		} else {
			c.recordServed(answer.StatusCode)
		}
		c.observePace(choice.Replica.ID)
		c.front.longestDurations.Record(c.route.Name, steady.Since(c.arrival), steady.Now())
		c.setOutcome(outcomeServed, answer.StatusCode, "")
		return attemptFinished
	}
	return c.handleBrokenAnswer(ctx, choice, err, resumable)
}

// observePace reports to the balancer how fast an engine generated a stream. The time to the
// first event depends on the prompt, so only the events after it count.
func (c *call) observePace(id string) {
	const enough = 4
	if c.service.Engine != nil && c.chunks >= enough {
		c.front.balancer.RecordDuration(id, steady.Since(c.firstByte)/time.Duration(c.chunks-1))
	}
}

// resumable reports whether an answer is a stream that another replica can continue.
func (c *call) resumable(answer *upstream.Answer) bool {
	return c.route.Resumable && !c.front.options.Without.Has(mechanism.Resume) && answer.StatusCode == http.StatusOK && isEventStream(answer.Response)
}

func isEventStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

func (c *call) forwardHead(answer *upstream.Answer) {
	header := c.writer.Header()
	for name, values := range forwardedHeader(answer.Header) {
		header[name] = values
	}
	if _, told := answer.Header["Date"]; !told {
		header["Date"] = nil
	}
	c.setFraming(answer)
	c.front.announceClose(c.writer)
	c.describeRelayed(header)
	c.writer.WriteHeader(answer.StatusCode)
	c.headSent = true
	c.firstByte = steady.Now()
}

// Outcomes of a call, as logged and counted.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
	outcomeGone    = "caller_gone"
)

var errCallerGone = errors.New("front: caller gone")

// forwardBody copies the body to the caller and flushes each piece as it arrives.
func (c *call) forwardBody(answer *upstream.Answer) error {
	const size = 16 << 10
	buffer := make([]byte, size)
	stream := isEventStream(answer.Response)
	tracker := eventstream.NewTracker()
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if stream {
				tracker.Add(buffer[:n])
				c.position.WithinEvent = tracker.WithinEvent()
			}
			if err := c.write(buffer[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF && c.position.WithinEvent {
			return errPartial
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (c *call) write(b []byte) error {
	if _, err := c.writer.Write(b); err != nil {
		return errCallerGone
	}
	c.chunks++
	c.written += int64(len(b))
	if c.streaming && !c.isBeginning() {
		c.recordPartsSurvived(http.StatusOK)
	}
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// handleBrokenAnswer decides how to go on after an answer ended early.
func (c *call) handleBrokenAnswer(ctx context.Context, choice balance.Choice, err error, resumable bool) attemptResult {
	switch {
	case errors.Is(err, errCallerGone), c.request.Context().Err() != nil:
		c.abortCallerGone()
		return attemptFinished
	case errors.Is(context.Cause(ctx), errSilent):
		c.outcome.reason = "stream fell silent"
		c.recordAbandoned(choice)
		if !c.canResume() {
			return attemptGiveUp
		}
		return c.retry(c.outcome.reason)
	case ctx.Err() != nil:
		c.outcome.reason = "time is over"
		return attemptGiveUp
	}
	c.outcome.reason = "answer broken off: " + err.Error()
	if errors.Is(err, errEndUnknown) {
		c.probeForCrash(choice)
	} else {
		c.recordBroken(choice)
	}
	if resumable && c.canResume() && steady.Until(c.deadline) > 0 {
		return c.retry("stream broken off")
	}
	return attemptGiveUp
}

// abortCallerGone ends a call whose caller disconnected. Returning closes the connection to
// the replica, which stops its work. The caller's connection is aborted as well: a caller
// that closed only its sending side must not take a partial answer for a complete one.
func (c *call) abortCallerGone() {
	c.setOutcome(outcomeGone, 0, c.outcome.reason)
	c.abort()
}

// giveUp tells the caller at once that there will be no answer. Only a request that cannot
// have run is answered with the promise that it has not.
func (c *call) giveUp(r *refusal) {
	if c.request.Context().Err() != nil {
		c.abortCallerGone()
		return
	}
	if c.headSent {
		c.setOutcome(outcomeCut, 0, r.reason)
		c.abort()
	}
	if c.mayHaveRun {
		status := http.StatusBadGateway
		if !steady.Now().Before(c.deadline) {
			status = http.StatusGatewayTimeout
		}
		r = &refusal{status: status, reason: r.reason}
	}
	c.refuse(r)
}

// refuse answers the request with an error generated by the router.
func (c *call) refuse(r *refusal) {
	header := c.writer.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.closes {
		header.Set("Connection", "close")
	}
	if !c.bodyRead && c.request.ContentLength != 0 {
		// The server reads the rest of a short body before it answers, and without an end if
		// the caller does not send it.
		_ = http.NewResponseController(c.writer).SetReadDeadline(steady.OfDay(steady.Now().Add(answerGrace)))
	}
	c.front.announceClose(c.writer)
	header.Set(c.front.options.Dialect.AttemptID, c.id)
	if c.relay != nil {
		header.Set(relayheader.Result, c.relay.result(c, r))
		c.setExclusions(header)
	}
	http.Error(c.writer, r.reason, r.status)
	name := outcomeRefused
	if c.mayHaveRun {
		name = outcomeFailed
	}
	c.setOutcome(name, r.status, r.reason)
}

func (c *call) setOutcome(name string, status int, reason string) {
	c.outcome.name, c.outcome.status, c.outcome.reason = name, status, reason
}

// sampleInterval is how many requests served in time share one log line.
const sampleInterval = 64

// recordEnd counts and logs the call's outcome. Requests that were refused, failed, retried
// or late are always logged; the others are sampled.
func (c *call) recordEnd() {
	f := c.front
	c.retries.End(steady.Now())
	took := steady.Since(c.arrival)
	f.metrics.RecordRequest(c.routeName(), c.outcome.name, took, c.firstByte.Sub(c.arrival), !c.firstByte.IsZero())
	if c.exclusive {
		f.poison.EndRun(c.digest())
	}
	if c.partTrial != nil {
		f.parts.EndRun(*c.partTrial)
	}
	id, written := c.endEvent()
	if !written {
		return
	}
	digest := ""
	if c.cachedDigest != nil {
		digest = c.cachedDigest.String()
	}
	fields := []event.Field{event.F("request", c.id), event.F("digest", digest), event.F("route", c.routeName()), event.F("outcome", c.outcome.name), event.F("status", c.outcome.status),
		event.F("reason", c.outcome.reason), event.F("replica", c.outcome.replica), event.F("sent", c.sent.Load()),
		event.F("may_have_run", c.mayHaveRun), event.F("first_byte_ms", c.firstByteTime().Milliseconds()), event.F("took_ms", took.Milliseconds()),
		event.F("version", c.version), event.F("proof_ms", f.watcher.Staleness(steady.Now()).Milliseconds())}
	f.log.Write(id, append(fields, c.overloadFields()...)...)
}

// routeName returns the name of the route, or "" if none was found.
func (c *call) routeName() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// firstByteTime returns the time to the first byte of the answer, or 0 without one.
func (c *call) firstByteTime() time.Duration {
	if c.firstByte.IsZero() {
		return 0
	}
	return c.firstByte.Sub(c.arrival)
}

func (c *call) endEvent() (id event.ID, written bool) {
	switch c.outcome.name {
	case outcomeRefused:
		return event.RequestRefused, true
	case outcomeFailed, outcomeCut:
		return event.RequestBroken, true
	case outcomeGone:
		return event.CallerGone, true
	}
	late := c.route.Target > 0 && c.firstByteTime() > c.route.Target
	if late || c.sent.Load() > 1 || c.outcome.status >= http.StatusBadRequest {
		return event.RequestLate, true
	}
	return event.RequestSampled, c.front.served.Add(1)%sampleInterval == 0
}
