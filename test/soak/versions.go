package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// softwareVersions are those of engines in runs with streams over several.
var softwareVersions = []string{"v1", "v2", "v3"}

// streamSeats are those of engines.
func (w *world) streamSeats() []*seat {
	var seats []*seat
	for _, place := range w.seats {
		if place.options.Pieces > 0 {
			seats = append(seats, place)
		}
	}
	return seats
}

// release replaces a replica of streams by one of another software version, without an order to
// the routers.
func (s *soak) release(a action, rnd *rand.Rand) {
	seats := s.world.streamSeats()
	place := seats[a.Target%len(seats)]
	place.mu.Lock()
	place.options.Version = pick(rnd, softwareVersions)
	place.mu.Unlock()
	s.leave(place, rnd, true)
}

// breakStreams makes the next streams at a replica break off.
func (s *soak) breakStreams(a action, rnd *rand.Rand) {
	const fewest, more = 6, 10
	seats := s.world.streamSeats()
	replica, _, _ := seats[a.Target%len(seats)].now()
	for range fewest + rnd.IntN(more) {
		replica.Fail(standin.FaultCut)
	}
}

const (
	// takeUps is how often a caller takes a stream up, manyTakeUps in plans with releases.
	takeUps     = 2
	manyTakeUps = 5
	// lateTakeUp is the longest pause before a late take-up.
	lateTakeUp = time.Second
	// takeUpPause is the pause before that if the last try was refused.
	takeUpPause = 50 * time.Millisecond
)

// takeUp takes up a stream that broke off, at any router, until it is complete.
func (u *users) takeUp(ctx context.Context, first *Attempt, rnd *rand.Rand) {
	after, last, most := len(first.Seen), first, takeUps
	if u.takesUpLate {
		most = manyTakeUps
	}
	for range most {
		left := time.Until(first.Sent.Add(first.Deadline))
		if after == 0 || after >= first.Events || !last.LeftAt.IsZero() || ctx.Err() != nil || left <= 0 {
			return
		}
		if last.Status == http.StatusServiceUnavailable {
			time.Sleep(takeUpPause)
		}
		if u.takesUpLate && rnd.IntN(2) == 0 {
			time.Sleep(time.Duration(rnd.Int64N(int64(lateTakeUp))))
		}
		c := u.connect(rnd)
		if c == nil {
			return
		}
		last = &Attempt{ID: fmt.Sprintf("%d-%d-%08x", u.seed, u.sent.Add(1), rnd.Uint32()), Method: first.Method, Path: first.Path, Key: first.Key,
			Events: first.Events, Deadline: left, Resumes: first.ID, After: after, Parts: first.Parts}
		c.exchange(last, style{body: bodyOf(last.ID, bodySize)})
		c.Close()
		u.record.attempt(last)
		after += len(last.Seen)
	}
}
