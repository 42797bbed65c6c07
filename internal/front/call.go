package front

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/front/callerconn"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/memory"
	"github.com/croftyard/croftyard/internal/front/retries"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/route"
)

// call is one request of a caller, from its arrival to its end.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	id      string
	arrival time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	// parts are those of the prompt; body is the complete body.
	parts []balance.Part
	body  []byte
	// held is what the call has reserved of the router's memory.
	held memory.Account
	// bodyRead is set once the body was read to its end.
	bodyRead bool
	// shareDraw selects among the shares of a route, the same one for each attempt.
	shareDraw float64

	// version is that of the configuration in which the request was last looked up.
	version      uint64
	route        *route.Route
	service      *route.Service
	organisation *route.Organisation

	// sent counts the replicas that the request was sent to. tried lists them and those
	// that could not be reached.
	sent  atomic.Int32
	tried []string
	// waiting is set while an attempt has no response head. That attempt is not yet counted
	// in sent. Timers read it concurrently.
	waiting atomic.Bool
	retries retries.Call
	// failedReplicas answered with an error of their own that was not yet reported to the
	// balancer.
	failedReplicas []string
	// sentAt is when the last attempt started.
	sentAt time.Time
	// writtenAt is when the last attempt had a connection to write to.
	writtenAt time.Time
	// counted is set once admission control has counted the request, decided once it has
	// decided on it; overloaded is set if it refused it.
	counted, decided bool
	overloaded       *overloadRefusal
	// cachedDigest is the digest of the request, computed on first use.
	cachedDigest *poison.Digest
	// cachedParts are the digests of the prompt's shared parts, computed on first use.
	cachedParts []poison.Digest
	// partTrial is the part that this request tries again after its hold; partsSurvived is set
	// once the answer of the last attempt got beyond its beginning.
	partTrial     *poison.Digest
	partsSurvived bool
	// probed is closed once the replica that broke the request off has been probed.
	probed <-chan struct{}
	// exclusive is set while this router runs no other copy of the request, trial if the
	// request was held before.
	exclusive, trial bool
	// trialOfVersion measures the attempt in progress.
	trialOfVersion versionTrial
	// unwritten counts the attempts that were cancelled between connect and write.
	unwritten int
	// relay is set if another router handed the request to this one.
	relay *relayedCall
	// unconnected counts the replicas to which no connection could be opened, unopened those of
	// them that did not refuse it. relayTried lists the routers that the request was handed to.
	unconnected int
	unopened    int
	relayTried  []string
	// relayRefusal is the refusal of the last router that had no room.
	relayRefusal *refusal
	// excluded are the replicas that were ineligible at the last choice.
	excluded []directory.Exclusion
	// lastResort is set if the chosen replica is used only because its service has no other.
	lastResort bool
	// mayHaveRun is set once a replica may have begun to process the request.
	mayHaveRun bool
	// headSent is set once a response head was sent to the caller.
	headSent bool
	// endsWithConnection is set if the caller's answer has neither a length nor chunks.
	endsWithConnection bool
	// streaming is set while the answer that is forwarded is a stream of events.
	streaming bool
	// replicaVersion is that of the replica whose answer is forwarded, origin the one at which
	// the stream began.
	replicaVersion continuation.Version
	origin         continuation.Origin
	// originRecorded is set once the stream's first event is forwarded.
	originRecorded bool
	// position is how far the stream was forwarded.
	position continuation.Position
	// chunks counts the writes of the body to the caller, written their bytes.
	chunks    int
	written   int64
	firstByte time.Time
	outcome   outcome
}

// outcome describes how a call ended, for logs and metrics.
type outcome struct {
	name   string
	status int
	reason string
	// replica is the id of the replica that was tried last.
	replica string
}

func newCall(f *Front, w http.ResponseWriter, r *http.Request, now time.Time) *call {
	id := r.Header.Get(f.options.Dialect.AttemptID)
	return &call{
		front:     f,
		writer:    w,
		request:   r,
		id:        id,
		held:      f.held.Account(id),
		arrival:   now,
		shareDraw: rand.Float64(),
	}
}

// defaultTimeout applies if neither the route nor the caller sets one.
const defaultTimeout = 10 * time.Minute

func (c *call) serve() {
	defer c.held.Release()
	if refused := c.admit(c.request.Context()); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.checkShutdown(c.arrival); refused != nil {
		c.refuse(refused)
		return
	}
	if steady.Until(c.deadline) <= 0 {
		c.refuse(refuseTooLate())
		return
	}
	if refused := c.readBody(); refused != nil {
		c.refuse(refused)
		return
	}
	c.parts = c.front.options.Dialect.ParseParts(c.request.Header.Get(c.front.options.Dialect.PromptParts))
	if c.relay == nil {
		c.front.retries.Request(c.service.Name, c.arrival)
	}
	ctx, cancel := context.WithTimeout(c.request.Context(), steady.Until(c.deadline))
	defer cancel()
	defer c.front.inFlight.Add(c.deadline, cancel)()
	// The request's own context is not cancelled: its end means that the caller left.
	defer context.AfterFunc(c.front.cutting, cancel)()
	if c.front.cutting.Err() != nil {
		// AfterFunc runs in its own goroutine, which this one may overtake.
		cancel()
	}
	c.dispatch(ctx)
}

// setDeadline sets the deadline from the limits of the route and of the caller. A caller that
// states no number gets the route's limit, one that states 0 or less has no time left.
func (c *call) setDeadline() {
	limit := defaultTimeout
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	milliseconds, err := strconv.ParseFloat(c.request.Header.Get(c.front.options.Dialect.Deadline), 64)
	// Compared before the conversion, which overflows for large numbers.
	if err == nil && milliseconds < float64(limit)/float64(time.Millisecond) {
		limit = time.Duration(max(milliseconds, 0) * float64(time.Millisecond))
	}
	c.deadline = c.arrival.Add(limit)
	c.setWriteDeadline()
}

// answerGrace is how long after the deadline the final answer may take to be written.
const answerGrace = time.Second

// setWriteDeadline keeps a caller that does not read its answer from blocking the router
// past the deadline: nothing else ends a blocked write. The server clears the write deadline
// after the answer.
func (c *call) setWriteDeadline() {
	// The error is ignored: some writers do not support deadlines.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(steady.OfDay(c.deadline.Add(answerGrace)))
}

// callerLeft reports whether the caller has disconnected.
func (c *call) callerLeft() bool { return callerconn.Left(c.request.Context()) }

// readBody reads the complete body: a retry needs it, and the server detects that the caller
// left only after the body's end.
func (c *call) readBody() *refusal {
	limit := c.front.holder.Current().Table.Limits().BodyBytes
	if limit > 0 && c.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	reader := io.Reader(c.request.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(c.writer, c.request.Body, limit)
	}
	// The errors are ignored: some writers do not support deadlines.
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(steady.OfDay(c.deadline))
	body, err := c.held.Read(reader, c.request.ContentLength, limit)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.body, c.bodyRead = body, true
		return nil
	case errors.Is(err, memory.ErrFull):
		return refuseNoMemory()
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body incomplete", closes: true}
}

// key returns the key that the caller sent, or "".
func (c *call) key() string {
	dialect := &c.front.options.Dialect
	key, found := strings.CutPrefix(c.request.Header.Get(dialect.Key), dialect.KeyScheme)
	if !found {
		return ""
	}
	return key
}
