package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/croftyard/croftyard/internal/peer/peerpb"
	"github.com/croftyard/croftyard/internal/socket"
)

// Client calls other routers. It is safe for concurrent use.
type Client struct {
	pool  *drpcpool.Pool[string, *drpcconn.Conn]
	meter *Meter
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client that counts its control calls in meter.
func NewClient(meter *Meter) *Client {
	const dialTimeout = time.Second
	const idlePerPeer = 128
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &Client{
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
			Expiration:  time.Minute,
			KeyCapacity: idlePerPeer,
		}),
		meter: meter,
		dial:  socket.TakesBack(dialer.DialContext),
	}
}

// Close closes the pooled connections.
func (c *Client) Close() {
	// The connections are idle; how their closing went changes nothing.
	_ = c.pool.Close()
}

// conn takes a pooled connection that is ready or dials one. An error means
// that no byte left.
func (c *Client) conn(ctx context.Context, address string) (conn *drpcconn.Conn, kept bool, err error) {
	if conn := c.take(address); conn != nil {
		return conn, true, nil
	}
	conn, err = c.open(ctx, address)
	return conn, false, err
}

// take returns a pooled connection that is ready, or nil.
func (c *Client) take(address string) *drpcconn.Conn {
	for {
		conn, found := c.pool.Take(address)
		if !found {
			return nil
		}
		if ready(conn) {
			return conn
		}
		conn.Close()
	}
}

// forget closes the pooled connections to an address: they go silent together, so
// one that failed speaks against all that were opened before.
func (c *Client) forget(address string) {
	for {
		conn, found := c.pool.Take(address)
		if !found {
			return
		}
		conn.Close()
	}
}

func (c *Client) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	raw, err := c.dial(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnreachable, err)
	}
	return drpcconn.New(raw), nil
}

func ready(conn *drpcconn.Conn) bool {
	select {
	case <-conn.Closed():
		return false
	default:
	}
	select {
	case <-conn.Unblocked():
		return true
	default:
		return false
	}
}

// Forward hands a request to another router and calls receive for each event
// up to and including the end. It returns ErrUnreachable when nothing was
// sent, ErrBroken when the end did not come, and receive's error as it is.
func (c *Client) Forward(ctx context.Context, address string, r *peerpb.ForwardRequest, receive Sender) error {
	conn, _, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = forward(ctx, conn, r, receive)
	if err != nil {
		// Cancelling tells the other router to stop the work; the connection is
		// not used again.
		cancel()
		conn.Close()
		return err
	}
	c.pool.Put(address, conn)
	return nil
}

func forward(ctx context.Context, conn *drpcconn.Conn, r *peerpb.ForwardRequest, receive Sender) error {
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx, r)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			return fmt.Errorf("%w: %v", ErrBroken, err)
		}
		if err := receive(event); err != nil {
			return err
		}
		if event.GetEnd() != nil {
			return closed(stream)
		}
	}
}

// closed reads the stream's regular end, after which the connection is free.
func closed(stream peerpb.DRPCPeer_ForwardClient) error {
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: event after the end: %v", ErrBroken, err)
	}
	return nil
}

// Exchange sends a digest.
func (c *Client) Exchange(ctx context.Context, address string, d *peerpb.Digest) (*peerpb.DigestReply, error) {
	var reply *peerpb.DigestReply
	err := c.control(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Exchange(ctx, d)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.meter.Called(d, reply)
	return reply, nil
}

// Configuration asks for a newer configuration.
func (c *Client) Configuration(ctx context.Context, address string, r *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	var reply *peerpb.ConfigurationReply
	err := c.control(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.Configuration(ctx, r)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.meter.Called(r, reply)
	return reply, nil
}

// List asks for what changed in the platform's list.
func (c *Client) List(ctx context.Context, address string, r *peerpb.ListRequest) (*peerpb.ListReply, error) {
	var reply *peerpb.ListReply
	err := c.control(ctx, address, func(ctx context.Context, peer peerpb.DRPCPeerClient) (err error) {
		reply, err = peer.List(ctx, r)
		return err
	})
	if err != nil {
		return nil, err
	}
	c.meter.Called(r, reply)
	return reply, nil
}

// control makes one bounded call. Control calls may be repeated, so their
// errors need not tell what became of them.
func (c *Client) control(ctx context.Context, address string, call func(context.Context, peerpb.DRPCPeerClient) error) error {
	return c.Control(ctx, address, Bound{Call: controlTimeout, Kept: keptTimeout}, func(ctx context.Context, conn drpc.Conn) error {
		return call(ctx, peerpb.NewDRPCPeerClient(conn))
	})
}

// Bound is how long a call may take.
type Bound struct {
	// Call is the time for the whole call.
	Call time.Duration
	// Kept is the part of it for a connection that was kept: one that went silent is
	// told by nothing else. After it the call is made once more, on a new one. Without
	// it a call is made once.
	Kept time.Duration
}

// Control makes one call of any service, bounded in time. The call must be one
// that may be repeated.
func (c *Client) Control(ctx context.Context, address string, b Bound, call func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, b.Call)
	defer cancel()
	conn, kept, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	if !kept || b.Kept == 0 {
		return c.finish(ctx, address, conn, call)
	}
	err = c.finishWithin(ctx, b.Kept, address, conn, call)
	if err == nil || ctx.Err() != nil {
		return err
	}
	if conn, err = c.open(ctx, address); err != nil {
		return err
	}
	return c.finish(ctx, address, conn, call)
}

func (c *Client) finishWithin(ctx context.Context, limit time.Duration, address string, conn *drpcconn.Conn, call func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.finish(ctx, address, conn, call)
}

// finish makes a call on a connection and keeps it, or drops all to the address.
func (c *Client) finish(ctx context.Context, address string, conn *drpcconn.Conn, call func(context.Context, drpc.Conn) error) error {
	if err := call(ctx, conn); err != nil {
		conn.Close()
		c.forget(address)
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	c.pool.Put(address, conn)
	return nil
}
