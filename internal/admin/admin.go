// Package admin is the operators' listener of a process: state dump, metrics,
// log level, drain. It listens on loopback unless the settings say otherwise,
// and nothing in it changes the fleet's configuration.
//
//	GET  /state            the state dump, JSON
//	GET  /metrics          all metrics, one a line
//	GET  /explain          where a request would go: ?group=&model=&token=
//	GET  /log-level        PUT sets it
//	POST /drain            begins a planned stop
package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/croftyard/croftyard/internal/event"
)

// Subject is what operators look at.
type Subject struct {
	// State returns the state dump.
	State func() any
	// Registry holds the metrics, Gauges returns further ones at each look.
	Registry gometrics.Registry
	Gauges   func() []Gauge
	// Explain answers where a request would go. It may be nil.
	Explain func(url.Values) (any, error)
}

// Gauge is a metric that is worked out when it is looked at.
type Gauge struct {
	Name  string
	Value float64
}

// Admin serves operators.
type Admin struct {
	subject Subject
	log     *event.Log
	drain   func()
	server  *http.Server
}

// New returns the admin face of a subject. drain is called to begin a stop.
func New(subject Subject, log *event.Log, drain func()) *Admin {
	const timeout = 10 * time.Second
	a := &Admin{subject: subject, log: log, drain: drain}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /state", a.state)
	mux.HandleFunc("GET /metrics", a.metrics)
	if subject.Explain != nil {
		mux.HandleFunc("GET /explain", a.explain)
	}
	mux.HandleFunc("GET /log-level", a.logLevel)
	mux.HandleFunc("PUT /log-level", a.setLogLevel)
	mux.HandleFunc("POST /drain", a.startDrain)
	a.server = &http.Server{Handler: mux, ReadTimeout: timeout, WriteTimeout: timeout}
	return a
}

// Serve serves operators on a listener until Close.
func (a *Admin) Serve(l net.Listener) error {
	err := a.server.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Close ends the listener.
func (a *Admin) Close() { a.server.Close() }

func (a *Admin) state(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, a.subject.State())
}

func (a *Admin) explain(w http.ResponseWriter, r *http.Request) {
	explanation, err := a.subject.Explain(r.URL.Query())
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// A caller that left needs no answer.
	_ = encoder.Encode(v)
}

func (a *Admin) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	writeMetrics(w, a.subject)
}

func (a *Admin) logLevel(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, a.log.Level())
}

func (a *Admin) setLogLevel(w http.ResponseWriter, r *http.Request) {
	const longest = 16
	text, err := io.ReadAll(io.LimitReader(r.Body, longest))
	if err != nil {
		return
	}
	level := strings.TrimSpace(string(text))
	if err := a.log.SetLevel(level); err != nil {
		http.Error(w, "the body must be debug, info, warning or error", http.StatusBadRequest)
		return
	}
	a.log.Write(event.LogLevel, event.F("level", level))
	fmt.Fprintln(w, a.log.Level())
}

func (a *Admin) startDrain(w http.ResponseWriter, _ *http.Request) {
	// The answer goes out first: a router with nothing in flight ends at once.
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusAccepted)
	if err := http.NewResponseController(w).Flush(); err != nil {
		a.log.Write(event.HandlerFailed, event.F("error", err))
	}
	a.drain()
}
