package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/head"
)

// Open connections may go silent without a reset. Many that were open at the same time
// then fail together, while new ones work. Two signs reveal this:
//
// The kernel knows whether the request's bytes were acknowledged. If they were not
// within ackTime, the network path is broken, whatever the replica does.
//
// An intermediary may acknowledge the bytes and forward nothing. A silent connection
// then looks like a slow replica; only other connections to the address tell them apart:
//
//	opened A ---- answer on A ---- sent on A . . . . . . nothing for answerTime
//	opened B ------------------------------- answer on B    B works, so A is only slow
//
// Without such a B, the connections idle since before the request was sent are dropped.

// answerTime is how long a request on a kept connection may go without an answer until the
// idle connections to the same address are taken to be silent. The request itself goes on.
const answerTime = 1200 * time.Millisecond

// ackTime is how long the bytes of a request may stay unacknowledged on a kept
// connection. TCP retransmits a lost packet after 200 ms at the earliest.
const ackTime = 250 * time.Millisecond

// epoch is the zero of the pool's monotonic clock.
var epoch = time.Now()

func clock() int64 { return int64(time.Since(epoch)) }

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, pool: p, address: address, opened: clock(), headLeft: -1}
	c.heard.Store(c.opened)
	c.reader = bufio.NewReader(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[address] == nil {
		p.open[address] = make(map[*conn]struct{})
	}
	p.open[address][c] = struct{}{}
	return c
}

// Read implements net.Conn and records when bytes last arrived. While a head is read, it fails
// once the head is too large.
func (c *conn) Read(b []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errHeadTooLarge
	}
	if c.headLeft > 0 && len(b) > c.headLeft {
		b = b[:c.headLeft]
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(clock())
	}
	if c.headLeft > 0 {
		c.headLeft -= n
		c.head.Add(b[:n])
	}
	return n, err
}

// readResponse reads one response up to its body. Its head may have maxHead bytes, and as much of
// the body as arrives with them.
func (c *conn) readResponse(method string, maxHead int) (*http.Response, error) {
	c.headLeft = maxHead + c.reader.Size()
	defer func() { c.headLeft = -1 }()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	c.head = head.Scanner{}
	c.head.Add(buffered)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	return response, c.head.Check(response)
}

// Close implements net.Conn. It may be called more than once.
func (c *conn) Close() error {
	c.pool.mu.Lock()
	delete(c.pool.open[c.address], c)
	if len(c.pool.open[c.address]) == 0 {
		delete(c.pool.open, c.address)
	}
	c.pool.mu.Unlock()
	return c.Conn.Close()
}

// exchangeMonitored performs an exchange. On a kept connection that does not answer,
// timers check for silence and drop idle connections that are silent too.
func (p *Pool) exchangeMonitored(ctx context.Context, c *conn, reused bool, r *Request) (*Answer, int, error) {
	if reused {
		at := sendTimes{lastHeard: c.heard.Load(), sent: clock()}
		acked := time.AfterFunc(ackTime, func() { p.checkAcknowledged(c, at, r) })
		defer acked.Stop()
		answered := time.AfterFunc(min(p.options.SilenceTimeout, answerTime), func() { p.dropSilent(c, at, false) })
		defer answered.Stop()
	}
	return p.exchange(ctx, c, r)
}

// sendTimes records when a request was sent on a kept connection, and when bytes last
// arrived on it before that.
type sendTimes struct{ lastHeard, sent int64 }

// checkAcknowledged drops silent connections if the bytes of a request are still unacknowledged.
func (p *Pool) checkAcknowledged(c *conn, at sendTimes, r *Request) {
	state, known := p.socketState(c.Conn)
	if !known || !state.Unacked || c.heard.Load() > at.sent {
		return
	}
	p.dropSilent(c, at, true)
	if r.Unacked != nil {
		r.Unacked()
	}
}

// dropSilent drops the connections idle since before a request was sent, unless bytes have
// arrived since on its connection or on another of the same age. It covers the request's
// address, or all addresses if the network path is broken and none of them is live.
func (p *Pool) dropSilent(c *conn, at sendTimes, broken bool) {
	p.mu.Lock()
	var dropped []*conn
	switch {
	case c.heard.Load() > at.sent:
	case broken && !p.hasLiveConnAnywhere(at):
		dropped = p.takeAllSilent(at.sent)
	case !p.hasLiveConn(c.address, at):
		dropped = p.takeSilent(c.address, at.sent)
	}
	p.mu.Unlock()
	closeAll(dropped)
	if len(dropped) > 0 && p.options.OnSilent != nil {
		p.options.OnSilent(c.address, len(dropped))
	}
}

func (p *Pool) hasLiveConnAnywhere(at sendTimes) bool {
	for address := range p.open {
		if p.hasLiveConn(address, at) {
			return true
		}
	}
	return false
}

// hasLiveConn reports whether bytes arrived after at.sent on a connection to an address
// that was already open at at.lastHeard. p.mu must be held.
func (p *Pool) hasLiveConn(address string, at sendTimes) bool {
	for c := range p.open[address] {
		if c.opened <= at.lastHeard && c.heard.Load() > at.sent {
			return true
		}
	}
	return false
}

func (p *Pool) takeAllSilent(since int64) (silent []*conn) {
	for address := range p.idle {
		silent = append(silent, p.takeSilent(address, since)...)
	}
	return silent
}

// takeSilent removes the connections idle since before a time from the pool. p.mu must be held.
func (p *Pool) takeSilent(address string, since int64) []*conn {
	var silent, kept []*conn
	for _, c := range p.idle[address] {
		if c.heard.Load() > since {
			kept = append(kept, c)
		} else {
			silent = append(silent, c)
		}
	}
	p.idle[address] = kept
	return silent
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.Close()
	}
}
