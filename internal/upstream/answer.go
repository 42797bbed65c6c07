package upstream

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
)

// Answer is a replica's response whose head has arrived. Body must be read to its
// end or closed. Close must be called.
type Answer struct {
	*http.Response
	pool       *Pool
	conn       *conn
	stop       func() bool
	wrote      chan error
	reachedEOF bool
	// Fresh: the connection was opened for the request.
	Fresh bool
}

// Close releases the connection. It is kept if the body was read to its end and
// no further bytes arrived, and closed otherwise.
func (a *Answer) Close() {
	if !a.stop() || !a.reachedEOF || !a.reusable() {
		a.conn.Close()
		return
	}
	a.conn.expires = steady.Now().Add(a.keepTime())
	a.pool.put(a.conn)
}

// IsSilenced reports whether the replica's system does not answer probes of the connection, which is
// dead or out of reach then, whatever new connections do.
func (a *Answer) IsSilenced() bool {
	state, known := a.pool.socketState(a.conn.Conn)
	return known && state.Probed
}

// Read reads the body and records when it reaches the end.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if err == io.EOF {
		a.reachedEOF = true
	}
	return n, err
}

// Undelimited reports whether the body has neither a length nor chunks and ends with its
// connection. Its end then does not prove that it is complete.
func (a *Answer) Undelimited() bool { return !delimited(a.Response) && a.bodyAllowed() }

func (a *Answer) reusable() bool {
	if a.Response.Close || a.Undelimited() || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.wrote == nil {
		return true
	}
	select {
	case err := <-a.wrote:
		return err == nil
	default:
		// The replica answered before it had read the whole request, so it would
		// read the rest of this request as the next one.
		return false
	}
}

func (a *Answer) bodyAllowed() bool {
	return a.Request.Method != http.MethodHead && a.StatusCode != http.StatusNoContent && a.StatusCode != http.StatusNotModified
}

// keepTime returns how long the connection may stay idle: less than the replica keeps it.
func (a *Answer) keepTime() time.Duration {
	const margin = time.Second
	keep := a.pool.options.IdleTime
	for _, field := range strings.Split(a.Header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		seconds, err := strconv.Atoi(value)
		if found && err == nil {
			keep = min(keep, time.Duration(seconds)*time.Second-margin)
		}
	}
	return keep
}
