package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/poison"
)

// Guards against requests, and parts of prompts, that may crash more replicas once all routers have ended.
func TestHeldAfterAllRoutersEnded(t *testing.T) {
	for name, part := range map[string]bool{"a body": false, "a part": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, part)
			f.crash(t)
			for range 2 {
				f.end(f.routers...)
				f.replace(t)
				f.start(t, false)
				f.awaitRead(f.routers...)
				f.assertHeld(t)
			}
			// The replicas are mended, and a trial shows it.
			f.mended.Store(true)
			for _, e := range f.routers {
				e.poison.SetLimits(poison.Limits{Crashes: 3, Hold: time.Millisecond})
				e.parts.SetLimits(poison.Limits{Crashes: 3, Hold: time.Millisecond})
			}
			for _, e := range f.routers {
				until(t, func() bool { return f.post(t, e, true) == http.StatusOK })
			}
			until(t, func() bool { return f.store.holds() == 0 })
		})
	}
}

// Guards against crashes that count twice at a router that learned them from the others too, which makes
// the hold longer.
func TestRestoredCrashesCountOnce(t *testing.T) {
	for name, part := range map[string]bool{"a body": false, "a part": true} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, part)
			f.crash(t)
			before := f.crashes(f.routers[0])
			for range crashRouters {
				f.end(f.routers[0])
				f.start(t, false)
				f.awaitRead(f.routers[crashRouters-1])
			}
			f.replace(t)
			f.assertHeld(t)
			for _, e := range f.routers {
				assert.Equal(t, before, f.crashes(e))
			}
		})
	}
}

// Guards against a record that keeps routers from serving, and against one that is not mended.
func TestRecordOfHeldRequestsThatIsNotUsable(t *testing.T) {
	f := newCrashFleet(t, false)
	f.crash(t)
	f.end(f.routers...)
	f.store.set(`{"requests":[{"digest":"`)
	f.replace(t)
	f.start(t, false)
	f.awaitRead(f.routers...)
	for _, e := range f.routers {
		assert.Equal(t, http.StatusOK, f.post(t, e, false))
		assert.Zero(t, f.crashes(e))
	}
	f.crash(t)
	_, staleReads, _ := f.store.calls()
	assert.Equal(t, crashRouters, staleReads)
}

// Guards against a record that is not read, as the store was away at the start.
func TestHeldRequestsAreReadOnceTheStoreIsBack(t *testing.T) {
	f := newCrashFleet(t, false)
	f.crash(t)
	f.end(f.routers...)
	f.store.setAway(true)
	f.replace(t)
	f.start(t, false)
	f.awaitRead(f.routers...)
	f.store.setAway(false)
	for _, e := range f.routers {
		until(t, func() bool { return f.crashes(e) > 0 })
	}
	f.assertHeld(t)
}

// Guards against calls to the store by fleets that hold nothing.
func TestNothingIsWrittenWhileNothingIsHeld(t *testing.T) {
	f := newCrashFleet(t, false)
	time.Sleep(peerWait + recallWait + 2*heldPeriod)
	reads, staleReads, writes := f.store.calls()
	assert.Zero(t, reads+staleReads+writes)
	f.end(f.routers...)
	f.start(t, false)
	f.awaitRead(f.routers...)
	time.Sleep(peerWait + recallWait + 4*heldPeriod)
	reads, staleReads, writes = f.store.calls()
	assert.Equal(t, []int{1, crashRouters, 0}, []int{reads, staleReads, writes}, "reads, stale reads and writes")
}
