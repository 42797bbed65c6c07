package peer

import (
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"
)

// CallOverhead is what one control call costs on the wire beside its two
// messages, in bytes: frame headers, the method's name, the closing frames.
// TestMeterMatchesSocket fails if it is off.
const CallOverhead = 42

// Meter counts the bytes of control calls, of both directions.
type Meter struct {
	sentBytes     atomic.Uint64
	receivedBytes atomic.Uint64
	calls         atomic.Uint64
}

// Bytes returns the bytes sent and received.
func (m *Meter) Bytes() (sent, received uint64) {
	return m.sentBytes.Load(), m.receivedBytes.Load()
}

// Calls returns the number of control calls made and served.
func (m *Meter) Calls() uint64 { return m.calls.Load() }

// Called counts a call that this router made.
func (m *Meter) Called(request, reply proto.Message) {
	m.count(&m.sentBytes, &m.receivedBytes, request, reply)
}

// Received counts a call that this router served.
func (m *Meter) Received(request, reply proto.Message) {
	m.count(&m.receivedBytes, &m.sentBytes, request, reply)
}

func (m *Meter) count(out, back *atomic.Uint64, request, reply proto.Message) {
	m.calls.Add(1)
	out.Add(uint64(proto.Size(request) + CallOverhead))
	back.Add(uint64(proto.Size(reply)))
}

// Probe returns a dialer whose connections count as control traffic byte for
// byte: those to targets, to ask for their load.
func (m *Meter) Probe(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m}, nil
	}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.receivedBytes.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sentBytes.Add(uint64(n))
	return n, err
}
