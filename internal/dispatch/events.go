package dispatch

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"mime"

	"github.com/croftyard/croftyard/pkg/membudget"
)

// EndMarker is the data of the event that ends a whole stream.
const EndMarker = "[DONE]"

const (
	// maxEvent bounds one event of a stream, in bytes.
	maxEvent = 1 << 20
	// shortEvent is the longest event that counts for nothing, maxLongEvents the most bytes of
	// all longer ones that a dispatcher holds.
	shortEvent    = 16 << 10
	maxLongEvents = 32 << 20
)

// batch is the most bytes of whole events passed on together.
const batch = 32 << 10

// IsEventStream reports whether a content type is that of an event stream.
func IsEventStream(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && kind == "text/event-stream"
}

// passEvents passes a stream event by event. Events that arrived together are
// passed on together, which saves most of the cost a token; nothing waits for a
// later event. The stream is whole only if its end marker came.
func (a *attempt) passEvents(body io.Reader) error {
	in := bufio.NewReaderSize(body, shortEvent)
	out := make([]byte, 0, shortEvent)
	held := longEvents{budget: &a.dispatcher.longEvents}
	defer held.release()
	for {
		start := len(out)
		var err error
		out, err = appendEvent(out, in, &held)
		if err != nil {
			// Half an event is not passed on: a resumed stream begins with it.
			return a.broken(out[:start], err)
		}
		a.events++
		end := isEnd(out[start:])
		if !end && hasEvent(in) && len(out) < batch {
			continue
		}
		if a.sink.Chunk(out) != nil {
			return ErrCallerGone
		}
		if end {
			return nil
		}
		out = out[:0]
		if held.reserved > 0 {
			held.release()
			out = make([]byte, 0, shortEvent)
		}
	}
}

// longEvents is what one stream holds of long events.
type longEvents struct {
	budget   *membudget.Budget
	reserved int64
}

// reserve makes room for n bytes in all, and reports whether there was room.
func (l *longEvents) reserve(n int64) bool {
	if n <= l.reserved {
		return true
	}
	if !l.budget.Reserve(n - l.reserved) {
		return false
	}
	l.reserved = n
	return true
}

func (l *longEvents) release() {
	l.budget.Release(l.reserved)
	l.reserved = 0
}

func (a *attempt) broken(rest []byte, err error) error {
	if len(rest) > 0 && a.sink.Chunk(rest) != nil {
		return ErrCallerGone
	}
	return fmt.Errorf("%w: %v", errBroken, err)
}

// errNoRoom means that too much is held of long events.
var errNoRoom = errors.New("no room for a long event")

// appendEvent appends the next event with its closing blank line. Room for a long one is reserved
// before it grows.
func appendEvent(out []byte, in *bufio.Reader, held *longEvents) ([]byte, error) {
	start := len(out)
	for {
		line, err := in.ReadSlice('\n')
		if n := len(out) + len(line); n-start > shortEvent && !held.reserve(int64(n)) {
			return out, errNoRoom
		}
		out = append(out, line...)
		if err == bufio.ErrBufferFull {
			err = nil
		} else if err == nil && isBlank(line) && len(out)-start > len(line) {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		if len(out)-start > maxEvent {
			return out, fmt.Errorf("event longer than %d bytes", maxEvent)
		}
	}
}

func isBlank(line []byte) bool {
	return len(bytes.TrimRight(line, "\r\n")) == 0
}

// hasEvent tells whether a whole event can be read without waiting.
func hasEvent(in *bufio.Reader) bool {
	waiting, err := in.Peek(in.Buffered())
	return err == nil && bytes.Contains(waiting, []byte("\n\n"))
}

// isEnd tells whether an event is the end marker.
func isEnd(event []byte) bool {
	data, found := bytes.CutPrefix(bytes.TrimSpace(event), []byte("data:"))
	return found && string(bytes.TrimSpace(data)) == EndMarker
}
