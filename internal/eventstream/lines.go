// Package eventstream reads the text of event streams: their lines, whether they end within an event,
// and the fields that say where a stream goes on. The format is that of text/event-stream in the HTML
// standard, section 9.2.
//
//	Lines    the lines of a stream
//	Tracker  whether what was added so far ends within an event
//	Fields   the id of an event, and whether it has data
package eventstream

import (
	"bufio"
	"bytes"
	"io"
)

// Lines reads the lines of an event stream, which end in CR LF, LF or CR.
type Lines struct {
	reader *bufio.Reader
	// crOnly is set if the last line ended in CR alone.
	crOnly bool
}

// NewLines returns the lines of a stream.
func NewLines(r io.Reader) *Lines { return &Lines{reader: bufio.NewReader(r)} }

// Next returns the next line with its end, or a part of a line that is longer than the buffer, for
// which ended is not set. The bytes are valid until the next call. What is left before an error is
// returned with it.
func (l *Lines) Next() (line []byte, ended bool, err error) {
	for scanned := 0; ; {
		// What is buffered is returned without an error.
		buffered, _ := l.reader.Peek(l.reader.Buffered())
		i := indexLineEnd(buffered, scanned)
		if i > 0 && i+1 == l.reader.Size() && buffered[i] == '\r' {
			// There is no room for LF behind it.
			return l.take(i), false, nil
		}
		if i >= 0 {
			return l.take(l.lineLength(buffered, i)), true, nil
		}
		scanned = len(buffered)
		if scanned == l.reader.Size() {
			return l.take(scanned), false, nil
		}
		if _, err := l.reader.Peek(scanned + 1); err != nil {
			return l.take(scanned), false, err
		}
	}
}

// lineLength returns the length of a line with its end, which begins at i. Behind CR, LF is waited
// for unless the line may end its event with CR: nothing may follow then for a while.
func (l *Lines) lineLength(buffered []byte, i int) int {
	if buffered[i] == '\n' {
		l.crOnly = false
		return i + 1
	}
	if i+1 == len(buffered) && (i > 0 || !l.crOnly) {
		// Without a next byte the line ends in CR.
		buffered, _ = l.reader.Peek(i + 2)
	}
	if i+1 < len(buffered) && buffered[i+1] == '\n' {
		l.crOnly = false
		return i + 2
	}
	l.crOnly = true
	return i + 1
}

// take consumes n bytes that are buffered.
func (l *Lines) take(n int) []byte {
	b, _ := l.reader.Peek(n)
	_, _ = l.reader.Discard(n)
	return b
}

// indexLineEnd returns where the first line of b ends, from an index on, or -1.
func indexLineEnd(b []byte, from int) int {
	end := bytes.IndexByte(b[from:], '\n')
	if end >= 0 {
		b = b[:from+end]
	}
	if cr := bytes.IndexByte(b[from:], '\r'); cr >= 0 {
		return from + cr
	}
	if end < 0 {
		return -1
	}
	return from + end
}
