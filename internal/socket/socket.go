// Package socket asks the system what it knows of a TCP connection, without
// touching what is read or written on it.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// States of a connection in the system's terms (tcp_states.h).
const (
	established = 1
	// closeWait: the other side has closed, and this one has not.
	closeWait = 8
	closed    = 7
)

// State is what the system knows of a connection.
type State struct {
	// Left: the other side closed it or reset it, whether or not all that came before
	// was read.
	Left bool
	// Unacked: bytes were sent whose arrival the other side's system has not confirmed.
	Unacked bool
	// Probed: the other side's system has not answered a keep-alive probe, or not yet.
	Probed bool
	// Quiet is how long nothing came.
	Quiet time.Duration
}

// Look returns the state of a connection; known is false for what is no socket.
func Look(c net.Conn) (s State, known bool) {
	info, known := infoOf(c)
	if !known {
		return State{}, false
	}
	return State{
		Left:    info.State == closeWait || info.State == closed,
		Unacked: info.State == established && info.Unacked > 0,
		Probed:  info.State == established && info.Probes > 0,
		Quiet:   time.Duration(info.Last_data_recv) * time.Millisecond,
	}, true
}

// isHalfClosed reports whether the other side has closed a connection in order, and this one has
// not; known is false for what is no socket.
func isHalfClosed(c net.Conn) (half, known bool) {
	info, known := infoOf(c)
	return known && info.State == closeWait, known
}

// infoOf returns what the system knows of a connection; known is false for what is no socket.
func infoOf(c net.Conn) (info syscall.TCPInfo, known bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return info, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return info, false
	}
	asked := false
	// Control, unlike Read, does not wait for a read that is under way.
	err = raw.Control(func(fd uintptr) { asked = ask(fd, &info) })
	return info, err == nil && asked
}

func ask(fd uintptr, info *syscall.TCPInfo) bool {
	size := uint32(unsafe.Sizeof(*info))
	_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
		uintptr(unsafe.Pointer(info)), uintptr(unsafe.Pointer(&size)), 0)
	return errno == 0
}

// IsExhausted tells whether an error says that there is no descriptor left.
func IsExhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
