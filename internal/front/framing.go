package front

import (
	"bytes"
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

// eventTracker follows the bytes of an event stream and reports whether they end within an
// event. An event ends with an empty line.
type eventTracker struct {
	// tail is the end of what was added: as much as an empty line and the end of the line
	// before it take.
	tail []byte
}

// maxEventEnd is the longest end of an event, in bytes: "\n" and "\r\n".
const maxEventEnd = 3

func newEventTracker() *eventTracker { return &eventTracker{tail: []byte("\n\n")} }

// add appends bytes of the stream.
func (t *eventTracker) add(b []byte) {
	b = b[max(len(b)-maxEventEnd, 0):]
	t.tail = append(t.tail, b...)
	if excess := len(t.tail) - maxEventEnd; excess > 0 {
		t.tail = append(t.tail[:0], t.tail[excess:]...)
	}
}

func (t *eventTracker) withinEvent() bool {
	line, ended := cutLineEnd(t.tail)
	if !ended {
		return true
	}
	_, empty := cutLineEnd(line)
	return !empty
}

// cutLineEnd removes the end of a line: CR LF, LF or CR.
func cutLineEnd(b []byte) (line []byte, found bool) {
	for _, end := range []string{"\r\n", "\n", "\r"} {
		if line, found = bytes.CutSuffix(b, []byte(end)); found {
			return line, true
		}
	}
	return b, false
}

// recordUndelimited counts an answer that ended with its connection and logs it if it was
// broken off within an event, and one of many otherwise.
func (c *call) recordUndelimited(answer *upstream.Answer, err error) {
	if !answer.Undelimited() || err != nil && !errors.Is(err, errPartial) {
		return
	}
	f := c.front
	f.metrics.UndelimitedAnswers.Inc(1)
	within := c.withinEvent || errors.Is(err, errPartial)
	if !within && f.metrics.UndelimitedAnswers.Count()%sampleInterval != 0 {
		return
	}
	f.log.Write(event.AnswerUndelimited, event.F("request", c.id), event.F("replica", c.outcome.replica), event.F("route", c.routeName()),
		event.F("stream", isEventStream(answer.Response)), event.F("within_event", within), event.F("bytes", c.written))
}
