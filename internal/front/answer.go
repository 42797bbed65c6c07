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
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

// connectionHeaders pertain to one connection and are never passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns a copy of a header without what pertains to one connection.
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

// drain reads a short answer to its end, so that its connection can be kept.
func drain(answer *upstream.Answer) {
	const most = 64 << 10
	// An answer that does not end closes its connection.
	_, _ = io.CopyN(io.Discard, answer, most)
}

// forward sends a replica's answer to the caller.
func (c *call) forward(ctx context.Context, cancel context.CancelCauseFunc, choice balance.Choice, answer *upstream.Answer) attemptResult {
	resumable := c.route.Resumable && !c.front.options.Without.Has(mechanism.Resume) && answer.StatusCode == http.StatusOK
	if c.begun && !isEventStream(answer.Response) {
		c.outcome.reason = "replica does not resume"
		drain(answer)
		return c.retry(c.outcome.reason)
	}
	if c.begun {
		c.front.log.Write(event.StreamResumed, event.F("request", c.id), event.F("replica", choice.Replica.ID), event.F("after_event", c.lastEvent))
	} else {
		c.forwardHead(answer, resumable)
	}
	var err error
	if resumable && isEventStream(answer.Response) {
		err = c.forwardResumable(choice.Replica.ID, answer, cancel)
	} else {
		err = c.forwardBody(answer)
	}
	if err == nil {
		c.noteServed(answer.StatusCode)
		c.observePace(choice.Replica.ID)
		c.front.longest.Record(c.route.Name, steady.Since(c.arrival), steady.Now())
		c.setOutcome(outcomeServed, answer.StatusCode, "")
		return attemptFinished
	}
	return c.handleBrokenAnswer(ctx, choice, err, resumable)
}

// observePace reports to the balancer how fast an engine generated a stream. The first event
// depends on the prompt; those after it on the engine.
func (c *call) observePace(id string) {
	const enough = 4
	if c.service.Engine != nil && c.chunks >= enough {
		c.front.balancer.RecordDuration(id, steady.Since(c.firstByte)/time.Duration(c.chunks-1))
	}
}

func isEventStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream")
}

func (c *call) forwardHead(answer *upstream.Answer, resumable bool) {
	header := c.writer.Header()
	for name, values := range forwardedHeader(answer.Header) {
		header[name] = values
	}
	if _, told := answer.Header["Date"]; !told {
		header["Date"] = nil
	}
	if answer.ContentLength >= 0 && !resumable {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
	}
	c.front.announceClose(c.writer)
	c.writer.WriteHeader(answer.StatusCode)
	c.begun = true
	c.firstByte = steady.Now()
}

// How calls end.
const (
	outcomeServed  = "served"
	outcomeRefused = "refused"
	outcomeFailed  = "failed"
	outcomeCut     = "cut"
	outcomeGone    = "caller_gone"
)

var errCallerGone = errors.New("front: caller gone")

// forwardBody forwards a body as it arrives.
func (c *call) forwardBody(answer *upstream.Answer) error {
	const size = 16 << 10
	buffer := make([]byte, size)
	for {
		n, err := answer.Read(buffer)
		if n > 0 {
			if err := c.write(buffer[:n]); err != nil {
				return err
			}
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
	if err := http.NewResponseController(c.writer).Flush(); err != nil {
		return errCallerGone
	}
	return nil
}

// handleBrokenAnswer handles an answer that ended early.
func (c *call) handleBrokenAnswer(ctx context.Context, choice balance.Choice, err error, resumable bool) attemptResult {
	switch {
	case errors.Is(err, errCallerGone), c.request.Context().Err() != nil:
		c.callerGone()
		return attemptFinished
	case errors.Is(context.Cause(ctx), errSilent):
		c.outcome.reason = "stream fell silent"
		c.noteAbandoned(choice)
		return c.retry(c.outcome.reason)
	case ctx.Err() != nil:
		c.outcome.reason = "time is over"
		return attemptGiveUp
	}
	c.outcome.reason = "answer broken off: " + err.Error()
	c.noteBroken(choice)
	if resumable && steady.Until(c.end) > 0 {
		return c.retry("stream broken off")
	}
	return attemptGiveUp
}

// callerGone ends a call whose caller left. The connection to the replica is
// closed on the way out, which stops the work, and the caller's as well: one that
// closed its sending side only must not take what it has for a whole answer.
func (c *call) callerGone() {
	c.setOutcome(outcomeGone, 0, c.outcome.reason)
	panic(http.ErrAbortHandler)
}

// giveUp tells the caller that there will be no answer, at once. Only what
// cannot have run is refused with a promise.
func (c *call) giveUp(r *refusal) {
	if c.request.Context().Err() != nil {
		c.callerGone()
		return
	}
	if c.begun {
		c.setOutcome(outcomeCut, 0, r.reason)
		// The answer must not look complete.
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun {
		status := http.StatusBadGateway
		if !steady.Now().Before(c.end) {
			status = http.StatusGatewayTimeout
		}
		r = &refusal{status: status, reason: r.reason}
	}
	c.refuse(r)
}

// refuse writes an answer of the router's own.
func (c *call) refuse(r *refusal) {
	header := c.writer.Header()
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(r.retryAfter.Seconds(), 'f', 3, 64))
	}
	if r.closes {
		header.Set("Connection", "close")
	}
	c.front.announceClose(c.writer)
	header.Set(c.front.options.Dialect.AttemptID, c.id)
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

// sampleEvery is how many requests that were served in time share one line.
const sampleEvery = 64

// recordEnd counts and logs the call's end. A request that was refused, failed,
// repeated or late always has its line; the others are sampled.
func (c *call) recordEnd() {
	f := c.front
	took := steady.Since(c.arrival)
	f.metrics.RecordRequest(c.name(), c.outcome.name, took, c.firstByte.Sub(c.arrival), !c.firstByte.IsZero())
	if c.exclusive {
		f.poison.EndRun(c.digest())
	}
	id, written := c.endEvent()
	if !written {
		return
	}
	digest := ""
	if c.named != nil {
		digest = c.named.String()
	}
	f.log.Write(id, event.F("request", c.id), event.F("digest", digest), event.F("route", c.name()), event.F("outcome", c.outcome.name), event.F("status", c.outcome.status),
		event.F("reason", c.outcome.reason), event.F("replica", c.outcome.replica), event.F("sent", c.sent.Load()),
		event.F("may_have_run", c.mayHaveRun), event.F("first_byte_ms", c.firstByteTime().Milliseconds()), event.F("took_ms", took.Milliseconds()),
		event.F("version", c.version), event.F("proof_ms", f.watcher.Staleness(steady.Now()).Milliseconds()))
}

// name is that of the route, if one was found.
func (c *call) name() string {
	if c.route == nil {
		return ""
	}
	return c.route.Name
}

// firstByteTime is the time to the first byte of the answer, or 0 without one.
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
	return event.RequestSampled, c.front.served.Add(1)%sampleEvery == 0
}
