package conns

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a caller's connection.
type Conn struct {
	net.Conn
	// raw is nil if the connection is no socket, as in tests.
	raw syscall.RawConn

	mu sync.Mutex
	// serving: a whole head was read and its answer has not ended.
	serving bool
	// reading: a read waits for bytes. Until then the server may hold bytes of the
	// next request that it read along with the last one.
	reading bool
	// heard: something of the next request was read.
	heard bool
	// room is the size of a read by which the server fills its buffer when that holds
	// nothing, as at the start of a connection.
	room   int
	closed bool
	// since is when the connection began to rest.
	since time.Time
}

func newConn(c net.Conn, now time.Time) *Conn {
	conn := &Conn{Conn: c, since: now}
	if socket, ok := c.(syscall.Conn); ok {
		// One without a descriptor is read in the ordinary way.
		if raw, err := socket.SyscallConn(); err == nil {
			conn.raw = raw
		}
	}
	return conn
}

// Read implements net.Conn. The bytes are taken from the socket under the lock
// under which the connection is closed.
func (c *Conn) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	c.beginRead(len(p))
	defer c.setReading(false)
	if c.raw == nil {
		n, err = c.Conn.Read(p)
		c.noteRead(n, len(p))
		return n, err
	}
	rawErr := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			err = net.ErrClosed
			return true
		}
		n, err = readSocket(int(fd), p)
		if err == syscall.EAGAIN {
			return false
		}
		c.heard = c.heard || n > 0 && c.next(len(p))
		return true
	})
	switch {
	case rawErr != nil:
		return 0, rawErr
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError("read", err)}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// readSocket reads what is there.
func readSocket(fd int, p []byte) (int, error) {
	for {
		n, err := syscall.Read(fd, p)
		if err != syscall.EINTR {
			return max(n, 0), err
		}
	}
}

// next tells whether bytes that a read of a size brings belong to the next request:
// those that come at rest do, and so does the one byte by which the server looks,
// while it serves, whether the caller is still there.
func (c *Conn) next(size int) bool { return !c.serving || size == 1 }

func (c *Conn) noteRead(n, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = c.heard || n > 0 && c.next(size)
}

// beginRead notes that a read of a size waits for bytes. One at rest that leaves out a
// part of the server's buffer goes on behind bytes of the next request, which came with
// those of the last one.
func (c *Conn) beginRead(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = true
	if !c.serving {
		c.room = max(c.room, size)
		c.heard = c.heard || size < c.room
	}
}

func (c *Conn) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = reading
}

// serves notes that a whole head was read.
func (c *Conn) serves() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.heard = true, false
}

// rests notes that an answer has ended.
func (c *Conn) rests(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.since = false, now
}

func (c *Conn) rested(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.since)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite tells the caller that nothing more comes. The server uses it behind the
// last answer, so that the caller reads that before the connection is reset.
func (c *Conn) CloseWrite() error {
	if half, can := c.Conn.(interface{ CloseWrite() error }); can {
		return half.CloseWrite()
	}
	return nil
}

// SetLinger sets what closing the connection does with unsent bytes, see net.TCPConn: with 0
// the caller gets a reset.
func (c *Conn) SetLinger(seconds int) error {
	socket, can := c.Conn.(interface{ SetLinger(seconds int) error })
	if !can {
		return errNoSocket
	}
	return socket.SetLinger(seconds)
}

// Reset closes the connection of an answer in progress with a reset. An answer that ends with
// its connection is taken for complete after a regular close. The handler must not write any
// more. A connection that cannot be taken from the server stays open.
func Reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if socket, can := c.(interface{ SetLinger(seconds int) error }); can {
		// One that is closed already has nothing left to reset.
		_ = socket.SetLinger(0)
	}
	c.Close()
}

// contextKey is the context key of a request's connection.
type contextKey struct{}

// Context is a ConnContext hook of http.Server, by which ResetOnClose finds the connection of a
// request.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// ResetOnClose makes any close of a request's connection a reset, also that of the system when
// the process is killed, or a regular one again. A reset drops what the caller has not been sent.
// It has no effect on a connection that is no socket or that Context does not know.
func ResetOnClose(ctx context.Context, reset bool) {
	socket, can := ctx.Value(contextKey{}).(interface{ SetLinger(seconds int) error })
	if !can {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	// One that is closed already has nothing left to reset.
	_ = socket.SetLinger(seconds)
}

// Outcome is what CloseIfResting found.
type Outcome uint8

// The outcomes.
const (
	// Closed: it was at rest.
	Closed Outcome = iota
	// Gone: it was closed before.
	Gone
	// Unread: a request lies in the socket.
	Unread
	// Serving: a request, or a part of one, was read.
	Serving
)

// CloseIfResting closes the connection unless something of a request was read or
// lies unread.
func (c *Conn) CloseIfResting() Outcome {
	outcome := c.endRest()
	if outcome == Closed {
		// Not under the lock: it waits for the read that is under way. One that its
		// caller has closed is as good.
		_ = c.Conn.Close()
	}
	return outcome
}

// endRest marks the connection as closed if it is at rest; nothing is read from it
// any more.
func (c *Conn) endRest() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return Gone
	case c.serving || c.heard || !c.reading:
		return Serving
	case c.unread():
		return Unread
	}
	c.closed = true
	return Closed
}

// SyscallConn implements syscall.Conn, for those who ask the system what it knows of
// the connection. Nothing is to be read by it.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if c.raw == nil {
		return nil, errNoSocket
	}
	return c.raw, nil
}

var errNoSocket = errors.New("conns: no socket")

// unread tells whether a read would find bytes now, without reading them.
func (c *Conn) unread() (waiting bool) {
	if c.raw == nil || c.closed {
		return false
	}
	// One that is closed meanwhile holds nothing.
	_ = c.raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err == nil && n > 0
	})
	return waiting
}
