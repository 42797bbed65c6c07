package faulty

import (
	"bufio"
	"io"
	"net"
)

// Early is a server that answers each request before it has read its body, and then resets the
// connection.
type Early struct {
	listener net.Listener
	// answer is sent for each request, verbatim.
	answer string
	// before and after are how many bytes of a body are read before the answer and after it.
	before, after int64
	// begun delivers a value as the answer was sent, and the reset waits for one of proceed.
	begun, proceed chan struct{}
}

// NewEarly starts a server on a loopback address. The error is the listener's.
func NewEarly(answer string) (*Early, error) { return NewEarlyWithin(answer, 0, 0) }

// NewEarlyWithin starts a server that reads so many bytes of each body before it answers, and so many
// more before the reset.
func NewEarlyWithin(answer string, before, after int64) (*Early, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	e := &Early{listener: l, answer: answer, before: before, after: after, begun: make(chan struct{}, 1), proceed: make(chan struct{})}
	go e.run()
	return e, nil
}

// Address returns the server's host:port.
func (e *Early) Address() string { return e.listener.Addr().String() }

// Begun delivers a value each time that an answer was sent.
func (e *Early) Begun() <-chan struct{} { return e.begun }

// Reset resets the connection whose answer was sent.
func (e *Early) Reset() { e.proceed <- struct{}{} }

// Close ends the listener.
func (e *Early) Close() { e.listener.Close() }

func (e *Early) run() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.serve(c.(*net.TCPConn))
	}
}

func (e *Early) serve(c *net.TCPConn) {
	defer c.Close()
	_ = c.SetLinger(0)
	// The small buffer holds up the rest of the request.
	const buffer = 4 << 10
	_ = c.SetReadBuffer(buffer)
	reader := bufio.NewReaderSize(c, buffer)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if line == "\r\n" {
			break
		}
	}
	_, _ = io.CopyN(io.Discard, reader, e.before)
	_, _ = io.WriteString(c, e.answer)
	e.begun <- struct{}{}
	<-e.proceed
	_, _ = io.CopyN(io.Discard, reader, e.after)
}
