// Package dispatch sends one request to one target over HTTP and brings the
// answer back whole, or says what is known of it.
//
//	Request -> target: POST, Croftyard-Attempt: 128 random bits
//	target -> answer with the same Croftyard-Attempt, else it is dropped
//
// The point of the package is the certainty of its outcome. NotRun is claimed
// only when no byte can have reached the target, or when the target itself said
// that it does not take the request. The HTTP library must not repeat anything
// by itself: it does so for any request with an Idempotency-Key header whose
// body it can rewind, so bodies here cannot be rewound.
package dispatch

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/head"
	"github.com/croftyard/croftyard/internal/retryafter"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/membudget"
)

// Headers between router and target.
const (
	AttemptHeader = "Croftyard-Attempt"
	ResumeHeader  = "Croftyard-Resume-From"
	// LeavingHeader tells that the target leaves; on a 503 also that it did not run the
	// request.
	LeavingHeader = "Croftyard-Leaving"
	KeyHeader     = "Idempotency-Key"
	AdapterHeader = "Croftyard-Adapter"
)

// Request is one attempt's request.
type Request struct {
	Method string
	// Address is the target's host:port, Path what follows with its query.
	Address     string
	Path        string
	ContentType string
	Body        []byte
	// Attempt is the id that the target has to echo.
	Attempt string
	// Key is the caller's Idempotency-Key, or empty.
	Key string
	// Adapter is the adapter that the engine is to use, or empty.
	Adapter string
	// Stream tells that a server-sent event stream is expected.
	Stream bool
}

// Head is what precedes the answer's bytes.
type Head struct {
	Status      int
	ContentType string
	// Undelimited: the answer has neither a length nor chunks, so its end does not prove it
	// complete. Streams end with a marker.
	Undelimited bool
}

// Sink takes an answer as it comes. An error ends the attempt: the caller left.
type Sink interface {
	Head(Head) error
	// Chunk takes bytes that it must not keep.
	Chunk([]byte) error
}

// Outcome is what is known after an attempt.
type Outcome struct {
	// Whole: the answer reached the sink to its end.
	Whole bool
	// EndUnknown: that end is the connection's, which does not prove it complete.
	EndUnknown bool
	// NotRun: the target cannot have run the request.
	NotRun bool
	// Begun: the sink got at least the head, so that no other attempt can serve it.
	Begun bool
	// Leaving: the target said that it leaves. Rest is for how long it asked for no
	// further requests. Unreachable: it did not accept a connection.
	Leaving     bool
	Rest        time.Duration
	Unreachable bool
	// Resumed counts how often a broken stream was taken up again.
	Resumed int
	Reason  admission.Reason
	Err     error
}

// Errors of an attempt.
var (
	errCrossed = errors.New("dispatch: answer of another attempt")
	errBroken  = errors.New("dispatch: answer broken off")
	// ErrCallerGone: the sink took no more.
	ErrCallerGone = errors.New("dispatch: caller gone")
)

// Dispatcher sends requests. It is safe for concurrent use.
type Dispatcher struct {
	client *http.Client
	idle   time.Duration
	// longEvents counts what is held of long events.
	longEvents membudget.Budget
}

// New returns a dispatcher that gives up on a target after idle of silence.
func New(idle time.Duration) *Dispatcher {
	const dialTimeout = 2 * time.Second
	const idleConnections = 256
	const maxHead = 32 << 10
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         socket.TakesBack(dialer.DialContext),
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		// A faulty target may send a head without an end.
		MaxResponseHeaderBytes: maxHead,
	}
	client := &http.Client{
		Transport: transport,
		// A redirect is the target's answer, not an order to call elsewhere.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	d := &Dispatcher{client: client, idle: idle}
	d.longEvents.SetLimit(maxLongEvents)
	return d
}

// endedTimeout bounds the look whether a target has ended: a way that is cut tells
// nothing, and a refusal comes in some ms.
const endedTimeout = 200 * time.Millisecond

// Ended reports whether nothing listens at a target's address any more. A path that is lost
// may refuse connections too, so one of the other addresses must accept one, if there are any.
func Ended(ctx context.Context, address string, others []string) bool {
	if !errors.Is(tryConnect(ctx, address), syscall.ECONNREFUSED) {
		return false
	}
	accepts := func(other string) bool { return tryConnect(ctx, other) == nil }
	return len(others) == 0 || slices.ContainsFunc(others, accepts)
}

func tryConnect(ctx context.Context, address string) error {
	dialer := net.Dialer{Timeout: endedTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	c.Close()
	return nil
}

// NewAttempt returns 128 random bits in hexadecimal.
func NewAttempt() string {
	var b [16]byte
	if _, err := rand.Read(b[:]); err != nil {
		// The system's source of randomness does not fail once it has begun.
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Run makes one attempt. A stream that breaks is taken up at its offset, on
// the same target and with the same attempt id, which is no second run.
func (d *Dispatcher) Run(ctx context.Context, r Request, sink Sink) Outcome {
	const maxResumes = 2
	a := &attempt{dispatcher: d, request: r, sink: sink}
	out := a.once(ctx)
	for out.Resumed < maxResumes && a.resumable(out) {
		resumes := out.Resumed + 1
		out = a.once(ctx)
		out.Resumed = resumes
		out.Begun = true
		out.NotRun = false
	}
	return out
}

// attempt is the state of one Run.
type attempt struct {
	dispatcher *Dispatcher
	request    Request
	sink       Sink
	begun      bool
	// events counts the whole events that were handed to the sink.
	events int
}

func (a *attempt) resumable(out Outcome) bool {
	return a.request.Stream && a.begun && errors.Is(out.Err, errBroken)
}

// once makes one HTTP exchange.
func (a *attempt) once(ctx context.Context) Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	req, err := a.newRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return Outcome{NotRun: true, Reason: admission.TargetFailed, Err: err}
	}
	silence := time.AfterFunc(a.dispatcher.idle, cancel)
	defer silence.Stop()
	resp, err := a.dispatcher.client.Do(req)
	if err != nil {
		return a.failed(ctx, sent.Load(), err)
	}
	defer resp.Body.Close()
	if resp.Header.Get(AttemptHeader) != a.request.Attempt || head.Check(resp) != nil {
		// The connection's framing cannot be trusted any more: closing the body
		// before its end closes it.
		return Outcome{Begun: a.begun, Reason: admission.AnswerCrossed, Err: errCrossed}
	}
	out := a.answered(resp, &watched{body: resp.Body, silence: silence, idle: a.dispatcher.idle})
	out.Leaving = resp.Header.Get(LeavingHeader) != ""
	out.Rest = retryafter.Rest(resp, time.Now())
	return out
}

// answered hands an answer to the sink, unless the target did not take the request since
// it leaves.
func (a *attempt) answered(resp *http.Response, body io.Reader) Outcome {
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(LeavingHeader) != "" {
		return Outcome{NotRun: !a.begun, Begun: a.begun, Reason: admission.TargetLeaving}
	}
	return a.pass(resp, body)
}

func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	// A reader that the library does not know has no GetBody: see the package.
	body := io.MultiReader(bytes.NewReader(a.request.Body))
	req, err := http.NewRequestWithContext(ctx, a.request.Method, "http://"+a.request.Address+a.request.Path, body)
	if err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	req.ContentLength = int64(len(a.request.Body))
	if req.ContentLength == 0 {
		req.Body = emptyBody{}
	}
	if a.request.ContentType != "" {
		req.Header.Set("Content-Type", a.request.ContentType)
	}
	req.Header.Set(AttemptHeader, a.request.Attempt)
	if a.request.Key != "" {
		req.Header.Set(KeyHeader, a.request.Key)
	}
	if a.request.Adapter != "" {
		req.Header.Set(AdapterHeader, a.request.Adapter)
	}
	if a.begun {
		req.Header.Set(ResumeHeader, strconv.Itoa(a.events))
	}
	return req, nil
}

// emptyBody is a body of no bytes that is not http.NoBody, which the library
// would take as leave to repeat the request.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// failed turns an exchange without an answer into an outcome.
func (a *attempt) failed(ctx context.Context, sent bool, err error) Outcome {
	out := Outcome{Begun: a.begun, NotRun: !sent && !a.begun, Reason: admission.TargetFailed, Err: err}
	out.Unreachable = !sent && ctx.Err() == nil
	return out
}

// pass hands the answer to the sink.
func (a *attempt) pass(resp *http.Response, body io.Reader) Outcome {
	contentType := resp.Header.Get("Content-Type")
	stream := a.request.Stream && IsEventStream(contentType)
	undelimited := !stream && isUndelimited(resp)
	if a.begun && (!stream || resp.Header.Get(ResumeHeader) != strconv.Itoa(a.events)) {
		return Outcome{Begun: true, Reason: admission.StreamBroken, Err: errors.New("dispatch: target cannot resume")}
	}
	if !a.begun {
		a.begun = true
		head := Head{Status: resp.StatusCode, ContentType: contentType, Undelimited: undelimited}
		if err := a.sink.Head(head); err != nil {
			return Outcome{Begun: true, Reason: admission.CallerGone, Err: ErrCallerGone}
		}
	}
	var err error
	if stream {
		err = a.passEvents(body)
	} else {
		err = a.passBytes(body)
	}
	switch {
	case err == nil:
		return Outcome{Whole: true, EndUnknown: undelimited, Begun: true}
	case errors.Is(err, ErrCallerGone):
		return Outcome{Begun: true, Reason: admission.CallerGone, Err: err}
	}
	return Outcome{Begun: true, Reason: admission.StreamBroken, Err: err}
}

// isUndelimited reports whether a body ends with its connection.
func isUndelimited(resp *http.Response) bool {
	bodyAllowed := resp.Request.Method != http.MethodHead && resp.StatusCode != http.StatusNoContent && resp.StatusCode != http.StatusNotModified
	return bodyAllowed && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// passBytes passes an answer that is no stream. Its length or its last chunk, if it has either,
// shows that it is whole.
func (a *attempt) passBytes(body io.Reader) error {
	const size = 32 << 10
	buffer := make([]byte, size)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if a.sink.Chunk(buffer[:n]) != nil {
				return ErrCallerGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %v", errBroken, err)
		}
	}
}

// watched restarts the silence timer at each read.
type watched struct {
	body    io.Reader
	silence *time.Timer
	idle    time.Duration
}

// Read implements io.Reader.
func (w *watched) Read(p []byte) (int, error) {
	n, err := w.body.Read(p)
	w.silence.Reset(w.idle)
	return n, err
}
