package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/poison"
)

// laggingMemory is a store whose stale reads lack the last write while lags is set.
type laggingMemory struct {
	*heldMemory
	lags atomic.Bool
}

// ReadHeld implements poison.Store.
func (m *laggingMemory) ReadHeld(ctx context.Context, stale bool) (poison.Record, error) {
	record, err := m.heldMemory.ReadHeld(ctx, stale)
	if stale && m.lags.Load() {
		return poison.Record{}, nil
	}
	return record, err
}

// Guards against requests that crash more replicas after all routers ended, since the record was written
// shortly before and the read at the start was a stale one.
func TestHeldRequestsAreReadThoughTheStaleReadLacksThem(t *testing.T) {
	f := newCrashFleet(t, false)
	f.crash(t)
	f.end(f.routers...)
	f.lagging = &laggingMemory{heldMemory: &f.store}
	f.lagging.lags.Store(true)
	f.replace(t)
	f.start(t, false)
	f.awaitRead(f.routers...)
	f.lagging.lags.Store(false)
	const settled = 5 * time.Second
	unaware := func(e *Entry) bool { return f.crashes(e) == 0 }
	for begun := steady.Now(); steady.Since(begun) < settled && slices.ContainsFunc(f.routers, unaware); {
		time.Sleep(heldPeriod / 10)
	}
	for n, e := range f.routers {
		assert.Positive(t, f.crashes(e), "router %d, %d reads", n, e.log.Count(event.HeldRead))
	}
}
