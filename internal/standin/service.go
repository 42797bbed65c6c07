package standin

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/croftyard/croftyard/internal/dispatch"
)

// Service is the stand-in of a plain service: it answers with what it was sent.
type Service struct {
	Name string
	Runs Runs
	// dropNext makes the next call run and lose its answer.
	dropNext atomic.Bool
}

// NewService returns a service.
func NewService(name string) *Service {
	return &Service{Name: name, Runs: newRuns()}
}

// DropNext makes the next call run without an answer.
func (s *Service) DropNext() { s.dropNext.Store(true) }

// Handler returns the service's HTTP face.
func (s *Service) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		attempt := r.Header.Get(dispatch.AttemptHeader)
		s.Runs.add(attempt, r.Header.Get(dispatch.KeyHeader), string(body))
		if s.dropNext.CompareAndSwap(true, false) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set(dispatch.AttemptHeader, attempt)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		_, _ = io.WriteString(w, r.Method+" "+r.URL.Path+"\n"+string(body))
	})
}
