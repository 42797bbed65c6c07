package edge

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Serve serves callers on a listener until Shutdown. It is called once.
func (e *Edge) Serve(l net.Listener) error {
	defer close(e.accepted)
	e.listener.Store(&l)
	err := e.server.Serve(e.conns.Listener(l))
	if errors.Is(err, http.ErrServerClosed) || e.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// Stopping makes each answer that begins from now on the last of its connection.
func (e *Edge) Stopping() { e.stopping.Store(true) }

// Shutdown closes the listener once nothing lies in its queue, then the callers'
// connections, each once nothing of a request is in it, and returns when none is left
// or with the error of ctx.
func (e *Edge) Shutdown(ctx context.Context) error {
	e.Stopping()
	if l := e.listener.Load(); l != nil {
		// At the limit what is left in the queue is closed over.
		_ = e.conns.WaitAccepted(ctx)
		(*l).Close()
		<-e.accepted
	}
	_, err := e.conns.Drain(ctx)
	return err
}

// announceEnd tells callers of a stopping router not to use the connection again.
func (e *Edge) announceEnd(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&announcer{ResponseWriter: w, edge: e}, r)
	})
}

// announcer adds the end of the connection to a head that is written while the router
// stops: an answer may begin long after its request came.
type announcer struct {
	http.ResponseWriter
	edge  *Edge
	begun bool
}

// WriteHeader implements http.ResponseWriter.
func (a *announcer) WriteHeader(status int) {
	a.begun = a.begun || status >= http.StatusOK
	if a.edge.stopping.Load() {
		a.Header().Set("Connection", "close")
	}
	a.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (a *announcer) Write(p []byte) (int, error) {
	if !a.begun {
		a.WriteHeader(http.StatusOK)
	}
	return a.ResponseWriter.Write(p)
}

// Unwrap is what http.ResponseController looks for.
func (a *announcer) Unwrap() http.ResponseWriter { return a.ResponseWriter }
