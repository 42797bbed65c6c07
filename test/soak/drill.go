package soak

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// Times of a drill: the store is away for a moment and comes back from a copy.
const (
	// leastAway and mostAway are for how long it answers nobody.
	leastAway = 100 * time.Millisecond
	mostAway  = 1200 * time.Millisecond
	// mostBeyond is by how much the copy may be older than the time in which a leaving
	// has to be known: what drains serves on for longer, so that it can be seen whether it
	// gets work again.
	mostBeyond = 700 * time.Millisecond
	// writtenAgain is within which time a writer that lives has written again: a
	// heartbeat. What nobody writes any more lapses after entryLapse.
	writtenAgain = 1200 * time.Millisecond
)

// drill has the store come back from a copy that is some time old, and of before a replica
// left. The operator and the replicas write again what it lacks, each at a moment of its
// own.
func (s *soak) drill(a action, rnd *rand.Rand) {
	if !s.striking.TryLock() {
		return
	}
	defer s.striking.Unlock()
	copied := s.world.store.Copy()
	declared := rnd.IntN(3) > 0
	s.work.Go(func() {
		s.leave(s.world.seats[a.Target%len(s.world.seats)], rand.New(rand.NewPCG(uint64(a.Target), 2)), declared)
	})
	time.Sleep(s.bounds.Drain + between(rnd, 0, mostBeyond))
	if rnd.IntN(2) == 0 {
		// It is lost with the copy, before or after some have read it.
		s.world.revoke([]string{"north", "south"}[a.Target%2])
		time.Sleep(between(rnd, 0, s.bounds.Drain/4))
	}
	over := s.record.disturb(Disturbance{What: kindDrill})
	defer over()
	s.world.store.Set(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	time.Sleep(between(rnd, leastAway, mostAway))
	before := s.world.store.Return(copied)
	s.world.store.Set(standin.StoreFaults{})
	for _, key := range standin.Differing(before, copied) {
		pause := between(rnd, 0, writtenAgain)
		if !before.Has(key) {
			pause = between(rnd, 0, entryLapse)
		}
		s.work.Go(func() {
			time.Sleep(pause)
			s.world.store.WriteAgain(key, before, copied)
		})
	}
	time.Sleep(entryLapse)
}
