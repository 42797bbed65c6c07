package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// ReplicaOptions shape a replica of a configured route's service.
type ReplicaOptions struct {
	Service string
	Zone    string
	Slots   int
	// Queue is how many requests wait beyond those that run in the slots. The others are turned
	// away. Without, none waits and none is turned away.
	Queue int
	// StatesLoad: answers state how many requests run and wait.
	StatesLoad bool
	// Version is that of its software; empty if it states none. Events of streams name it.
	Version string
	// Work is the time of a plain request.
	Work time.Duration
	// Pieces and Gap shape a stream: that many events, with that pause between two.
	// Without pieces answers are plain.
	Pieces int
	Gap    time.Duration
	// FirstForms: faults that have several forms come in the first one only.
	FirstForms bool
	// BreakOneIn makes one stream in so many break off at any byte of its events; 0: none.
	BreakOneIn int
	// Deadly tells whether a request crashes the replica, and how long it runs before. It
	// may be nil.
	Deadly func(request *http.Request, body []byte) (after time.Duration, deadly bool)
}

// Replica is the stand-in of a replica: one incarnation of it. Its answer names the
// request that it read, so that a caller can tell whose answer it holds.
type Replica struct {
	// ID names the incarnation.
	ID      string
	Options ReplicaOptions

	// server is set once listening is closed: requests may come before.
	server    *Server
	listening chan struct{}
	born      time.Time
	// ended is closed when it crashed or left.
	ended      chan struct{}
	endedAt    time.Time
	endOnce    sync.Once
	mu         sync.Mutex
	leaving    bool
	announcing bool
	rest       rest
	brittle    *brittle
	queue      queue
	faults     []ReplicaFault
	// unmarked and garbled count the answers of FaultUnmarked and FaultGarbled.
	unmarked, garbled int
	runs              []*ReplicaRun
	// answered are the last two requests that were answered, the later one first.
	answered [2]string
}

// ReplicaRun is what a replica knows of one request that came to it.
type ReplicaRun struct {
	Attempt  string
	Instance string
	// Expected is the instance that the request named, empty if none.
	Expected string
	Service  string
	Method   string
	Path     string
	Tenant   string
	// BodySum is that of the bytes read, see Sum.
	BodySum string
	// Parts are those of its prompt, as they were handed on.
	Parts string
	// Deadline is the time that the request was handed; 0 if none.
	Deadline time.Duration
	// After is the event after which a stream was to go on.
	After int
	At    time.Time
	Ended time.Time
	// Refused: it was turned away with the mark of not having run.
	Refused bool
	// Rest is for how long its answer asked for no further requests; 0: it did not.
	Rest time.Duration
	// Started is when the replica's process started, which may be one of several of its id.
	Started time.Time
	// Status and Signature are those of the answer; 0 if none was begun.
	Status    int
	Signature string
	// Broken: the replica itself broke off or never answered.
	Broken bool
	// BreakSeen: of an undelimited answer, that its connection shows the break: by a reset, or by
	// an end within an event.
	BreakSeen bool
	// Undelimited: the answer had neither a length nor chunks.
	Undelimited bool
	// Fatal: it crashed the replica.
	Fatal bool
	// Left: the router closed the connection meanwhile.
	Left bool
}

// StartReplica starts an incarnation at an address.
func StartReplica(id, address string, o ReplicaOptions) (*Replica, error) {
	r := &Replica{ID: id, Options: o, born: time.Now(), ended: make(chan struct{}), listening: make(chan struct{})}
	r.queue.slots = make(chan struct{}, max(o.Slots, 1))
	mux := http.NewServeMux()
	mux.Handle("/-/", platform.HeldHandler())
	mux.HandleFunc("/", r.serve)
	var err error
	r.server, err = Serve(address, mux)
	close(r.listening)
	return r, err
}

// Address is where it listens.
func (r *Replica) Address() string { return r.server.Address }

// Entry returns what the replica writes of itself into the store.
func (r *Replica) Entry(address, state string) platform.ReplicaEntry {
	return platform.ReplicaEntry{Service: r.Options.Service, Address: address, Zone: r.Options.Zone, Slots: r.Options.Slots, Version: r.Options.Version, State: state, Born: r.born.UnixMilli()}
}

// Leave makes each further answer the last of its connection.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// crashedAnswers is how long before a crash an answer may have ended that did not
// get out any more.
const crashedAnswers = 100 * time.Millisecond

// Crash ends the replica and all its connections at once.
func (r *Replica) Crash() {
	r.endOnce.Do(func() {
		r.endedAt = time.Now()
		close(r.ended)
	})
	<-r.listening
	r.server.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		if run.Ended.IsZero() || time.Since(run.Ended) < crashedAnswers {
			run.Broken = true
		}
	}
}

// Ended returns a channel that is closed when the replica has crashed or left.
func (r *Replica) Ended() <-chan struct{} { return r.ended }

// EndedAt returns when it crashed; it is asked of one that did.
func (r *Replica) EndedAt() time.Time {
	<-r.ended
	return r.endedAt
}

// Runs returns copies of what came so far.
func (r *Replica) Runs() []ReplicaRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]ReplicaRun, len(r.runs))
	for i, run := range r.runs {
		out[i] = *run
	}
	return out
}

// Sum is the short form in which bodies are compared.
func Sum(body []byte) string {
	const enough = 8
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:enough])
}

// Reply is a replica's whole answer to a plain request.
func Reply(attempt, method, path, sum string) string {
	return fmt.Sprintf("%s %s %s %s", attempt, method, path, sum)
}

// Piece is the text of one event of a stream; the last one says so.
func Piece(attempt string, n, of int) string {
	if n == of {
		return fmt.Sprintf("%s %d last", attempt, n)
	}
	return fmt.Sprintf("%s %d", attempt, n)
}

// VersionMark precedes the version in an event of a replica that states one.
const VersionMark = " @"

func (r *Replica) piece(attempt string, n int) string {
	text := Piece(attempt, n, r.Options.Pieces)
	if r.Options.Version != "" {
		text += VersionMark + r.Options.Version
	}
	return text
}

func (r *Replica) event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, r.piece(attempt, n))
}

// lastEventHeader is the standard's header for taking a stream up again.
const lastEventHeader = "Last-Event-Id"

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	names := platform.Dialect()
	attempt := request.Header.Get(names.AttemptID)
	w.Header().Set(names.AttemptID, attempt)
	if r.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	if expected := request.Header.Get(names.ExpectReplica); expected != "" && expected != r.ID {
		w.Header().Set(names.NotExecuted, "expected another")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.isAnnouncing() {
		w.Header().Set(names.ShuttingDown, "1")
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	run := r.begin(request, body)
	defer r.end(run, request)
	if asked := r.restAsked(); asked > 0 {
		r.turnAway(w, run, asked)
		return
	}
	leave, entered := r.enter(w, request, run)
	if !entered {
		return
	}
	defer leave()
	longer, taken := r.admitBrittle(w, run)
	if !taken {
		return
	}
	if r.Options.Deadly != nil {
		if after, deadly := r.Options.Deadly(request, body); deadly {
			r.die(after, w, request, run)
		}
	}
	if fault := r.nextFault(); fault != "" {
		r.fail(fault, w, request, run)
		return
	}
	if !r.pause(request, r.Options.Work+longer) {
		return
	}
	if r.Options.Pieces > 0 {
		if b, breaks := r.breakOf(run); breaks {
			r.change(run, func() { run.Broken = true })
			w = newBreakingWriter(w, request, b)
		}
		r.stream(w, request, run, r.Options.Pieces+1)
		return
	}
	r.answer(w, run, http.StatusOK)
}

// begin notes that a request runs.
func (r *Replica) begin(request *http.Request, body []byte) *ReplicaRun {
	names := platform.Dialect()
	// What can't be read was not handed on as it is to be: it counts as none.
	milliseconds, _ := strconv.ParseFloat(request.Header.Get(names.Deadline), 64)
	after, _ := strconv.Atoi(request.Header.Get(lastEventHeader))
	run := &ReplicaRun{
		Attempt:  request.Header.Get(names.AttemptID),
		Instance: r.ID,
		Expected: request.Header.Get(names.ExpectReplica),
		Service:  r.Options.Service,
		Method:   request.Method,
		Path:     request.URL.RequestURI(),
		Tenant:   request.Header.Get(names.Organisation),
		BodySum:  Sum(body),
		Parts:    request.Header.Get(names.PromptParts),
		Deadline: time.Duration(milliseconds * float64(time.Millisecond)),
		After:    after,
		At:       time.Now(),
		Started:  r.born,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Signature = fmt.Sprintf("%s.%d", r.ID, len(r.runs))
	r.runs = append(r.runs, run)
	return run
}

func (r *Replica) end(run *ReplicaRun, request *http.Request) {
	left := request.Context().Err() != nil
	r.change(run, func() {
		run.Ended = time.Now()
		run.Left = left && !run.Broken
	})
}

func (r *Replica) change(run *ReplicaRun, do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ended:
		run.Broken = true
	default:
	}
	do()
}

// answer writes a whole plain answer.
func (r *Replica) answer(w http.ResponseWriter, run *ReplicaRun, status int) {
	r.change(run, func() { run.Status = status })
	text := Reply(run.Attempt, run.Method, run.Path, run.BodySum)
	w.Header().Set(platform.SignatureHeader, run.Signature)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(status)
	// A router that left needs no answer.
	_, _ = io.WriteString(w, text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.Attempt != r.answered[0] {
		r.answered = [2]string{run.Attempt, r.answered[0]}
	}
}

// stream writes the events that are due, up to one that is not written any more.
func (r *Replica) stream(w http.ResponseWriter, request *http.Request, run *ReplicaRun, stopAt int) {
	r.change(run, func() { run.Status = http.StatusOK })
	w.Header().Set(platform.SignatureHeader, run.Signature)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	if b, breaks := w.(*breakingWriter); breaks && b.left == 0 {
		b.breakOff()
	}
	// A router that left needs no answer; the pause notices it.
	r.writeEvents(w, func() { _ = http.NewResponseController(w).Flush() }, request, run, stopAt)
}

// writeEvents writes the events that are due, up to one that is not written any more, and
// reports whether the router stayed.
func (r *Replica) writeEvents(w io.Writer, flush func(), request *http.Request, run *ReplicaRun, stopAt int) bool {
	for n := run.After + 1; n <= r.Options.Pieces && n < stopAt; n++ {
		if n > run.After+1 && !r.pause(request, r.Options.Gap) {
			return false
		}
		_, _ = io.WriteString(w, r.event(run.Attempt, n))
		flush()
	}
	return true
}

// pause waits and tells whether the request is still wanted.
func (r *Replica) pause(request *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return request.Context().Err() == nil
	case <-request.Context().Done():
		return false
	}
}

func (r *Replica) isLeaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaving
}
