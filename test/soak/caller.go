package soak

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// conn is a caller's connection to a router, used for one request after another
// until it is closed or an answer says that it was the last.
type conn struct {
	net.Conn
	reader *bufio.Reader
	life   *Life
	served int
}

// dialTime is how long a caller gives a new connection to come up. Source: the
// users' protocol.
const dialTime = time.Second

// dial opens a connection to the process that serves at a router now.
func dial(r *router) (*conn, error) {
	raw, err := net.DialTimeout("tcp", r.callers, dialTime)
	if err != nil {
		return nil, fmt.Errorf("soak: %w", err)
	}
	life, _ := r.current()
	return &conn{Conn: raw, reader: bufio.NewReader(raw), life: life}, nil
}

// style is how a request is sent.
type style struct {
	body    []byte
	chunked bool
	// pause stands between the two halves of a body.
	pause time.Duration
	// leave is after how long the caller leaves; 0: it stays.
	leave time.Duration
}

// answerSlack is how long after its deadline a caller still waits.
const answerSlack = 500 * time.Millisecond

// exchange sends a request and reads its answer. It tells whether the connection can
// be used again.
func (c *conn) exchange(a *Attempt, s style) bool {
	a.Life, a.Reused, a.BodySum = c.life, c.served > 0, standin.Sum(s.body)
	a.Unasked = c.reader.Buffered() > 0
	c.served++
	a.Sent = time.Now()
	stay := c.leaveAfter(s.leave)
	// The connection may be closed already, which shows when it is used.
	_ = c.SetDeadline(a.Sent.Add(a.Deadline + answerSlack))
	err := c.send(a, s)
	a.LastByte = time.Now()
	a.Whole = err == nil
	again := false
	if err == nil {
		again, err = c.receive(a)
	}
	a.End = time.Now()
	left := stay()
	c.note(a, err, left)
	return again && left.IsZero()
}

// leaveAfter closes the connection after d; 0: never. The function returned takes that back,
// and returns when the connection was closed if it is too late.
func (c *conn) leaveAfter(d time.Duration) (stay func() time.Time) {
	if d == 0 {
		return func() time.Time { return time.Time{} }
	}
	left := make(chan time.Time, 1)
	timer := time.AfterFunc(d, func() {
		at := time.Now()
		c.Close()
		left <- at
	})
	return func() time.Time {
		if timer.Stop() {
			return time.Time{}
		}
		return <-left
	}
}

// note tells apart how an exchange ended early.
func (c *conn) note(a *Attempt, err error, left time.Time) {
	if err == nil {
		return
	}
	a.Detail = err.Error()
	switch {
	case !left.IsZero() && !left.After(a.End):
		a.LeftAt = left
	case errors.Is(err, os.ErrDeadlineExceeded):
		// The caller gives up and closes the connection.
		a.LeftAt = a.End
	case errors.Is(err, errGarbled):
		a.Unasked = true
	default:
		a.Closed, a.Reset = true, errors.Is(err, syscall.ECONNRESET)
	}
	c.Close()
}

// send writes head and body, the body in two halves if there is a pause.
func (c *conn) send(a *Attempt, s style) error {
	var head bytes.Buffer
	names := platform.Dialect()
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", a.Method, a.Path, host)
	fmt.Fprintf(&head, "%s: %s\r\n%s: %d\r\n%s: %s%s\r\n", names.AttemptID, a.ID, names.Deadline, a.Deadline.Milliseconds(), names.Key, names.KeyScheme, a.Key)
	if a.Resumes != "" {
		fmt.Fprintf(&head, "%s: %s\r\nLast-Event-Id: %d\r\n", names.Resumes, a.Resumes, a.After)
	}
	if a.Parts != "" {
		fmt.Fprintf(&head, "%s: %s\r\n", names.PromptParts, a.Parts)
	}
	if s.chunked {
		head.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n", len(s.body))
	}
	half := len(s.body) / 2
	head.Write(s.frame(s.body[:half]))
	rest := s.frame(s.body[half:])
	if s.chunked {
		rest = append(rest, "0\r\n\r\n"...)
	}
	if s.pause == 0 {
		head.Write(rest)
		_, err := c.Write(head.Bytes())
		return err
	}
	if _, err := c.Write(head.Bytes()); err != nil {
		return err
	}
	time.Sleep(s.pause)
	_, err := c.Write(rest)
	return err
}

// frame returns a part of a body as it is sent.
func (s style) frame(part []byte) []byte {
	if !s.chunked || len(part) == 0 {
		return bytes.Clone(part)
	}
	return fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
}

// errGarbled: what came is no answer.
var errGarbled = errors.New("soak: no answer in the protocol")

// receive reads an answer and tells whether the connection can be used again.
func (c *conn) receive(a *Attempt) (again bool, err error) {
	if _, err := c.reader.Peek(1); err != nil {
		return false, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: a.Method})
	if err != nil {
		return false, asGarbled(err)
	}
	a.Status = response.StatusCode
	a.EchoedID = response.Header.Get(platform.Dialect().AttemptID)
	a.Signature = response.Header.Get(platform.SignatureHeader)
	a.Undelimited = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	a.HeadAt, a.Leaving = time.Now(), response.Header.Get(platform.Dialect().ShuttingDown) != ""
	if strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		err = readEvents(a, response.Body)
	} else {
		var body []byte
		body, err = io.ReadAll(response.Body)
		a.Body = string(body)
	}
	a.Complete = err == nil
	a.Unasked = a.Unasked || a.Complete && c.reader.Buffered() > 0
	return a.Complete && !response.Close, err
}

// asGarbled tells bytes that are no answer from a connection that ended.
func asGarbled(err error) error {
	var network net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &network) {
		return err
	}
	return fmt.Errorf("%w: %w", errGarbled, err)
}

// readEvents reads whole events until the stream ends. What ends within an event is
// not complete.
func readEvents(a *Attempt, body io.Reader) error {
	lines := bufio.NewReader(body)
	var event Event
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" && event == (Event{}) {
			return nil
		}
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimRight(line, "\r\n"), ":")
		switch name {
		case "id":
			event.ID = strings.TrimSpace(value)
		case "data":
			event.Data, event.Version, _ = strings.Cut(strings.TrimSpace(value), standin.VersionMark)
		case "":
			a.Seen = append(a.Seen, event)
			event = Event{}
		}
	}
}

// bodyOf returns a body of some size that is known by its attempt.
func bodyOf(id string, size int) []byte {
	text := id + " " + strconv.Itoa(size) + " "
	return []byte(strings.Repeat(text, size/len(text)+1)[:size])
}
