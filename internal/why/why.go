// Package why tells the story of one request from the lines that routers logged.
//
// Lines of other programs, and what stands before the JSON of a line (a time or
// a machine's name, as log collectors add), are passed over; a line that begins
// as JSON and can't be read is counted as broken.
package why

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/event"
)

// Errors of this package.
var (
	// ErrUnknown: no line names the request.
	ErrUnknown = errors.New("why: no line names the request")
	// ErrRead: the lines could not be read.
	ErrRead = errors.New("why: cannot read")
)

// Line is one event of a log.
type Line struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Event    int       `json:"event"`
	Message  string    `json:"msg"`
	Request  string    `json:"request,omitempty"`
	Replica  string    `json:"replica,omitempty"`
	// Fields are all others, as they were logged.
	Fields map[string]json.RawMessage `json:"fields"`
}

// Log is what was read.
type Log struct {
	lines []Line
	// Broken is the number of lines that could not be read.
	Broken int
}

// maxLine bounds a line, in bytes.
const maxLine = 1 << 20

// Read adds the lines of a reader.
func (l *Log) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.add(scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("%w: %w", ErrRead, err)
	}
	return nil
}

func (l *Log) add(text string) {
	start := strings.Index(text, `{"`)
	if start < 0 {
		return
	}
	line, err := parse([]byte(text[start:]))
	if err != nil {
		l.Broken++
		return
	}
	if line.Event != 0 {
		l.lines = append(l.lines, line)
	}
}

// parse reads one line. Known fields are taken out of Fields.
func parse(text []byte) (Line, error) {
	var line Line
	if err := json.Unmarshal(text, &line); err != nil {
		return Line{}, err
	}
	line.Fields = nil
	if err := json.Unmarshal(text, &line.Fields); err != nil {
		return Line{}, err
	}
	for _, known := range []string{"time", "instance", "event", "msg", "level", "request", "replica"} {
		delete(line.Fields, known)
	}
	return line, nil
}

// Story is what happened to one request.
type Story struct {
	Request string `json:"request"`
	// Lines are those that name the request, in order.
	Lines []Line `json:"lines"`
	// Alike are the lines, of any time and router, on requests of the same content: which
	// replicas crashed beside them, and whether such requests are held for it.
	Alike []Line `json:"alike,omitempty"`
	// Beliefs are what the routers concerned came to believe shortly before and
	// meanwhile: of the replicas concerned, the configuration, the platform, the
	// other routers, and of starts and stops.
	Beliefs []Line `json:"beliefs"`
}

// before is how long before a request's first line beliefs are of interest.
const before = 5 * time.Second

// Of tells the story of a request.
func (l *Log) Of(request string) (Story, error) {
	s := Story{Request: request}
	instances, replicas := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		if line.Request == request {
			s.Lines = append(s.Lines, line)
			instances[line.Instance] = true
			replicas[line.Replica] = true
		}
	}
	if len(s.Lines) == 0 {
		return Story{}, fmt.Errorf("%w: %q", ErrUnknown, request)
	}
	sortByTime(s.Lines)
	from, to := s.Lines[0].Time.Add(-before), s.Lines[len(s.Lines)-1].Time
	digests := digestsOf(s.Lines)
	for _, line := range l.lines {
		if line.Request != request && tellsOfCrashes(line) && digests[line.digest()] {
			s.Alike = append(s.Alike, line)
			continue
		}
		within := !line.Time.Before(from) && !line.Time.After(to)
		if within && instances[line.Instance] && line.Request != request && isBelief(line, replicas) {
			s.Beliefs = append(s.Beliefs, line)
		}
	}
	sortByTime(s.Alike)
	sortByTime(s.Beliefs)
	return s, nil
}

// digest returns what names the content of the line's request, or an empty text.
func (l Line) digest() string { return strings.Trim(string(l.Fields["digest"]), `"`) }

// tellsOfCrashes tells whether a line says what requests of one content did to replicas.
func tellsOfCrashes(line Line) bool {
	switch event.ID(line.Event) {
	case event.ReplicaEnded, event.RequestHeld, event.RequestCleared:
		return true
	}
	return false
}

func digestsOf(lines []Line) map[string]bool {
	digests := make(map[string]bool)
	for _, line := range lines {
		if d := line.digest(); d != "" {
			digests[d] = true
		}
	}
	return digests
}

// Groups of events, by hundreds.
const (
	group        = 100
	requestGroup = 4
)

// isBelief tells whether a line is of interest beside a request: those on
// replicas only if they are concerned, those on other requests never.
func isBelief(line Line, replicas map[string]bool) bool {
	if line.Event/group == requestGroup && !tellsOfOverload(line) {
		return false
	}
	return line.Replica == "" || replicas[line.Replica]
}

func sortByTime(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
}

// Write writes the story for people.
func (s Story) Write(out io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s, %d lines\n", s.Request, len(s.Lines))
	writeLines(&b, s.Lines, s.Lines[0].Time)
	if len(s.Alike) > 0 {
		b.WriteString("\nof requests with the same content\n")
		writeLines(&b, s.Alike, s.Lines[0].Time)
	}
	if len(s.Beliefs) > 0 {
		fmt.Fprintf(&b, "\nwhat its routers came to believe, from %s before\n", before)
		writeLines(&b, s.Beliefs, s.Lines[0].Time)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func writeLines(b *strings.Builder, lines []Line, start time.Time) {
	for _, line := range lines {
		fmt.Fprintf(b, "%+8.3f s  %s  %d %s", line.Time.Sub(start).Seconds(), line.Instance, line.Event, line.Message)
		if line.Replica != "" {
			fmt.Fprintf(b, "  replica=%s", line.Replica)
		}
		for _, name := range names(line.Fields) {
			fmt.Fprintf(b, "  %s=%s", name, strings.Trim(string(line.Fields[name]), `"`))
		}
		b.WriteByte('\n')
		if text := line.overloadText(); text != "" {
			fmt.Fprintf(b, "            %s\n", text)
		}
	}
}

// names returns the names of the fields that say something, sorted.
func names(fields map[string]json.RawMessage) []string {
	var list []string
	for name, value := range fields {
		if text := string(value); text != `""` && text != "null" {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(a, b) })
	return list
}
