// Package faulty wraps a kv.Store with the faults that the platform's service
// has: outages, answers lost after a write took effect, writes that never
// arrive and writes that arrive late. Faults are drawn from a seed, so that a
// test that fails fails again.
package faulty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
)

// Store is a kv.Store with faults. Chances are 0 to 1.
type Store struct {
	Under kv.Store
	// Lost is the chance that a write takes effect and its answer is lost.
	Lost float64
	// Dropped is the chance that a write never arrives and its answer is lost.
	Dropped float64
	// Delayed is the chance that a write arrives only when Deliver is called;
	// the caller sees a lost answer.
	Delayed float64
	// Down is the chance that a call fails before it has any effect.
	Down float64

	mu      sync.Mutex
	rnd     *rand.Rand
	pending []func()
}

// New returns a store without faults; set the chances before use.
func New(under kv.Store, seed uint64) *Store {
	return &Store{Under: under, rnd: rand.New(rand.NewPCG(seed, 1))}
}

func (s *Store) draw() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64()
}

// Deliver lets the writes that were delayed arrive, in a random order.
func (s *Store) Deliver() {
	s.mu.Lock()
	pending := s.pending
	s.pending = nil
	s.rnd.Shuffle(len(pending), func(i, j int) { pending[i], pending[j] = pending[j], pending[i] })
	s.mu.Unlock()
	for _, write := range pending {
		write()
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key string) (kv.Entry, error) {
	if s.draw() < s.Down {
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.Under.Get(ctx, key)
}

// Swap implements kv.Store.
func (s *Store) Swap(ctx context.Context, key string, revision uint64, value []byte, lease kv.LeaseID) (uint64, error) {
	fate := s.draw()
	switch {
	case fate < s.Down:
		return 0, kv.ErrUnavailable
	case fate < s.Down+s.Dropped:
		return 0, kv.ErrUnknown
	case fate < s.Down+s.Dropped+s.Delayed:
		s.mu.Lock()
		s.pending = append(s.pending, func() {
			// A late write may find the key changed; that is the point.
			_, _ = s.Under.Swap(context.WithoutCancel(ctx), key, revision, value, lease)
		})
		s.mu.Unlock()
		return 0, kv.ErrUnknown
	}
	next, err := s.Under.Swap(ctx, key, revision, value, lease)
	if fate < s.Down+s.Dropped+s.Delayed+s.Lost {
		return 0, kv.ErrUnknown
	}
	return next, err
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, key string, after uint64) (kv.Entry, error) {
	return s.Under.Watch(ctx, key, after)
}

// Grant implements kv.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	return s.Under.Grant(ctx, ttl)
}

// KeepAlive implements kv.Store.
func (s *Store) KeepAlive(ctx context.Context, lease kv.LeaseID) error {
	return s.Under.KeepAlive(ctx, lease)
}
