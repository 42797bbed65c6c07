package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// A stopping router closes connections that rest, at a moment that callers don't
// know. A crowd of callers uses its open connections around that moment, so that
// some requests meet the close.
const (
	// crowdSize is how many connections a crowd holds at one router.
	crowdSize = 64
	// closePart of the grace time is when the router closes what rests. Source:
	// docs/design/platform.md, the balancer asks each second and needs two misses.
	closePart = 0.375
	// around is how far from that moment most of the crowd call.
	around = 8 * time.Millisecond
	// anyTime: one in so many of the crowd calls at any time of the stop.
	anyTime = 4
)

// crowd opens connections at a router and uses each once. The function returned uses
// each once more while the router stops, and returns when all are answered.
func (u *users) crowd(r *router, rnd *rand.Rand) func() {
	var open []*conn
	for range crowdSize {
		c, err := dial(r)
		if err != nil {
			break
		}
		if !u.ask(c, rnd) {
			c.Close()
			continue
		}
		open = append(open, c)
	}
	return func() {
		told := time.Now()
		grace := u.record.h.Bounds.Grace
		var all sync.WaitGroup
		for _, c := range open {
			at := time.Duration(closePart*float64(grace)) + between(rnd, -around, around)
			if rnd.IntN(anyTime) == 0 {
				at = between(rnd, 0, grace/2)
			}
			own := rand.New(rand.NewPCG(rnd.Uint64(), 0))
			all.Go(func() {
				defer c.Close()
				time.Sleep(time.Until(told.Add(at)))
				u.ask(c, own)
			})
		}
		all.Wait()
	}
}

// ask sends a short plain request that may be repeated.
func (u *users) ask(c *conn, rnd *rand.Rand) bool {
	a := u.attempt(rnd)
	a.Method, a.Path, a.Events, a.Key = http.MethodPost, "/repeat/x", 0, u.world.facts().keys[0]
	again := c.exchange(a, style{body: bodyOf(a.ID, bodySize)})
	u.record.attempt(a)
	return again
}
