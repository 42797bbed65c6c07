package faulty

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// End is how a Scripted server leaves a connection after a reply.
type End uint8

// The ends.
const (
	// Kept: the connection stays open for another request.
	Kept End = iota
	// Closed: the connection is closed in order.
	Closed
	// Reset: the connection is closed with a reset.
	Reset
)

func (e End) String() string { return [...]string{"kept", "closed", "reset"}[e] }

// Reply is what a Scripted server sends for a request, verbatim.
type Reply struct {
	Text string
	// Rest is sent after Pause.
	Rest  string
	Pause time.Duration
	End   End
}

// Scripted is a server whose n-th request, over all connections, gets the n-th of its replies. The
// last reply is repeated.
type Scripted struct {
	listener net.Listener
	// path is that of the requests that are served.
	path     string
	replies  []Reply
	requests atomic.Int32
}

// NewScripted starts a server on a loopback address that serves requests for a path, as another
// process may still send requests to the server that had its port before. The error is the
// listener's.
func NewScripted(path string, replies ...Reply) (*Scripted, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	s := &Scripted{listener: l, path: path, replies: replies}
	go s.run()
	return s, nil
}

// Address returns the server's host:port.
func (s *Scripted) Address() string { return s.listener.Addr().String() }

// Requests returns how many requests have arrived.
func (s *Scripted) Requests() int { return int(s.requests.Load()) }

// Close ends the listener.
func (s *Scripted) Close() { s.listener.Close() }

func (s *Scripted) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

func (s *Scripted) serve(c *net.TCPConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil || request.URL.Path != s.path {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		n := int(s.requests.Add(1))
		if !s.replies[min(n, len(s.replies))-1].send(c) {
			return
		}
	}
}

// send reports whether the connection stays open.
func (r Reply) send(c *net.TCPConn) bool {
	_, _ = io.WriteString(c, r.Text)
	if r.Pause > 0 {
		time.Sleep(r.Pause)
	}
	if r.Rest != "" {
		_, _ = io.WriteString(c, r.Rest)
	}
	if r.End == Reset {
		_ = c.SetLinger(0)
	}
	return r.End == Kept
}
