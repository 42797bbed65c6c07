package rig2

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// names are the platform's.
var names = platform.Dialect()

// header returns the name of a header that the routers don't read, after those of one family that they do.
func header(suffix string) string {
	const known = "Attempt-Id"
	return strings.TrimSuffix(names.AttemptID, known) + suffix
}

// Run is one request that a replica began to work on.
type Run struct {
	Attempt, Replica, Tenant, Path string
	// Ended is when it stopped to work on it; zero if that was not noted.
	At, Ended time.Time
	// Status is what it answered; Note tells what was unusual.
	Status int
	Note   string
}

// Runs holds the runs of all replicas.
type Runs struct {
	mu   sync.Mutex
	runs []Run
}

// Add records a run.
func (r *Runs) Add(one Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, one)
}

// ByAttempt returns the runs by attempt.
func (r *Runs) ByAttempt() map[string][]Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]Run)
	for _, one := range r.runs {
		out[one.Attempt] = append(out[one.Attempt], one)
	}
	return out
}

// Len is how many runs there were.
func (r *Runs) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.runs)
}

// Replica is a replica of a plain service: it works on some requests at once and lets a few wait.
type Replica struct {
	ID      string
	Service string
	// Work is how long a request runs.
	Work time.Duration

	runs   *Runs
	slots  chan struct{}
	queue  chan struct{}
	server *standin.Server
	entry  platform.ReplicaEntry
	number int
	mu     sync.Mutex
	answer Answer
}

// Answer writes another answer in place of the usual one to a request that has run, and tells whether it did.
type Answer func(w http.ResponseWriter, run *Run) bool

// StartReplica starts a replica and writes its entry into the store.
func StartReplica(id, zone string, work time.Duration, runs *Runs, store *Store) (*Replica, error) {
	const slots, waiting = 6, 24
	r := &Replica{ID: id, Service: Plain, Work: work, runs: runs, slots: make(chan struct{}, slots), queue: make(chan struct{}, slots+waiting)}
	var err error
	if r.server, err = standin.Serve("127.0.0.1:0", http.HandlerFunc(r.serve)); err != nil {
		return nil, err
	}
	r.entry = platform.ReplicaEntry{Service: Plain, Address: r.server.Address, Zone: zone, Version: "v1", Slots: slots, State: platform.ReplicaReady}
	store.Put(platform.ReplicaKey(id), r.Entry(1))
	return r, nil
}

// Entry is what it writes of itself.
func (r *Replica) Entry(sequence uint64) platform.ReplicaEntry {
	e := r.entry
	e.Sequence = sequence
	return e
}

// Close ends it.
func (r *Replica) Close() { r.server.Close() }

// SetAnswer sets how it answers; nil: as usual.
func (r *Replica) SetAnswer(answer Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answer = answer
}

func (r *Replica) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(names.AttemptID)
	w.Header().Set(names.AttemptID, id)
	if request.URL.Path == "/healthz" {
		w.Header().Set(header("Instance-Id"), r.ID)
		return
	}
	if expected := request.Header.Get(names.ExpectReplica); expected != "" && expected != r.ID {
		w.Header().Set(header("Instance-Id"), r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	select {
	case r.queue <- struct{}{}:
		defer func() { <-r.queue }()
	default:
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-request.Context().Done():
		return
	}
	run := Run{Attempt: id, Replica: r.ID, Tenant: request.Header.Get(names.Organisation), Path: request.URL.Path, At: time.Now(), Status: http.StatusOK}
	defer func() { r.runs.Add(run) }()
	time.Sleep(r.Work)
	r.mu.Lock()
	r.number++
	signature, answer := fmt.Sprintf("%s.%d", r.ID, r.number), r.answer
	r.mu.Unlock()
	w.Header().Set(platform.SignatureHeader, signature)
	if answer != nil && answer(w, &run) {
		return
	}
	text := fmt.Sprintf("%s ran %d bytes", id, len(body))
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
