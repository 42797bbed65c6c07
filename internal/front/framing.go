package front

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/upstream"
)

// A replica's answer may have neither a length nor chunks and end with its connection. Whether
// such an answer is complete is not known, and the caller's answer must not claim more: it ends
// with the caller's connection. What is known to be broken off ends with a reset instead.

// errEndUnknown means that an answer ended with its connection after its caller was promised
// one whose end is marked.
var errEndUnknown = errors.New("front: end of the answer unknown")

// setFraming selects how the caller finds the end of its answer.
func (c *call) setFraming(answer *upstream.Answer) {
	header := c.writer.Header()
	// A stream may prove broken after its last byte, which a length would declare complete.
	if answer.ContentLength >= 0 && !isEventStream(answer.Response) {
		header.Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
		return
	}
	if answer.Undelimited() {
		// Makes the HTTP server end the answer with the connection.
		header.Set("Transfer-Encoding", "identity")
	}
	// HTTP/1.0 has no chunks.
	c.endsWithConnection = answer.Undelimited() || !c.request.ProtoAtLeast(1, 1)
	if c.endsWithConnection {
		// If the process is killed, the system must not end the answer in order.
		conns.ResetOnClose(c.request.Context(), true)
	}
}

// endInOrder lets the caller's connection end regularly after an answer that may be complete.
func (c *call) endInOrder() {
	if c.endsWithConnection {
		conns.ResetOnClose(c.request.Context(), false)
	}
}

// checkEnd returns errEndUnknown if an answer that ended without an error has an unknown end
// which the caller would take for a known one.
func (c *call) checkEnd(answer *upstream.Answer, err error) error {
	if err == nil && answer.Undelimited() && !c.endsWithConnection {
		return errEndUnknown
	}
	return err
}

// abort ends the caller's connection so that its answer does not look complete.
func (c *call) abort() {
	if c.headSent && c.endsWithConnection {
		conns.Reset(c.writer)
	}
	panic(http.ErrAbortHandler)
}

// recordUndelimited counts an answer that ended with its connection and logs it if it was
// broken off within an event, and one of many otherwise.
func (c *call) recordUndelimited(answer *upstream.Answer, err error) {
	if !answer.Undelimited() || err != nil && !errors.Is(err, errPartial) {
		return
	}
	f := c.front
	f.metrics.UndelimitedAnswers.Inc(1)
	within := c.position.WithinEvent || errors.Is(err, errPartial)
	if !within && f.metrics.UndelimitedAnswers.Count()%sampleInterval != 0 {
		return
	}
	f.log.Write(event.AnswerUndelimited, event.F("request", c.id), event.F("replica", c.outcome.replica), event.F("route", c.routeName()),
		event.F("stream", isEventStream(answer.Response)), event.F("within_event", within), event.F("bytes", c.written))
}
