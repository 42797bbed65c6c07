package rig

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// Replica is the stand-in of one replica.
type Replica struct {
	ID, Service, Addr string
	// Serve answers a request once it was read whole. The answer's head names the request and
	// has a signature already.
	Serve func(p *Replica, w http.ResponseWriter, r *http.Request, run *Run)

	rig    *Rig
	server *http.Server
	mu     sync.Mutex
	runs   []*Run
}

// Run is one request that a replica ran.
type Run struct {
	Attempt, Signature string
	Body               string
	At                 time.Time
}

// Replicas starts replicas of a service and enters them into the store.
func (r *Rig) Replicas(service string, n, slots int, serve func(p *Replica, w http.ResponseWriter, q *http.Request, run *Run)) ([]*Replica, error) {
	var list []*Replica
	for i := range n {
		replica := &Replica{ID: fmt.Sprintf("i-%s%d", service, i+1), Service: service, Addr: r.Address(), Serve: serve, rig: r}
		l, err := net.Listen("tcp", replica.Addr)
		if err != nil {
			return nil, err
		}
		replica.server = &http.Server{Handler: replica}
		go func() { _ = replica.server.Serve(l) }()
		r.Store.Put(platform.ReplicaKey(replica.ID), map[string]any{
			"service": service, "address": replica.Addr, "zone": "leeds-hall", "version": "v1", "slots": slots, "state": "ready",
			"warmup_left_ms": 0, "phase": "mixed", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 4,
		})
		list = append(list, replica)
	}
	return list, nil
}

// Runs returns what ran of an attempt.
func (p *Replica) Runs(attempt string) []*Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Run
	for _, run := range p.runs {
		if run.Attempt == attempt {
			list = append(list, run)
		}
	}
	return list
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get(names.AttemptID)
	if attempt != "" {
		w.Header().Set(names.AttemptID, attempt)
	}
	switch {
	case r.URL.Path == "/healthz":
		w.Header().Set(header("Instance-Id"), p.ID)
		return
	case strings.HasPrefix(r.URL.Path, "/-/"):
		platform.HeldHandler().ServeHTTP(w, r)
		return
	case attempt == "":
		w.Header().Set(names.NotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get(names.ExpectReplica) != "" && r.Header.Get(names.ExpectReplica) != p.ID:
		w.Header().Set(header("Instance-Id"), p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	run := &Run{Attempt: attempt, Body: string(body), At: time.Now(), Signature: p.ID + "." + strconv.Itoa(len(p.runs))}
	p.runs = append(p.runs, run)
	p.mu.Unlock()
	p.rig.Log("replica %s runs %s %s, request %s", p.ID, r.Method, r.URL.Path, attempt)
	w.Header().Set(SignatureHeader, run.Signature)
	p.Serve(p, w, r, run)
}

// Event is one event of a stream.
func Event(attempt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, attempt, n)
}

// Stream writes n events with a pause between two, until the router leaves.
func (p *Replica) Stream(w io.Writer, flush func(), r *http.Request, run *Run, n int, gap time.Duration) {
	p.StreamPaused(w, flush, r, run, n, func(int) time.Duration { return gap })
}

// StreamPaused writes n events, or those after Last-Event-Id, with the pause after each that a
// function gives.
func (p *Replica) StreamPaused(w io.Writer, flush func(), r *http.Request, run *Run, n int, gap func(event int) time.Duration) {
	begun := time.Now()
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= n; i++ {
		if _, err := io.WriteString(w, Event(run.Attempt, i)); err != nil {
			p.Note("lost the router of request %s after %d of %d events", run.Attempt, i-1, n)
			return
		}
		flush()
		if i == n {
			break
		}
		select {
		case <-time.After(gap(i)):
		case <-r.Context().Done():
			p.Note("finds the connection of request %s closed after %d of %d events", run.Attempt, i, n)
			return
		}
	}
	p.Note("has written all %d events of request %s in %.1f s", n, run.Attempt, time.Since(begun).Seconds())
}

// Note writes a line about the replica to the record.
func (p *Replica) Note(format string, args ...any) {
	p.rig.Log("replica %s %s", p.ID, fmt.Sprintf(format, args...))
}
