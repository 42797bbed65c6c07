package membudget

import (
	"math"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against reservations past the limit, rejected ones that keep bytes, and overflow.
func TestReserve(t *testing.T) {
	b := &Budget{}
	b.SetLimit(800)
	assert.False(t, b.ReserveLarge(701), "an eighth is left to small reservations")
	assert.True(t, b.ReserveLarge(700))
	assert.True(t, b.Reserve(100))
	for _, n := range []int64{1, math.MaxInt64, -1} {
		assert.False(t, b.Reserve(n), n)
	}
	assert.EqualValues(t, 800, b.Used())
	assert.EqualValues(t, 4, b.Rejected())
	b.SetLimit(100)
	b.Release(750)
	assert.True(t, b.Reserve(50))
	b.Charge(500)
	assert.EqualValues(t, 600, b.Used(), "held already")
	assert.False(t, b.Reserve(1))
	b.SetLimit(0)
	assert.True(t, b.Reserve(1<<40), "no limit")
}

// Guards against concurrent reservations that together exceed the limit or lose bytes.
func TestConcurrentReservations(t *testing.T) {
	const users, rounds, limit = 16, 2000, 5
	b := &Budget{}
	b.SetLimit(limit)
	var all sync.WaitGroup
	for range users {
		all.Go(func() {
			for range rounds {
				if b.Reserve(1) {
					assert.LessOrEqual(t, b.Used(), int64(limit))
					b.Release(1)
				}
			}
		})
	}
	all.Wait()
	assert.Zero(t, b.Used())
}

// BenchmarkReserve measures what a call with a small body pays, beside seven others.
func BenchmarkReserve(b *testing.B) {
	budget := &Budget{}
	budget.SetLimit(1 << 30)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Reserve(100)
			budget.Release(100)
		}
	})
}
