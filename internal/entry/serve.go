package entry

import (
	"errors"
	"net"
	"net/http"
)

// serveCallers returns no error when a stop closes the listener.
func (e *Entry) serveCallers() error {
	defer close(e.accepted)
	err := serve(e.callers, e.conns.Listener(e.callerListener))
	if e.stopping.Load() && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
