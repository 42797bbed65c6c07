package faulty

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// endlessBytes bounds what an Endless server sends on one connection, so that a test of a
// client that reads without a limit ends.
const endlessBytes = 64 << 20

// Endless is a server that answers the first request of each connection with bytes that go on
// until the connection is closed.
type Endless struct {
	listener net.Listener
	begin    string
	piece    []byte
	sent     atomic.Int64
	closed   chan struct{}
}

// NewEndless starts a server on a loopback address whose answers are begin and then piece
// again and again. The error is the listener's.
func NewEndless(begin, piece string) (*Endless, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	const size = 64 << 10
	e := &Endless{listener: l, begin: begin, closed: make(chan struct{}, 64)}
	for len(e.piece) < size {
		e.piece = append(e.piece, piece...)
	}
	go e.run()
	return e, nil
}

// Address returns the server's host:port.
func (e *Endless) Address() string { return e.listener.Addr().String() }

// Sent returns how many bytes clients and the system's buffers have taken on all connections.
func (e *Endless) Sent() int64 { return e.sent.Load() }

// Closed delivers a value for each connection that has ended.
func (e *Endless) Closed() <-chan struct{} { return e.closed }

// Close ends the listener.
func (e *Endless) Close() { e.listener.Close() }

func (e *Endless) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Endless) serve(c net.Conn) {
	defer func() { e.closed <- struct{}{} }()
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	n, err := io.WriteString(c, e.begin)
	e.sent.Add(int64(n))
	for sent := n; err == nil && sent < endlessBytes; sent += n {
		n, err = c.Write(e.piece)
		e.sent.Add(int64(n))
	}
}
