// Package membudget counts bytes that many users hold against one limit. It does no I/O and
// never waits: a reservation succeeds or fails at once.
package membudget

import "sync/atomic"

// spareDivisor is the part of the limit (one in spareDivisor) that ReserveLarge leaves to
// Reserve, so that a few large reservations cannot make all small ones fail.
const spareDivisor = 8

// Budget is a number of bytes shared by all that reserve from it. It is safe for concurrent
// use. The zero value counts without a limit.
type Budget struct {
	used     atomic.Int64
	limit    atomic.Int64
	rejected atomic.Int64
}

// Reserve takes n bytes if they fit within the limit. A failed reservation leaves nothing
// reserved. A negative n is rejected.
func (b *Budget) Reserve(n int64) bool { return b.reserve(n, b.limit.Load()) }

// ReserveLarge is Reserve for users that need much: it leaves an eighth of the limit to others.
func (b *Budget) ReserveLarge(n int64) bool {
	limit := b.limit.Load()
	return b.reserve(n, limit-limit/spareDivisor)
}

// reserve takes n bytes if the bytes used stay within a limit; zero means no limit.
func (b *Budget) reserve(n, limit int64) bool {
	for {
		used := b.used.Load()
		// The sum may overflow, the difference cannot: used is at least zero.
		if n < 0 || limit > 0 && n > limit-used {
			b.rejected.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
}

// Charge takes n bytes that are held already, even past the limit; later reservations fail
// instead.
func (b *Budget) Charge(n int64) { b.used.Add(n) }

// Release returns n bytes that were reserved or charged.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// SetLimit changes the limit; zero means none. What is reserved stays reserved.
func (b *Budget) SetLimit(n int64) { b.limit.Store(max(n, 0)) }

// Used returns the bytes reserved and charged.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the limit, or zero without one.
func (b *Budget) Limit() int64 { return b.limit.Load() }

// Rejected returns how many reservations have failed.
func (b *Budget) Rejected() int64 { return b.rejected.Load() }
