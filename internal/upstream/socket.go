package upstream

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package lacks.
const tcpUserTimeout = 18

// controlSocket bounds how long sent bytes may stay unacknowledged, so that a
// peer behind a cut is noticed.
func controlSocket(silence time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var result error
		err := raw.Control(func(fd uintptr) {
			result = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return result
	}
}

// quiet tells whether nothing came on a resting connection: neither its end nor
// bytes that nobody asked for.
func (c *conn) quiet() bool {
	socket, known := c.Conn.(syscall.Conn)
	if !known || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// IsRefused tells whether an error says that nothing listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
