package faulty

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Silence makes the system drop all that arrives on a connection, unacknowledged, as a path that is
// lost without a reset.
func Silence(c net.Conn) error {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return errors.New("faulty: not a socket")
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return fmt.Errorf("faulty: silence: %w", err)
	}
	// A filter of one instruction, which keeps 0 bytes of each packet.
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	result := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	return errors.Join(result, err)
}
