package main

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The last numbers of the loopback addresses on which routers and stand-ins listen. A router's
// ports are free while it is away, and must not be taken meanwhile.
const (
	routerHost  = 6
	standInHost = 7
)

// ownAddress is on a loopback address of this process: a port of 127.0.0.1 may be taken by an
// outgoing connection of any other process.
func ownAddress(last int) string {
	const perByte, usable = 256, 200
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 1+pid/perByte%usable, pid%perByte, last)
}

// given are the addresses that were handed out: those of a router that is away are free.
var given = struct {
	sync.Mutex
	addresses map[string]bool
}{addresses: make(map[string]bool)}

// freeAddresses returns addresses for routers, none of which was returned before.
func freeAddresses(n int) ([]string, error) {
	given.Lock()
	defer given.Unlock()
	var out []string
	for len(out) < n {
		l, err := net.Listen("tcp", ownAddress(routerHost))
		if err != nil {
			return nil, err
		}
		defer l.Close()
		if address := l.Addr().String(); !given.addresses[address] {
			given.addresses[address] = true
			out = append(out, address)
		}
	}
	return out, nil
}
