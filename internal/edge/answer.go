package edge

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/dispatch"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/membudget"
)

// answer writes a request's answer to its caller.
//
// A stream is passed on as it comes. Any other answer is held until it is
// whole, so that a target that fails half way becomes a clear error; only one
// that outgrows the buffer, or the budget of all buffers, is passed on early,
// and then a failure breaks the connection, never ends the body cleanly.
type answer struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	// stream: a stream was asked for and, once there is a head, is what comes.
	stream  bool
	seal    sealer
	observe observer
	// idle is how long a caller may take to read a piece.
	idle  time.Duration
	head  dispatch.Head
	begun bool
	held  []byte
	// budget counts the held bytes of all answers; reserved are those of this one.
	budget   *membudget.Budget
	reserved int64
	// request is the context of the caller's request.
	request context.Context
}

const (
	// holdAtMost is the most bytes of an answer that are held back.
	holdAtMost = 1 << 20
	// holdTogether is the same of all answers of an edge.
	holdTogether = 32 << 20
)

func newAnswer(w http.ResponseWriter, stream bool, idle time.Duration, o observer) *answer {
	return &answer{
		writer: w, control: http.NewResponseController(w), stream: stream, idle: idle, observe: o,
		budget: new(membudget.Budget), request: context.Background(),
	}
}

// newAnswer returns the answer to a request of this edge.
func (e *Edge) newAnswer(w http.ResponseWriter, r *http.Request, stream bool) *answer {
	a := newAnswer(w, stream, e.limits.Idle, e.observer())
	a.budget, a.request = &e.held, r.Context()
	return a
}

// write writes a piece to the caller. One who does not read for as long as idle
// is gone: without the deadline the write would block past the request's own.
func (a *answer) write(b []byte) error {
	if err := a.control.SetWriteDeadline(time.Now().Add(a.idle)); err != nil {
		return err
	}
	_, err := a.writer.Write(b)
	return err
}

// Served implements job.Answer.
func (a *answer) Served(engine string) error {
	if a.seal != nil {
		a.writer.Header().Set(ChatHeader, a.seal(engine))
	}
	return nil
}

// Head implements dispatch.Sink.
func (a *answer) Head(h dispatch.Head) error {
	a.head = h
	a.observe.head()
	if h.Undelimited {
		// Makes the HTTP server end the answer with the connection, so that it claims no more
		// than the target's.
		a.writer.Header().Set("Transfer-Encoding", "identity")
		// If the process is killed, the system must not end the answer in order.
		conns.ResetOnClose(a.request, true)
	}
	if h.ContentType != "" {
		a.writer.Header().Set("Content-Type", h.ContentType)
	}
	a.stream = a.stream && h.Status == http.StatusOK && dispatch.IsEventStream(h.ContentType)
	if a.stream {
		a.writer.Header().Set("Cache-Control", "no-store")
		a.begin()
		return a.control.Flush()
	}
	return nil
}

func (a *answer) begin() {
	a.begun = true
	if a.head.Status >= http.StatusBadRequest {
		// The target's own error, after which it is unknown what it did.
		a.writer.Header().Set(RanHeader, ranUnknown)
	}
	a.writer.WriteHeader(a.head.Status)
}

// Chunk implements dispatch.Sink.
func (a *answer) Chunk(b []byte) error {
	if a.stream {
		a.observe.events(b)
		if err := a.write(b); err != nil {
			return err
		}
		return a.control.Flush()
	}
	if a.begun {
		return a.write(b)
	}
	hasRoom := a.budget.Reserve(int64(len(b)))
	if hasRoom {
		a.reserved += int64(len(b))
	}
	a.held = append(a.held, b...)
	if hasRoom && len(a.held) <= holdAtMost {
		return nil
	}
	return a.release()
}

// release writes what is held.
func (a *answer) release() error {
	a.begin()
	a.observe.usage(a.held)
	err := a.write(a.held)
	a.drop()
	return err
}

// drop forgets what is held.
func (a *answer) drop() {
	a.budget.Release(a.reserved)
	a.held, a.reserved = nil, 0
}

// finish ends the answer: whole, refused, or visibly broken.
func (a *answer) finish(refusal *admission.Refusal) {
	if a.head.Undelimited && (refusal == nil || !a.begun) {
		conns.ResetOnClose(a.request, false)
	}
	switch {
	case refusal == nil && !a.begun:
		// A caller that left needs no answer.
		_ = a.release()
	case refusal == nil:
	case !a.begun:
		a.drop()
		a.writer.Header().Del(ChatHeader)
		a.writer.Header().Del("Content-Type")
		a.writer.Header().Del("Transfer-Encoding")
		writeProblem(a.writer, refusalProblem(refusal))
	case a.stream:
		a.breakStream(refusal)
	default:
		// Ends the connection without the body's end, which the caller sees.
		if a.head.Undelimited {
			conns.Reset(a.writer)
		}
		panic(http.ErrAbortHandler)
	}
}

// streamError is the last event of a stream that could not go on. No end
// marker follows it.
type streamError struct {
	Error streamErrorBody `json:"error"`
}

type streamErrorBody struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func (a *answer) breakStream(refusal *admission.Refusal) {
	event := streamError{Error: streamErrorBody{
		Message: refusal.Detail,
		Type:    "croftyard_stream_broken",
		Code:    refusal.Reason.String(),
	}}
	data, err := json.Marshal(event)
	if err != nil {
		panic(err)
	}
	// A caller that left needs no answer.
	_ = a.write([]byte("data: " + string(data) + "\n\n"))
	_ = a.control.Flush()
}
