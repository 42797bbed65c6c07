package faulty

import (
	"net"
	"os"
	"strconv"
	"sync"
)

// addresses hands out the loopback addresses of this process's listeners.
var addresses struct {
	mu sync.Mutex
	// next counts the listeners.
	next int
	// port is that of the last listener, which the next one uses at another host.
	port int
}

const (
	// lowestHost and hosts are the range of the last byte of an address.
	lowestHost, hosts = 10, 240
	// lowestNet and nets are that of the second one.
	lowestNet, nets = 1, 200
)

// Listen listens on a loopback address that depends on the process and changes with each listener,
// as a client of another process may still send to the server that had the address before.
//
// Many listeners share a port. The system opens no connection from a port while a closed one of a
// listener there is remembered, so that tests with many servers would use up the ports of the machine.
func Listen() (net.Listener, error) {
	a := &addresses
	a.mu.Lock()
	defer a.mu.Unlock()
	pid := os.Getpid()
	ip := net.IPv4(127, byte(lowestNet+pid>>8%nets), byte(pid), byte(lowestHost+a.next%hosts))
	if a.next%hosts == 0 {
		a.port = 0
	}
	a.next++
	l, err := net.Listen("tcp", net.JoinHostPort(ip.String(), strconv.Itoa(a.port)))
	if err != nil && a.port != 0 {
		l, err = net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	}
	if err != nil {
		return nil, err
	}
	a.port = l.Addr().(*net.TCPAddr).Port
	return l, nil
}
