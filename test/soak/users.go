package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// users are the callers of a run.
type users struct {
	seed    uint64
	world   *world
	routers []*router
	record  *recorder
	sent    atomic.Uint64
	// prompts: requests for streams state the parts of their prompts.
	prompts bool
	// takesUpLate: streams are taken up more often, some a while after they broke off.
	takesUpLate bool
	// favoured is the router that most new connections go to, if there is one.
	favoured atomic.Pointer[router]
}

// What callers do.
const (
	// callersEach is how many callers there are for each router.
	callersEach = 4
	// connections is how many connections a caller holds at most.
	connections = 3
	// mostRest is the longest rest between two requests.
	mostRest = 80 * time.Millisecond
	// shortDeadline and longDeadline are the times that callers give.
	shortDeadline = 1500 * time.Millisecond
	longDeadline  = 4 * time.Second
	// bodySize is the size of most bodies, longBody that of some, in bytes: more than
	// a router sends before it reads the answer.
	bodySize = 300
	longBody = 100 << 10
)

// run calls until ctx ends.
func (u *users) run(ctx context.Context) {
	var all sync.WaitGroup
	for n := range callersEach * len(u.routers) {
		all.Go(func() { u.caller(ctx, rand.New(rand.NewPCG(u.seed, uint64(n)))) })
	}
	all.Wait()
}

// caller sends one request after another. Its connections are used until they are
// closed or an answer was their last, also those to a router that stops.
func (u *users) caller(ctx context.Context, rnd *rand.Rand) {
	var open []*conn
	for ctx.Err() == nil {
		at := rnd.IntN(connections)
		if at >= len(open) {
			c := u.connect(rnd)
			if c == nil {
				rest(ctx, rnd)
				continue
			}
			open, at = append(open, c), len(open)
		}
		if !u.request(ctx, open[at], rnd) || u.favoured.Load() != nil && rnd.IntN(2) == 0 {
			open[at].Close()
			open = append(open[:at], open[at+1:]...)
		}
		rest(ctx, rnd)
	}
	for _, c := range open {
		c.Close()
	}
}

func rest(ctx context.Context, rnd *rand.Rand) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(rnd.Int64N(int64(mostRest)))):
	}
}

// connect opens a connection to a router that takes new ones.
func (u *users) connect(rnd *rand.Rand) *conn {
	const lateNews = 20 // one in so many does not know who is ready
	r := u.routers[rnd.IntN(len(u.routers))]
	const others = 7 // one in so many goes elsewhere
	if favoured := u.favoured.Load(); favoured != nil && rnd.IntN(others) > 0 {
		r = favoured
	}
	if _, open := r.current(); !open && rnd.IntN(lateNews) > 0 {
		return nil
	}
	c, err := dial(r)
	if err != nil {
		return nil
	}
	return c
}

// request sends one request and tells whether the connection can be used again.
func (u *users) request(ctx context.Context, c *conn, rnd *rand.Rand) bool {
	a := u.attempt(rnd)
	again := c.exchange(a, styleOf(a, rnd))
	u.record.attempt(a)
	if a.Path != "/stream/x" {
		u.takeUp(ctx, a, rnd)
	}
	return again
}

// kinds of requests, each with how often it is sent. Those of routes that come and go
// with versions are drawn apart.
var kinds = []struct {
	path   string
	events int
	often  int
}{
	{"/once/", 0, 4},
	{"/repeat/", 0, 3},
	{"/moved/", 0, 2},
	{"/stream/", streamEvents, 2},
	{"/resume/", streamEvents, 2},
	{"/long/", longEvents, 1},
	{"", 0, 2},
}

// attempt draws a request.
func (u *users) attempt(rnd *rand.Rand) *Attempt {
	id := fmt.Sprintf("%d-%d-%08x", u.seed, u.sent.Add(1), rnd.Uint32())
	a := &Attempt{ID: id, Method: http.MethodPost, Deadline: longDeadline}
	if rnd.IntN(3) == 0 {
		a.Deadline = shortDeadline
	}
	f := u.world.facts()
	a.Key = pick(rnd, f.keys)
	const oldKey = 12 // one in so many
	if len(f.oldKeys) > 0 && rnd.IntN(oldKey) == 0 {
		a.Key = pick(rnd, f.oldKeys)
	}
	total := 0
	for _, k := range kinds {
		total += k.often
	}
	draw := rnd.IntN(total)
	for _, k := range kinds {
		if draw -= k.often; draw >= 0 {
			continue
		}
		a.Path, a.Events = k.path, k.events
		break
	}
	if a.Path == "" {
		a.Path = markerPath(rnd, f)
	}
	a.Path += "x"
	if u.prompts && a.Events > 0 {
		a.Parts = promptOf(rnd)
	}
	return a
}

// markerPath is a route of the newest version as a rule, else one that was removed or
// never was.
func markerPath(rnd *rand.Rand, f facts) string {
	switch draw := rnd.IntN(6); {
	case draw == 0 && len(f.oldMarkers) > 0:
		return pick(rnd, f.oldMarkers)
	case draw == 1:
		return "/never/"
	}
	return f.markers[0]
}

func pick[T any](rnd *rand.Rand, of []T) T { return of[rnd.IntN(len(of))] }

// styleOf draws how a request is sent.
func styleOf(a *Attempt, rnd *rand.Rand) style {
	const seldom = 12 // one in so many
	s := style{chunked: rnd.IntN(3) == 0}
	size := bodySize
	if rnd.IntN(seldom) == 0 {
		size = longBody
	}
	s.body = bodyOf(a.ID, size)
	if rnd.IntN(seldom) == 0 {
		s.pause = time.Duration(rnd.IntN(100)) * time.Millisecond
	}
	if rnd.IntN(seldom) == 0 || a.Events == longEvents && rnd.IntN(3) == 0 {
		s.leave = time.Duration(1+rnd.IntN(150)) * time.Millisecond
	}
	return s
}
