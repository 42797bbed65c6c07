package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

const (
	// brittleLoad is how many callers press on each router while replicas are brittle, and
	// brittleWork how long a request takes there.
	brittleLoad = 16
	brittleWork = 60 * time.Millisecond
	// brittlePress is how long they press.
	brittlePress = 1500 * time.Millisecond
)

// brittle makes all replicas of the plain service say that they are brittle; once they have
// said so for Contact they let no request wait, and callers press. One that falls over
// starts again at its seat, as revive does.
func (s *soak) brittle(rnd *rand.Rand) {
	if !s.pressing.TryLock() {
		return
	}
	defer s.pressing.Unlock()
	const least, more = 3, 8
	bears := least + rnd.IntN(more)
	begun := time.Now()
	var replicas []*standin.Replica
	for _, place := range s.world.seats {
		if place.options.Service != plain {
			continue
		}
		replica, _, _ := place.now()
		replica.Brittle(bears, begun.Add(s.bounds.Contact), brittleWork, func() {
			s.record.fall(Fall{Service: plain, Instance: replica.ID, At: time.Now()})
			replica.Crash()
		})
		replicas = append(replicas, replica)
	}
	time.Sleep(time.Until(begun.Add(s.bounds.Contact)))
	s.press(rnd)
	for _, replica := range replicas {
		replica.Sturdy()
	}
	s.record.brittle(Brittle{Service: plain, Replicas: len(replicas), From: begun, To: time.Now()})
}

// press has callers send requests of the plain service to all routers without a pause.
func (s *soak) press(rnd *rand.Rand) {
	var all sync.WaitGroup
	until := time.Now().Add(brittlePress)
	for n := range brittleLoad * len(s.routers) {
		own := rand.New(rand.NewPCG(rnd.Uint64(), uint64(n)))
		all.Go(func() {
			for time.Now().Before(until) {
				s.users.pressOnce(s.routers[n%len(s.routers)], own)
			}
		})
	}
	all.Wait()
}

// pressOnce sends one request of the plain service.
func (u *users) pressOnce(r *router, rnd *rand.Rand) {
	// Callers whose request failed wait longer before the next one.
	const pause, longPause = 20 * time.Millisecond, 100 * time.Millisecond
	c, err := dial(r)
	if err != nil {
		time.Sleep(pause)
		return
	}
	defer c.Close()
	a := u.attempt(rnd)
	a.Path, a.Events, a.Key = "/once/x", 0, u.world.facts().keys[0]
	c.exchange(a, style{body: bodyOf(a.ID, bodySize)})
	u.record.attempt(a)
	if a.Status != http.StatusOK {
		time.Sleep(longPause)
	}
	time.Sleep(pause)
}
