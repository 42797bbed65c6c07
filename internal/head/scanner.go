package head

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// Scanner looks at the bytes of a head as they arrive, up to the blank line that ends it, for what
// its parser hides: a line that begins with a blank is joined with the one before, whatever field it
// was, and a transfer coding of HTTP/1.0 is dropped, so that its chunks are taken for the body.
//
// The zero value is ready for a head.
type Scanner struct {
	// begin is the beginning of the line that is being read, and lines how many were before.
	begin []byte
	lines int
	ended bool
	// folded: a line begins with a blank. coded: there is a transfer coding.
	folded, coded bool
}

const codingField = "Transfer-Encoding:"

// Add takes the next bytes. Those behind the head are ignored.
func (s *Scanner) Add(b []byte) {
	for len(b) > 0 && !s.ended {
		line, rest, ended := bytes.Cut(b, []byte("\n"))
		s.begin = append(s.begin, line[:min(len(line), len(codingField)-min(len(s.begin), len(codingField)))]...)
		b = rest
		if ended {
			s.endLine()
		}
	}
}

func (s *Scanner) endLine() {
	line := bytes.TrimSuffix(s.begin, []byte("\r"))
	if s.lines > 0 {
		s.ended = len(line) == 0
		s.folded = s.folded || len(line) > 0 && (line[0] == ' ' || line[0] == '\t')
		s.coded = s.coded || strings.EqualFold(string(line), codingField)
	}
	s.lines++
	s.begin = s.begin[:0]
}

// Check is Check for a parsed head whose bytes were added.
func (s *Scanner) Check(r *http.Response) error {
	switch {
	case s.folded:
		return fmt.Errorf("%w: line that begins with a blank", ErrMalformed)
	case s.coded && !r.ProtoAtLeast(1, 1):
		return fmt.Errorf("%w: transfer coding in %s", ErrMalformed, r.Proto)
	}
	return Check(r)
}
