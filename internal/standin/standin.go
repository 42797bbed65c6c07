// Package standin holds small stand-ins of the systems that croftyard serves:
// the platform's key-value service and instance list, a model engine and a
// plain service. The demo and the tests run them; they speak the protocols
// that the product's clients speak and keep records of what really ran, from
// which tests draw their verdicts.
package standin

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server is an HTTP listener of a stand-in on a loopback port.
type Server struct {
	// Address is host:port.
	Address  string
	server   *http.Server
	listener net.Listener
}

// Serve starts a server on address; port 0 picks a free one.
func Serve(address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("standin: %w", err)
	}
	const headerTimeout = 10 * time.Second
	s := &Server{
		Address:  listener.Addr().String(),
		server:   &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
		listener: listener,
	}
	go func() {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return s, nil
}

// Close ends the listener and all connections at once.
func (s *Server) Close() {
	s.server.Close()
}

// Runs records what a target ran.
type Runs struct {
	mu       sync.Mutex
	attempts map[string]int
	keys     map[string]int
	bodies   map[string]int
}

func newRuns() Runs {
	return Runs{attempts: make(map[string]int), keys: make(map[string]int), bodies: make(map[string]int)}
}

// add notes a run; body is the text by which a test knows the request.
func (r *Runs) add(attempt, key, body string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[attempt]++
	r.bodies[body]++
	if key != "" {
		r.keys[key]++
	}
}

// Key returns how often a request with this key ran.
func (r *Runs) Key(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.keys[key]
}

// Body returns how often a request with this text ran.
func (r *Runs) Body(body string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bodies[body]
}

// Total returns how many requests ran.
func (r *Runs) Total() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.attempts)
}
