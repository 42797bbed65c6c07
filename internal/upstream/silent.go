package upstream

import (
	"bufio"
	"context"
	"net"
	"time"
)

// Open connections may go silent without a reset, many that were open at one moment
// together, while new ones work. Two things tell:
//
// The system knows whether the request's bytes were acknowledged. If not in ackTime,
// the way is broken, whatever the replica does.
//
// What stands between may acknowledge and pass nothing on. Then a silent connection
// looks like a slow replica, but for the others to it:
//
//	opened A ---- heard A ---- sent A . . . . . . nothing for SilenceTimeout
//	opened B ------------------------- heard B    B lives, so A is only slow
//
// Without a B, what rests in the pool since before the request was sent is dropped.

// ackTime is how long the bytes of a request may be unacknowledged on a kept
// connection. One lost packet is sent again after 200 ms at least.
const ackTime = 250 * time.Millisecond

// epoch is where the pool's clock begins. It is steady.
var epoch = time.Now()

func clock() int64 { return int64(time.Since(epoch)) }

func (p *Pool) newConn(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, pool: p, address: address, opened: clock()}
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

// Read implements net.Conn and notes that something came.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.heard.Store(clock())
	}
	return n, err
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

// watched makes an exchange. While a kept connection does not answer, it is looked
// after it and the others.
func (p *Pool) watched(ctx context.Context, c *conn, reused bool, r *Request) (*Answer, int, error) {
	if reused {
		at := moment{before: c.heard.Load(), sent: clock()}
		acked := time.AfterFunc(ackTime, func() { p.lookAfter(c, at, r) })
		defer acked.Stop()
		answered := time.AfterFunc(p.options.SilenceTimeout, func() { p.suspect(c, at, false) })
		defer answered.Stop()
	}
	return p.exchange(ctx, c, r)
}

// moment is when a request was sent on a kept connection, and when something came
// on it last before.
type moment struct{ before, sent int64 }

// lookAfter looks whether the system has had no sign of a request's bytes.
func (p *Pool) lookAfter(c *conn, at moment, r *Request) {
	state, known := p.look(c.Conn)
	if !known || !state.Unacked || c.heard.Load() > at.sent {
		return
	}
	p.suspect(c, at, true)
	if r.Unacked != nil {
		r.Unacked()
	}
}

// suspect drops what rests since before a request was sent, if nothing came on its
// connection and no other one shows that those of its time still work: to its
// address, or to any if the way itself is broken.
func (p *Pool) suspect(c *conn, at moment, broken bool) {
	p.mu.Lock()
	var dropped []*conn
	switch {
	case c.heard.Load() > at.sent:
	case broken && !p.refutedAnywhere(at):
		dropped = p.takeAllSilent(at.sent)
	case !p.refuted(c.address, at):
		dropped = p.takeSilent(c.address, at.sent)
	}
	p.mu.Unlock()
	closeAll(dropped)
	if len(dropped) > 0 && p.options.OnSilent != nil {
		p.options.OnSilent(c.address, len(dropped))
	}
}

func (p *Pool) refutedAnywhere(at moment) bool {
	for address := range p.open {
		if p.refuted(address, at) {
			return true
		}
	}
	return false
}

// refuted tells whether a connection to an address that was open at a moment was
// heard after it. p.mu is held.
func (p *Pool) refuted(address string, at moment) bool {
	for c := range p.open[address] {
		if c.opened <= at.before && c.heard.Load() > at.sent {
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

// takeSilent takes out of the pool what rests since before a time. p.mu is held.
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
