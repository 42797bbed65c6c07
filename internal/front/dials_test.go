package front

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/upstream"
)

// unsent records why requests were not sent to replicas or to other routers.
type unsent struct {
	mu     sync.Mutex
	errors []string
}

func (u *unsent) add(what, address string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.errors = append(u.errors, fmt.Sprintf("%s to %s: %v", what, address, err))
}

// all returns what was recorded.
func (u *unsent) all() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.errors)
}

// watch returns a dial whose failures are recorded, and those of writes on its connections.
func (u *unsent) watch(dial socket.Dial) socket.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			u.add("dial", address, err)
			return nil, err
		}
		return &watchedConn{TCPConn: c.(*net.TCPConn), address: address, unsent: u}, nil
	}
}

type watchedConn struct {
	*net.TCPConn
	address string
	unsent  *unsent
}

// Write implements net.Conn.
func (c *watchedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.unsent.add("write", c.address, err)
	}
	return n, err
}

// portOnly returns a dial whose connections have a single local port to be opened from.
func portOnly(port int) socket.Dial {
	// ipLocalPortRange is Linux's IP_LOCAL_PORT_RANGE, which the syscall package lacks.
	const ipLocalPortRange = 51
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var result error
		err := raw.Control(func(fd uintptr) {
			result = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, port|port<<16)
		})
		if err != nil {
			return err
		}
		return result
	}}
	return dialer.DialContext
}

// Guards against a test of refused requests that does not say why nothing was sent: without a free
// port no connection is opened, and the request has not run.
func TestRequestWithoutAFreePortIsRefused(t *testing.T) {
	listener, err := faulty.Listen()
	require.NoError(t, err)
	defer listener.Close()
	address, asked := replica(t, nil)
	r := newRig(t, address)
	r.front.pool = upstream.New(upstream.Options{IDHeader: "Try", DialTimeout: time.Minute, SilenceTimeout: time.Minute, IdleTime: time.Minute,
		Dial: r.unsent.watch(portOnly(listener.Addr().(*net.TCPAddr).Port))})
	response, body, err := r.call(t, "1.1", "/once/x")
	require.NoError(t, err)
	assert.Equal(t, 503, response.StatusCode)
	assert.Contains(t, body, "no replica")
	assert.Zero(t, asked.Load())
	require.Len(t, r.unsent.all(), 1)
	assert.Contains(t, r.unsent.all()[0], syscall.EADDRNOTAVAIL.Error())
}
