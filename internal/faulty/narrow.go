package faulty

import (
	"fmt"
	"io"
	"net"
)

// Narrow takes one connection and has little room for what comes on it: most of a long
// request stays on the way, with the system of who sent it.
type Narrow struct {
	listener net.Listener
	begun    chan *net.TCPConn
}

// narrowRoom is how much it has room for, in bytes.
const narrowRoom = 4 << 10

// NewNarrow listens for a connection.
func NewNarrow() (*Narrow, error) {
	listener, err := Listen()
	if err != nil {
		return nil, fmt.Errorf("faulty: narrow: %w", err)
	}
	n := &Narrow{listener: listener, begun: make(chan *net.TCPConn, 1)}
	go n.accept()
	return n, nil
}

// Address is where the connection is taken.
func (n *Narrow) Address() string { return n.listener.Addr().String() }

// accept takes the connection and its first byte.
func (n *Narrow) accept() {
	accepted, err := n.listener.Accept()
	if err != nil {
		return
	}
	c := accepted.(*net.TCPConn)
	if c.SetReadBuffer(narrowRoom) != nil {
		return
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		return
	}
	n.begun <- c
}

// Begun waits for the first byte.
func (n *Narrow) Begun() { n.begun <- <-n.begun }

// Rest reads all that comes after it, and returns how that ended: nil for a regular end.
func (n *Narrow) Rest() error {
	c := <-n.begun
	defer c.Close()
	_, err := io.Copy(io.Discard, c)
	return err
}

// Close ends listening.
func (n *Narrow) Close() { n.listener.Close() }
