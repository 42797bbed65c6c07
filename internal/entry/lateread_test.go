package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/origin"
)

// lateStore is a store whose next answer comes late, with what the store held when it was asked.
type lateStore struct {
	*memoryStore
	asked, release chan struct{}
}

// ReadServed implements origin.Store.
func (s lateStore) ReadServed(ctx context.Context) (records []origin.Stored, generation uint64, err error) {
	records, generation, err = s.memoryStore.ReadServed(ctx)
	select {
	case s.asked <- struct{}{}:
		<-s.release
	default:
	}
	return records, generation, err
}

// Guards against a record that is relied on for a time after it was read: the router was suspended
// before the answer came.
func TestRecordReadBeforeASuspensionIsNotRelied(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	e := f.routers[0]
	late := lateStore{f.store, make(chan struct{}), make(chan struct{})}
	var store origin.Store = late
	e.served.store.Store(&store)
	begun, read := steady.Now(), make(chan error, 1)
	go func() { read <- e.readServed(context.Background()) }()
	<-late.asked
	f.store.setAway(true)
	t.Cleanup(steady.Pretend(time.Minute))
	until(t, func() bool { return e.served.tracker.GapEnd("s").After(begun.Add(time.Minute)) })
	close(late.release)
	require.NoError(t, <-read)
	assert.False(t, e.served.tracker.Served("s", steady.Now()).IsSingle())
	assert.Empty(t, e.served.tracker.Confirmed("s"))
}

// Guards against a first start that is believed for a time after it: a router that did not observe what served
// reads that there is no record.
func TestFirstStartTellsNothingOfALaterGap(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	e := f.routers[0]
	assert.True(t, e.served.tracker.Served("s", steady.Now()).IsSingle())
	f.store.remove()
	begun := steady.Now()
	t.Cleanup(steady.Pretend(time.Minute))
	until(t, func() bool { return e.served.tracker.GapEnd("s").After(begun.Add(time.Minute)) })
	e.recallServed("s")
	assert.False(t, e.served.tracker.Served("s", steady.Now()).IsSingle())
}

// A read for a caller that another call overtook is made again at once: the next one would have to wait.
func TestReadThatWasOvertakenIsMadeAgain(t *testing.T) {
	f := newVersionedReplicas(t, 2, "v1")
	f.firstStart = true
	f.start(t, 1)
	f.awaitRecord("v1")
	e := f.routers[0]
	late := lateStore{f.store, make(chan struct{}), make(chan struct{})}
	var store origin.Store = late
	e.served.store.Store(&store)
	read := make(chan error, 1)
	go func() { read <- e.readServed(context.Background()) }()
	<-late.asked
	f.store.put("v0", "v1")
	require.NoError(t, e.readServed(context.Background()))
	f.store.put("v1")
	close(late.release)
	require.NoError(t, <-read)
	assert.False(t, e.served.keeper.Overtaken())
}
