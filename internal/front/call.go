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
	// end is when the caller's time or the route's is over.
	end time.Time
	// parts of the prompt, and the whole body.
	parts []balance.Part
	body  []byte
	// draw decides between the shares of a route, the same for each attempt.
	draw float64

	// version of the configuration that the request was last looked up in.
	version      uint64
	route        *route.Route
	service      *route.Service
	organisation *route.Organisation

	// sent counts the replicas that the request was sent to, tried names them
	// and those that could not be reached.
	sent  atomic.Int32
	tried []string
	// waiting: a replica was asked and its head has not come. It is not yet
	// counted as sent. Timers read it.
	waiting atomic.Bool
	// reserved: a retry was taken from the budget and not yet made.
	reserved atomic.Bool
	// failedReplicas are the replicas that answered with an error of their own and
	// are not yet blamed for it.
	failedReplicas []string
	// sentAt is when it was last sent to a replica.
	sentAt time.Time
	// named is the digest of the request, once it was asked for.
	named *poison.Digest
	// probed is closed when it is known whether the replica that broke it off has ended.
	probed <-chan struct{}
	// exclusive: no other try of it is sent by this router meanwhile. trial: it was held
	// before.
	exclusive, trial bool
	// unwritten counts how often it was not written once connected.
	unwritten int
	// excluded are the replicas that got nothing when one was last chosen.
	excluded []directory.Exclusion
	// lastResort: the replica chosen may have it only since its service has no other.
	lastResort bool
	// mayHaveRun: a replica may have begun to work on it.
	mayHaveRun bool
	// begun: the head of an answer went out.
	begun bool
	// lastEvent is the id of the last whole event that was passed on.
	lastEvent string
	// chunks counts the writes to the caller.
	chunks    int
	firstByte time.Time
	outcome   outcome
}

// outcome is how a call ended, for logs and metrics.
type outcome struct {
	name   string
	status int
	reason string
	// replica is where it was sent last.
	replica string
}

func newCall(f *Front, w http.ResponseWriter, r *http.Request, now time.Time) *call {
	return &call{
		front:   f,
		writer:  w,
		request: r,
		id:      r.Header.Get(f.options.Dialect.AttemptID),
		arrival: now,
		draw:    rand.Float64(),
	}
}

// maxTime bounds a request whose route and caller set no time.
const maxTime = 10 * time.Minute

func (c *call) serve() {
	if refused := c.admit(c.request.Context()); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.front.checkStop(c.route, c.end, c.arrival); refused != nil {
		c.refuse(refused)
		return
	}
	if refused := c.readBody(); refused != nil {
		c.refuse(refused)
		return
	}
	c.parts = c.front.options.Dialect.ParseParts(c.request.Header.Get(c.front.options.Dialect.PromptParts))
	c.front.retries.Earn()
	ctx, cancel := context.WithTimeout(c.request.Context(), steady.Until(c.end))
	defer cancel()
	defer c.front.inFlight.add(c.end, cancel)()
	// Not the request's own: that it ends means that the caller left.
	defer context.AfterFunc(c.front.cutting, cancel)()
	if c.front.cutting.Err() != nil {
		// That is told in a goroutine of its own, which a request may be ahead of.
		cancel()
	}
	c.dispatch(ctx)
}

// setEnd works out when the request's time is over.
func (c *call) setEnd() {
	limit := maxTime
	if c.route.Timeout > 0 {
		limit = c.route.Timeout
	}
	milliseconds, err := strconv.ParseFloat(c.request.Header.Get(c.front.options.Dialect.Deadline), 64)
	if err == nil && milliseconds > 0 {
		limit = min(limit, time.Duration(milliseconds*float64(time.Millisecond)))
	}
	c.end = c.arrival.Add(limit)
	c.boundWrites()
}

// answerTime is how long after the end of a request's time what is then said of it
// may take to be written.
const answerTime = time.Second

// boundWrites sees to it that a caller that does not read its answer is not waited
// for when its time is over: a write to it ends by nothing else. The server takes
// the bound off after the answer.
func (c *call) boundWrites() {
	// A writer that knows no deadlines has none to set.
	_ = http.NewResponseController(c.writer).SetWriteDeadline(steady.OfDay(c.end.Add(answerTime)))
}

// callerLeft reports whether nobody waits for the answer any more.
func (c *call) callerLeft() bool { return callerLeft(c.request.Context()) }

// readBody reads the whole body: it may have to be sent again, and the caller's
// leaving is seen only after its end.
func (c *call) readBody() *refusal {
	limit := c.front.holder.Current().Table.Limits().BodyBytes
	if limit > 0 && c.request.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	reader := io.Reader(c.request.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(c.writer, c.request.Body, limit)
	}
	// A writer that knows no deadlines has none to set.
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(steady.OfDay(c.end))
	body, err := io.ReadAll(reader)
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		c.body = body
		return nil
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	return &refusal{status: http.StatusBadRequest, reason: "body incomplete", closes: true}
}

// key returns the key that the caller sent, or an empty text.
func (c *call) key() string {
	dialect := &c.front.options.Dialect
	key, found := strings.CutPrefix(c.request.Header.Get(dialect.Key), dialect.KeyScheme)
	if !found {
		return ""
	}
	return key
}
