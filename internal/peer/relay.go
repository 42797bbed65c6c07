package peer

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"storj.io/drpc/drpcmigrate"

	"github.com/croftyard/croftyard/internal/socket"
)

// Connections that carry relayed requests, in HTTP, come to the same address as the calls
// of drpc. Their first bytes distinguish them, and the answer to these shows that the other
// router knows them: one of an earlier build does not, and must not get a request that it
// cannot read.
const (
	relayPrefix = "relay/1\n"
	relayAccept = "ready/1\n"
)

// relayListener accepts the connections of relayed requests.
type relayListener struct{ net.Listener }

// Accept implements net.Listener.
func (l relayListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if _, err := io.WriteString(c, relayAccept); err == nil {
			return c, nil
		}
		c.Close()
	}
}

// DialRelay returns a dial that opens connections for relayed requests to a router. An
// error means that no request can have left.
func DialRelay(dial socket.Dial) socket.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := greetRelay(ctx, c); err != nil {
			c.Close()
			return nil, fmt.Errorf("peer: relay to %s: %w", address, err)
		}
		return c, nil
	}
}

func greetRelay(ctx context.Context, c net.Conn) error {
	defer context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })()
	if _, err := io.WriteString(c, relayPrefix); err != nil {
		return err
	}
	answer := make([]byte, len(relayAccept))
	if _, err := io.ReadFull(c, answer); err != nil {
		return err
	}
	if string(answer) != relayAccept {
		return fmt.Errorf("unexpected answer %q", answer)
	}
	return nil
}

// patientListener goes on after descriptors ran out, so that the listener outlives it.
type patientListener struct{ net.Listener }

// acceptPause is the wait before the next try after no descriptor was left.
const acceptPause = 20 * time.Millisecond

// Accept implements net.Listener.
func (l patientListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil || !socket.IsExhausted(err) {
			return c, err
		}
		time.Sleep(acceptPause)
	}
}

// ErrClosed: the server was closed.
var ErrClosed = drpcmigrate.Closed
