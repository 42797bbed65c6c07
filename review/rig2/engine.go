package rig2

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// The services of model replicas.
const (
	Model      = "huvo11a"
	OtherModel = "huvo12c"
)

// Paths of the routes to it.
const (
	// ResumePath may be resumed and has two attempts, as director-change of the site.
	ResumePath = "/pufi791/"
	// StreamPath may not be, and has one, as filing-query.
	StreamPath = "/lohu930/"
)

// Places of a model replica: what runs at once, and what waits beyond that.
const (
	EngineSlots   = 12
	EngineWaiting = 2
	EnginePlaces  = EngineSlots + EngineWaiting
)

// lastEvent is the standard's header for taking a stream up.
const lastEvent = "Last-Event-Id"

// Engine is a model replica. It works on some streams at once, lets a few wait and rejects the others.
type Engine struct {
	ID     string
	Pieces func(path string) (events int, gap time.Duration)
	// Preempted is for how long a stream falls silent behind its fourth event, by its path; 0: not at all.
	Preempted func(path string) time.Duration
	// Stays: it does not drop a request whose connection is closed.
	Stays bool

	runs   *Runs
	slots  chan struct{}
	places chan struct{}
	server *standin.Server
	entry  platform.ReplicaEntry
	number int
	mu     sync.Mutex
	// rejected are the requests that were rejected, by attempt.
	rejected map[string]time.Time
}

// StartEngine starts a model replica and writes its entry into the store.
func StartEngine(id, service, zone string, runs *Runs, store *Store, pieces func(string) (int, time.Duration), preempted func(string) time.Duration) (*Engine, error) {
	e := &Engine{ID: id, Pieces: pieces, Preempted: preempted, runs: runs, slots: make(chan struct{}, EngineSlots), places: make(chan struct{}, EnginePlaces), rejected: make(map[string]time.Time)}
	var err error
	if e.server, err = standin.Serve("127.0.0.1:0", http.HandlerFunc(e.serve)); err != nil {
		return nil, err
	}
	e.entry = platform.ReplicaEntry{Service: service, Address: e.server.Address, Zone: zone, Version: "v1", Slots: EngineSlots, State: platform.ReplicaReady}
	store.Put(platform.ReplicaKey(id), e.Entry(1))
	return e, nil
}

// Entry is what it writes of itself.
func (e *Engine) Entry(sequence uint64) platform.ReplicaEntry {
	entry := e.entry
	entry.Sequence = sequence
	return entry
}

// Close ends it.
func (e *Engine) Close() { e.server.Close() }

// Rejected returns when a request was rejected.
func (e *Engine) Rejected(attempt string) (at time.Time, was bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, was = e.rejected[attempt]
	return at, was
}

func (e *Engine) serve(w http.ResponseWriter, request *http.Request) {
	id := request.Header.Get(names.AttemptID)
	w.Header().Set(names.AttemptID, id)
	if expected := request.Header.Get(names.ExpectReplica); expected != e.ID {
		w.Header().Set(header("Instance-Id"), e.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, request.Body); err != nil {
		return
	}
	w.Header().Set(names.Load, fmt.Sprintf("%d,%d,%d", len(e.slots), max(len(e.places)-len(e.slots), 0), EngineSlots))
	select {
	case e.places <- struct{}{}:
		defer func() { <-e.places }()
	default:
		e.mu.Lock()
		e.rejected[id] = time.Now()
		e.mu.Unlock()
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-request.Context().Done():
		return
	}
	e.stream(w, request, id)
}

// stream writes the events that are due. One whose caller has left ends.
func (e *Engine) stream(w http.ResponseWriter, request *http.Request, id string) {
	run := Run{Attempt: id, Replica: e.ID, Tenant: request.Header.Get(names.Organisation), Path: request.URL.Path, At: time.Now(), Status: http.StatusOK, Note: "to its end"}
	defer func() {
		run.Ended = time.Now()
		e.runs.Add(run)
	}()
	e.mu.Lock()
	e.number++
	w.Header().Set(platform.SignatureHeader, fmt.Sprintf("%s.%d", e.ID, e.number))
	e.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	// What can't be read is the begin.
	after, _ := strconv.Atoi(request.Header.Get(lastEvent))
	events, gap := e.Pieces(request.URL.Path)
	dropped := request.Context().Done()
	if e.Stays {
		dropped = nil
	}
	for n := after + 1; n <= events; n++ {
		pause := gap
		if n == 5 && after == 0 {
			pause += e.Preempted(request.URL.Path)
		}
		select {
		case <-time.After(pause):
		case <-dropped:
			run.Note = fmt.Sprintf("its connection was closed before event %d of %d, %v after the start", n, events, time.Since(run.At).Round(time.Millisecond))
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", n, id, n, events)
		_ = http.NewResponseController(w).Flush()
	}
}

// ModelConfig is a configuration with two services of model replicas and two routes. The one that may be
// resumed leads to a service, the other one to Model.
func ModelConfig(version uint64, resumed string) any {
	config := PlainConfig(version, []any{TenantWith(Key, SecondKey)}).(map[string]any)
	config["routes"] = []any{
		map[string]any{"name": "r-resume", "host": Host, "path_prefix": ResumePath, "type": "streaming", "timeout_ms": 4000, "target_latency_ms": 500, "target_gap_ms": 300, "priority": 0, "service": resumed, "max_attempts": 2, "public": false, "sticky": true, "resumable": true},
		map[string]any{"name": "r-stream", "host": Host, "path_prefix": StreamPath, "type": "streaming", "timeout_ms": 15000, "target_latency_ms": 400, "target_gap_ms": 300, "priority": 2, "service": Model, "max_attempts": 1, "public": false, "sticky": true, "resumable": false},
	}
	var services []any
	for _, name := range []string{Model, OtherModel} {
		services = append(services, map[string]any{"name": name, "health_path": "/healthz", "max_connections": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": EngineSlots, "kv_capacity": 232000, "kv_bytes": 327680, "stride": 3, "models": []any{map[string]any{"name": "m"}}}})
	}
	config["services"] = services
	return config
}
