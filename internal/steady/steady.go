// Package steady is the time by which ages, leases, proofs, deadlines and windows go: it
// is never set, and it goes on while the machine is suspended.
//
// The language's own steady time stands still then: a router that was suspended for ten
// seconds would take what it knew before for as new as it was, and tell others so.
//
//	time.Now        + what the machine was suspended since the process started
//	Now             for all that is compared with other times of this process
//	time.Now        for the time of day, in logs
//	timers          stand still while suspended: Watch tells when one is over
//
// Where the machine was never suspended all values are those of time.Now, in a bubble of
// testing/synctest too.
package steady

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// slack is up to how much two clocks, read one after the other, may differ without a
// suspension: the process may have had to wait in between. Suspensions last for seconds.
const slack = 20 * time.Millisecond

// start is the difference of the clocks when the process started, suspended what came on
// top of it since, pretended what a test adds; all in nanoseconds.
var (
	start     = difference()
	suspended atomic.Int64
	pretended atomic.Int64
)

// difference is by how much the clock that counts suspensions is ahead of the one that
// does not. The kernel has both since 2.6.39; without them there is nothing to add.
func difference() int64 {
	var steady, whole unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &whole) != nil {
		return 0
	}
	return whole.Nano() - steady.Nano()
}

// Suspended returns for how long the machine was suspended since the process started.
func Suspended() time.Duration {
	known := suspended.Load()
	now := difference() - start
	if now-known > int64(slack) {
		// Read again: a wait between two readings looks alike, once.
		if again := difference() - start; again-known > int64(slack) {
			suspended.CompareAndSwap(known, min(now, again))
		}
	}
	return time.Duration(suspended.Load() + pretended.Load())
}

// Now returns the time now.
func Now() time.Time { return time.Now().Add(Suspended()) }

// Since returns how long ago a time of Now is.
func Since(t time.Time) time.Duration { return Now().Sub(t) }

// Until returns how long it is until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(Now()) }

// OfDay turns a time of Now into one by which the system's deadlines of connections go,
// that come at the same moment unless the machine is suspended before.
func OfDay(t time.Time) time.Time { return time.Now().Add(Until(t)) }

// Pretend lets a test's process seem to have been suspended, until the test takes it back
// by what is returned.
func Pretend(d time.Duration) (back func()) {
	pretended.Add(int64(d))
	return func() { pretended.Add(-int64(d)) }
}

// watchPause is how soon a suspension is noticed after it: callers whose time ran out
// meanwhile wait so much longer for their answer.
const watchPause = 100 * time.Millisecond

// Watch calls a function after each suspension, with how long it lasted, until ctx ends.
func Watch(ctx context.Context, woke func(slept time.Duration)) {
	ticker := time.NewTicker(watchPause)
	defer ticker.Stop()
	known := Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := Suspended(); now > known {
			slept := now - known
			known = now
			woke(slept)
		}
	}
}
