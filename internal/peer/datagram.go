package peer

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Datagrams sends and takes datagrams at one address. It is safe for concurrent use.
//
// What is told over and over needs no connection: a datagram costs one call of the
// system at either end and keeps nothing, where a call of drpc takes a stream, two
// goroutines, two timers and a connection.
type Datagrams struct {
	conn  *net.UDPConn
	meter *Meter
	done  sync.WaitGroup
}

// MaxDatagram is the largest datagram that is sent, in bytes. What is larger than a
// network's packets goes in several, and is lost if one of them is.
const MaxDatagram = 60 << 10

// readPause keeps a socket that fails from being read in a hurry.
const readPause = 10 * time.Millisecond

// ListenDatagrams opens an address for datagrams. Those that come wait until Serve is called.
func ListenDatagrams(address string, meter *Meter) (*Datagrams, error) {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("peer: datagrams: %w", err)
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, fmt.Errorf("peer: datagrams: %w", err)
	}
	return &Datagrams{conn: conn, meter: meter}, nil
}

// Serve has take called with each datagram, one at a time, until Close. take must not keep the
// packet.
func (d *Datagrams) Serve(take func(from netip.AddrPort, packet []byte)) {
	d.done.Go(func() { d.read(take) })
}

func (d *Datagrams) read(take func(netip.AddrPort, []byte)) {
	packet := make([]byte, MaxDatagram)
	for {
		n, from, err := d.conn.ReadFromUDPAddrPort(packet)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// What an earlier datagram met; the next one may come all the same.
			time.Sleep(readPause)
			continue
		}
		d.meter.receivedBytes.Add(uint64(n))
		take(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), packet[:n])
	}
}

// Send sends a datagram. Whether it arrives is not known; an error says that it was
// not sent.
func (d *Datagrams) Send(to netip.AddrPort, packet []byte) error {
	if _, err := d.conn.WriteToUDPAddrPort(packet, to); err != nil {
		return fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	d.meter.sentBytes.Add(uint64(len(packet)))
	return nil
}

// Close ends the taking of datagrams, and returns once the last one is taken.
func (d *Datagrams) Close() {
	d.conn.Close()
	d.done.Wait()
}
