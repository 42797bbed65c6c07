package balance

import (
	"fmt"
	"testing"
	"time"
)

// brittlePlay plays a plain service whose replicas turn brittle: from 3 s after they said so
// only few may wait, and one that rejects more in a second than it stated is down for
// some seconds.
type brittlePlay struct {
	*plainFleet
	bears    int
	rejected map[string][]time.Time
	falls    int
	// startedAt is when routers started that did so later than the fleet.
	startedAt map[*Balancer]time.Time
}

const (
	brittleFrom, brittleTo = 2 * time.Second, 14 * time.Second
	// brittleNotice is how long after the first statement fewer may wait, brittleReturn how
	// long a replica that fell is away.
	brittleNotice = 3 * time.Second
	brittleReturn = 3 * time.Second
)

func newBrittlePlay(seed uint64, routers, replicas, bears int) *brittlePlay {
	p := &brittlePlay{plainFleet: newPlainFleet(seed, routers, max(routers/8, 1), replicas), bears: bears, rejected: make(map[string][]time.Time), startedAt: make(map[*Balancer]time.Time)}
	var known []string
	for n := range p.routers {
		known = append(known, fmt.Sprint("r", n))
	}
	for n, b := range p.routers {
		b.SetRouters(known[n], known, start)
		b.SetLargeFleet(routers > 12)
	}
	p.relays, p.addresses = 4, known
	p.queue = func() int {
		if at := p.now.Sub(start); at >= brittleFrom+brittleNotice && at < brittleTo {
			return 1
		}
		return plainQueue
	}
	p.answered = func(router int, id string, taken bool) {
		at := p.now.Sub(start)
		if at < brittleFrom || at >= brittleTo {
			p.routers[router].SturdyReported(id, p.now)
			return
		}
		p.routers[router].BrittleReported(id, p.bears, p.now)
		if !taken && at >= brittleFrom+brittleNotice {
			p.reject(id)
		}
	}
	return p
}

// reject counts a rejection; the replica falls if there were too many in the last second.
func (p *brittlePlay) reject(id string) {
	list := append(p.rejected[id], p.now)
	for p.now.Sub(list[0]) >= time.Second {
		list = list[1:]
	}
	p.rejected[id] = list
	if len(list) <= p.bears {
		return
	}
	p.falls++
	p.rejected[id] = nil
	p.replicas[id].gone = true
	p.after(brittleReturn, func() { p.replicas[id].gone = false })
}

// brittleLoad is a number of routers and replicas, how many rejections each of these bears in a
// second, and the load in multiples of the slots.
type brittleLoad struct {
	routers, replicas, bears int
	load                     float64
}

// play plays a load and returns how often replicas fell over and which part of what fits into the
// slots was served in time.
func (c brittleLoad) play(t *testing.T) (falls int, used float64) {
	t.Helper()
	return c.playWith(t, func(*brittlePlay, time.Duration, time.Duration) {})
}

// playWith is play with something prepared for the time of the high load, given its start and length.
func (c brittleLoad) playWith(t *testing.T, prepare func(p *brittlePlay, from, length time.Duration)) (falls int, used float64) {
	t.Helper()
	return c.playSeed(t, 1, prepare)
}

// playSeed is playWith with a seed.
func (c brittleLoad) playSeed(t *testing.T, seed uint64, prepare func(p *brittlePlay, from, length time.Duration)) (falls int, used float64) {
	t.Helper()
	p := newBrittlePlay(seed, c.routers, c.replicas, c.bears)
	full := float64(c.replicas*plainSlots) / plainWorkTime.Seconds()
	const calm, high, length = 0.3, 6 * time.Second, 18 * time.Second
	p.perSecond = func(at time.Duration) float64 {
		if at >= high && at < 2*high {
			return c.load * full
		}
		return calm * full
	}
	prepare(p, high, high)
	got := p.simulate(length)
	t.Logf("falls %d, %+v", p.falls, got)
	return p.falls, float64(got.onTime) / (full * (calm*(length-high).Seconds() + min(c.load, 1)*high.Seconds()))
}

// restart lets a router forget what replicas stated, and learn it from another one.
func (p *brittlePlay) restart(router int) {
	b := p.routers[router]
	b.mu.Lock()
	clear(b.brittle)
	b.mu.Unlock()
	for _, stated := range p.routers[(router+1)%len(p.routers)].BrittleServices(p.now) {
		b.LearnBrittle(stated, p.now)
	}
}
