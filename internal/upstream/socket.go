package upstream

import (
	"errors"
	"syscall"
	"time"
)

// tcpUserTimeout is Linux's TCP_USER_TIMEOUT, which the syscall package lacks.
const tcpUserTimeout = 18

// controlSocket limits how long sent bytes may stay unacknowledged, so that a
// peer behind a network partition is detected.
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

// isQuiet reports whether nothing arrived on an idle connection: neither EOF nor
// unsolicited bytes.
func (c *conn) isQuiet() bool {
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

// IsRefused reports whether an error means that nothing listens at the address.
func IsRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
