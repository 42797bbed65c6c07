package eventstream

import "bytes"

// Tracker follows the bytes of an event stream and reports whether they end within an
// event. An event ends with an empty line.
type Tracker struct {
	// tail is the end of what was added: as much as an empty line and the end of the line
	// before it take.
	tail []byte
}

// maxEventEnd is the longest end of an event, in bytes: "\n" and "\r\n".
const maxEventEnd = 3

// NewTracker returns a tracker of a stream that has not begun.
func NewTracker() *Tracker { return &Tracker{tail: []byte("\n\n")} }

// Add takes the next bytes of the stream.
func (t *Tracker) Add(b []byte) {
	b = b[max(len(b)-maxEventEnd, 0):]
	t.tail = append(t.tail, b...)
	if excess := len(t.tail) - maxEventEnd; excess > 0 {
		t.tail = append(t.tail[:0], t.tail[excess:]...)
	}
}

// WithinEvent reports whether the stream ends within an event.
func (t *Tracker) WithinEvent() bool {
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
