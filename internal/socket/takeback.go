package socket

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
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
	// writing is held during a write. writes counts the writes in progress, and writeFailed is set
	// once one has failed.
	writing     sync.Mutex
	writes      atomic.Int32
	writeFailed atomic.Bool
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
	c.writes.Add(1)
	defer c.writes.Add(-1)
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// errResetDuringWrite means that a write got the error of a connection that was reset.
var errResetDuringWrite = fmt.Errorf("socket: reset while a request was written: %w", syscall.ECONNRESET)

// Read implements net.Conn. The end of what was read is an error if the connection was reset: the
// system reports a reset to one call only, which may be a write in progress.
func (c *takesBack) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.unanswered.Store(false)
	}
	if err == io.EOF && c.wasReset() {
		err = errResetDuringWrite
	}
	return n, err
}

// wasReset reports, at the end of what was read, whether a write failed because of that end.
func (c *takesBack) wasReset() bool {
	if c.writes.Load() == 0 {
		return c.writeFailed.Load()
	}
	ended, known := isHalfClosed(c)
	if !known {
		// Whether the connection was reset is not known.
		return true
	}
	if ended {
		return c.writeFailed.Load()
	}
	// The connection is closed, so the write in progress ends.
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeFailed.Load()
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
