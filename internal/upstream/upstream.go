// Package upstream sends requests to replicas over its own pool of HTTP/1.1
// connections and reports whether each request can have reached a replica.
//
//	Pool.Do -> Answer          the response head carries this request's id
//	        -> ErrNotSent      no byte can have reached a replica
//	        -> ErrBroken       sent; whether it ran is not known
//
// The standard client is not used: it retries requests by itself, and it would
// match a late second response on a kept connection to the next request. This
// package matches responses by the echoed id, skips responses to other requests,
// and never reuses a connection that holds more than its response.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/head"
	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
)

// Errors of this package.
var (
	// ErrNotSent: no byte of the request can have reached the replica.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken: sent, but no response to this request arrived.
	ErrBroken = errors.New("upstream: no answer")
	// errHeadTooLarge and errSkippedTooLarge: the connection carries no response, or more of one
	// to another request than is skipped.
	errHeadTooLarge    = errors.New("head of the response too large")
	errSkippedTooLarge = errors.New("response to another request too large")
	// ErrNoneKept: there was no kept connection for a request that asked for one.
	ErrNoneKept = errors.New("upstream: no connection kept")
)

// Options configures a Pool.
type Options struct {
	// IDHeader names the header in which a replica echoes the request's id.
	IDHeader string
	// DialTimeout limits how long opening a connection may take.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged.
	SilenceTimeout time.Duration
	// Source is the IP address from which connections are opened, empty if the system chooses
	// it.
	Source string
	// MaxHead is the largest head of a response, in bytes; zero means defaultMaxHead.
	MaxHead int
	// IdleTime is the longest time that a connection stays idle before it is closed.
	IdleTime time.Duration
	// Dial opens a connection. If nil, the system's TCP is used, with SilenceTimeout as the
	// limit on unacknowledged bytes.
	Dial socket.Dial
	// Opened is called for each connection that the pool opens. It may be nil.
	Opened func(address string)
	// OnSilent is called when a kept connection to an address proves silent, with the
	// number of idle connections dropped as a result. It may be nil.
	OnSilent func(address string, dropped int)
}

const (
	// defaultMaxHead is well above the size of usual heads, in bytes.
	defaultMaxHead = 32 << 10
	// maxSkippedBody is the largest body, in bytes, of a response to another request that is
	// read to keep the connection.
	maxSkippedBody = 1 << 20
)

// Pool keeps idle connections to replicas for reuse. It is safe for concurrent use.
type Pool struct {
	options Options
	// opener opens a TCP connection to an address.
	opener func(ctx context.Context, address string) (net.Conn, error)
	// socketState asks the kernel for the TCP state of a connection.
	socketState func(net.Conn) (s socket.State, known bool)
	mu          sync.Mutex
	idle        map[string][]*conn
	// open holds all open connections to each address, idle or in use.
	open map[string]map[*conn]struct{}
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.MaxHead == 0 {
		o.MaxHead = defaultMaxHead
	}
	return &Pool{options: o, opener: opener(o), socketState: socket.Look, idle: make(map[string][]*conn), open: make(map[string]map[*conn]struct{})}
}

// conn is one connection. Between requests it is idle in the pool.
type conn struct {
	net.Conn
	pool    *Pool
	reader  *bufio.Reader
	address string
	// opened is when the connection was opened and heard when bytes last arrived on
	// it, in nanoseconds of the pool's clock. heard is atomic because the timers of an
	// exchange read it concurrently.
	opened int64
	heard  atomic.Int64
	// headLeft is how many bytes may still be read for the head that is being read. It is
	// negative while no head is.
	headLeft int
	// head takes the bytes of that head.
	head head.Scanner
	// expires is when the replica or the pool stops keeping the connection.
	expires time.Time
}

// Do sends a request and waits for the head of its response. When ctx ends, the
// connection is closed, which tells the replica to stop the work.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	for {
		c, reused, err := p.connect(ctx, address, r.KeptOnly)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err := r.check(); err != nil {
			p.keepUnused(c)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		answer, written, err := p.exchangeMonitored(ctx, c, reused, r)
		if err == nil {
			answer.Fresh = !reused
			return answer, nil
		}
		c.Close()
		if written > 0 {
			return nil, fmt.Errorf("%w: %v", ErrBroken, err)
		}
		// No byte left this machine. The replica may have just closed a kept
		// connection, so Do tries another one.
		if !reused || ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
}

// keepUnused returns a connection that carried no request to the pool.
func (p *Pool) keepUnused(c *conn) {
	if c.expires.IsZero() {
		c.expires = steady.Now().Add(p.options.IdleTime)
	}
	p.put(c)
}

func (p *Pool) connect(ctx context.Context, address string, keptOnly bool) (c *conn, reused bool, err error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if steady.Now().Before(c.expires) && c.isQuiet() {
			return c, true, nil
		}
		c.Close()
	}
	if keptOnly {
		return nil, false, ErrNoneKept
	}
	c, err = p.dial(ctx, address)
	if socket.IsExhausted(err) && p.DropIdle() > 0 {
		// Closing idle connections freed descriptors, so dial again.
		c, err = p.dial(ctx, address)
	}
	return c, false, err
}

func (p *Pool) take(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	// The most recently used connection is the least likely to have been closed.
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.options.DialTimeout)
	defer cancel()
	raw, err := p.opener(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.options.Opened != nil {
		p.options.Opened(address)
	}
	return p.newConn(raw, address), nil
}

func opener(o Options) func(ctx context.Context, address string) (net.Conn, error) {
	open := o.Dial
	if open == nil {
		open = SystemDial(o.SilenceTimeout, o.Source)
	}
	dial := socket.TakesBack(open)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	}
}

// keepAliveProbes is how many probes of a connection fit into the silence after which it
// ends.
const keepAliveProbes = 3

// SystemDial returns a dial of the system's TCP whose connections end once nothing was
// acknowledged for a time: neither sent bytes nor probes.
//
// On Linux that limit also decides when probes give up, whatever their count. The probes are
// spread over it, so that a single lost one ends no connection.
//
// source is the IP address that they are opened from, empty if the system chooses it.
func SystemDial(silence time.Duration, source string) socket.Dial {
	pause := silence / keepAliveProbes
	dialer := net.Dialer{
		Control:         controlSocket(silence),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: pause, Interval: pause, Count: keepAliveProbes},
	}
	if ip := net.ParseIP(source); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer.DialContext
}

// exchange writes the request and reads the response head. It also returns the
// number of bytes handed to the kernel.
func (p *Pool) exchange(ctx context.Context, c *conn, r *Request) (*Answer, int, error) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	wrote, written, err := c.send(r)
	if err != nil {
		stop()
		return nil, written, err
	}
	response, err := p.readHead(c, r)
	if err != nil {
		stop()
		return nil, written, err
	}
	return &Answer{Response: response, pool: p, conn: c, stop: stop, wrote: wrote}, written, nil
}

// readHead reads response heads until one carries this request's id. What has no end is read up
// to a limit: a faulty replica may send it until the connection is closed.
func (p *Pool) readHead(c *conn, r *Request) (*http.Response, error) {
	const maxSkipped = 4
	for range maxSkipped {
		response, err := c.readResponse(r.Method, p.options.MaxHead)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(p.options.IDHeader) == r.ID {
			return response, nil
		}
		if !delimited(response) {
			return nil, errors.New("response to another request without a delimited body")
		}
		if err := skip(response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("answers of other requests only")
}

// skip reads a body to its end, which must come within maxSkippedBody.
func skip(body io.Reader) error {
	n, err := io.CopyN(io.Discard, body, maxSkippedBody+1)
	switch {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	case n > maxSkippedBody:
		return errSkippedTooLarge
	}
	return nil
}

// delimited reports whether the end of a response can be found on its connection.
func delimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() { closeAll(p.takeExpired(steady.Now())) }

func (p *Pool) takeExpired(now time.Time) (expired []*conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if now.After(c.expires) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	return expired
}

// DropIdle closes all idle connections and returns their number.
func (p *Pool) DropIdle() int {
	var idle []*conn
	p.mu.Lock()
	for _, list := range p.idle {
		idle = append(idle, list...)
	}
	clear(p.idle)
	p.mu.Unlock()
	closeAll(idle)
	return len(idle)
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, list := range p.idle {
		total += len(list)
	}
	return total
}
