package socket

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// takesBack is a connection that takes back what was written last and not answered, if it is
// closed.
type takesBack struct {
	net.Conn
	// unanswered: nothing came since something was written.
	unanswered atomic.Bool
}

// TakesBack makes the connections of a dial take back, when they are closed, what was written and
// not answered. A regular close leaves it with the system, which goes on delivering it: a request
// that was given up and sent elsewhere would be run as soon as a cut heals.
//
// What has arrived is not taken back, and the reset that tells the other side is sent once only.
func TakesBack(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &takesBack{Conn: c}, nil
	}
}

// Write implements net.Conn.
func (c *takesBack) Write(b []byte) (int, error) {
	c.unanswered.Store(true)
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *takesBack) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close implements net.Conn.
func (c *takesBack) Close() error {
	socket, known := c.Conn.(interface{ SetLinger(seconds int) error })
	if known && c.unanswered.Load() {
		// One that is closed already has nothing left to take back.
		_ = socket.SetLinger(0)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, for what the system knows of the connection.
func (c *takesBack) SyscallConn() (syscall.RawConn, error) {
	socket, known := c.Conn.(syscall.Conn)
	if !known {
		return nil, syscall.ENOTSOCK
	}
	return socket.SyscallConn()
}
