// Package upstream sends requests to replicas over HTTP/1.1 on connections of
// its own and says what is known of each.
//
//	Pool.Do -> Answer          the head is that of this request: the id matches
//	        -> ErrNotSent      no byte can have reached a replica
//	        -> ErrBroken       sent; whether it ran is not known
//
// The standard client is not used: it repeats requests by itself, and a late
// second answer on a kept connection would be taken for the next request's.
// Here the echoed id decides, an answer of another request is skipped, and a
// connection that holds more than its answer is never used again.
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

	"github.com/croftyard/croftyard/internal/socket"
	"github.com/croftyard/croftyard/internal/steady"
)

// Errors of this package.
var (
	// ErrNotSent: no byte of the request can have reached the replica.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrBroken: sent, but no answer that is this request's.
	ErrBroken = errors.New("upstream: no answer")
)

// Options of a pool.
type Options struct {
	// IDHeader names the header that a replica echoes.
	IDHeader string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// SilenceTimeout is how long sent bytes may stay unacknowledged.
	SilenceTimeout time.Duration
	// IdleTime is how long a connection rests at most before it is closed.
	IdleTime time.Duration
	// Opened is called for each connection that was opened. It may be nil.
	Opened func(address string)
	// OnSilent is called when a kept connection to an address turned out to be silent,
	// with how many that rested were dropped for it. It may be nil.
	OnSilent func(address string, dropped int)
}

// Pool keeps connections to replicas. It is safe for concurrent use.
type Pool struct {
	options Options
	// opener opens a socket to an address.
	opener func(ctx context.Context, address string) (net.Conn, error)
	// look asks the system for the state of a connection.
	look func(net.Conn) (s socket.State, known bool)
	mu   sync.Mutex
	idle map[string][]*conn
	// open are the connections to each address that are open, idle or not.
	open map[string]map[*conn]struct{}
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{options: o, opener: opener(o), look: socket.Look, idle: make(map[string][]*conn), open: make(map[string]map[*conn]struct{})}
}

// conn is one connection. Between requests it rests in the pool.
type conn struct {
	net.Conn
	pool    *Pool
	reader  *bufio.Reader
	address string
	// opened and heard are when it was opened and when bytes last came on it, in
	// nanoseconds of the pool's clock. An exchange's timer reads heard beside it.
	opened int64
	heard  atomic.Int64
	// expires is when the replica or the pool no longer keeps it.
	expires time.Time
}

// Do sends a request and waits for the head of its answer. When ctx ends the
// connection is closed, which tells the replica to stop the work.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Answer, error) {
	for {
		c, reused, err := p.connect(ctx, address)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		if err := r.check(); err != nil {
			p.keepUnused(c)
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		answer, written, err := p.watched(ctx, c, reused, r)
		if err == nil {
			return answer, nil
		}
		c.Close()
		if written > 0 {
			return nil, fmt.Errorf("%w: %v", ErrBroken, err)
		}
		// Nothing left this machine. A kept connection may just have been
		// closed by the other side, so another one is tried.
		if !reused || ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
	}
}

// keepUnused keeps a connection on which nothing was sent.
func (p *Pool) keepUnused(c *conn) {
	if c.expires.IsZero() {
		c.expires = steady.Now().Add(p.options.IdleTime)
	}
	p.put(c)
}

func (p *Pool) connect(ctx context.Context, address string) (c *conn, reused bool, err error) {
	for {
		c := p.take(address)
		if c == nil {
			break
		}
		if steady.Now().Before(c.expires) && c.quiet() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.dial(ctx, address)
	if socket.IsExhausted(err) && p.DropIdle() > 0 {
		// Those that rest give way.
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
	// The one used last is the least likely to have been closed.
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
	dialer := net.Dialer{
		Control:         controlSocket(o.SilenceTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: o.SilenceTimeout, Interval: time.Second, Count: 2},
	}
	dial := socket.TakesBack(dialer.DialContext)
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dial(ctx, "tcp", address)
	}
}

// exchange writes the request and reads the head. written is the number of
// bytes that were handed to the system.
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

// readHead reads heads until one is this request's.
func (p *Pool) readHead(c *conn, r *Request) (*http.Response, error) {
	const maxSkipped = 4
	for range maxSkipped {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
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
			return nil, errors.New("answer of another request, without a length")
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errors.New("answers of other requests only")
}

// delimited tells whether an answer's end can be found on its connection.
func delimited(r *http.Response) bool {
	return r.ContentLength >= 0 || len(r.TransferEncoding) > 0
}

// CloseExpired closes the connections that rested too long.
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

// DropIdle closes all connections that rest and returns how many there were.
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

// Idle returns how many connections rest.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, list := range p.idle {
		total += len(list)
	}
	return total
}
