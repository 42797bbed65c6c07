package soak

import (
	"math/rand/v2"
	"time"

	"github.com/croftyard/croftyard/platform"
)

// announce makes a replica announce its shutdown in its answers while its entry says that
// it is ready, and serve on for longer than it has to. Then it starts again under its id,
// or another follows.
func (s *soak) announce(place *seat, rnd *rand.Rand, d time.Duration) {
	if !place.handling.TryLock() {
		return
	}
	replica, link, _ := place.now()
	replica.Announce()
	time.Sleep(s.bounds.Drain + serveBeyond + d)
	if rnd.IntN(2) == 0 {
		place.handling.Unlock()
		s.reborn(place, rnd)
		return
	}
	defer place.handling.Unlock()
	s.record.departure(replica.ID, s.world.store.Remove(platform.ReplicaKey(replica.ID)))
	s.succeed(place, replica, link, rnd)
}

// The shortest and the longest rest that a replica asks for.
const (
	shortestRest = 700 * time.Millisecond
	longestRest  = 4 * time.Second
)

// rest makes a replica turn requests away for a while and ask for rest.
func (s *soak) rest(place *seat, rnd *rand.Rand, d time.Duration) {
	replica, _, _ := place.now()
	replica.Rest(d, between(rnd, shortestRest, longestRest))
	time.Sleep(d)
}

// restAll is rest of all replicas of a service.
func (s *soak) restAll(service string, rnd *rand.Rand, d time.Duration) {
	for _, place := range s.world.seats {
		if place.options.Service == service {
			replica, _, _ := place.now()
			replica.Rest(d, between(rnd, shortestRest, longestRest))
		}
	}
	time.Sleep(d)
}
