package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUpdatesSignalsEachChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWatcher(&fakeSource{}, 0)
		closed := func(c <-chan struct{}) bool {
			select {
			case <-c:
				return true
			default:
				return false
			}
		}
		updates, expected := f.Updates()
		assert.True(t, expected, "there is no list yet")
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		assert.True(t, closed(updates))

		time.Sleep(time.Millisecond)
		updates, expected = f.Updates()
		assert.False(t, expected)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		assert.False(t, closed(updates), "no change")

		for _, change := range []struct {
			name     string
			snapshot Snapshot
		}{
			{"configuration", Snapshot{Config: config(2), Replicas: replicas("a")}},
			{"list", Snapshot{Config: config(2), Replicas: replicas("a", "b")}},
		} {
			time.Sleep(time.Millisecond)
			updates, _ = f.Updates()
			f.ApplySnapshot(change.snapshot, time.Now())
			assert.True(t, closed(updates), change.name)
		}

		time.Sleep(time.Millisecond)
		updates, _ = f.Updates()
		listHash := f.Digest().ListHash
		f.ApplyKnowledge(Knowledge{Config: config(3), Version: 3, ListHash: listHash}, time.Now(), time.Now(), "other")
		assert.True(t, closed(updates), "from another router")
	})
}

func TestUpdatesAreExpectedDuringARefresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{snapshot: Snapshot{Replicas: replicas("a", "b")}, delay: 10 * time.Millisecond}
		f := newWatcher(source, 0)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		time.Sleep(time.Second)
		done := make(chan error)
		go func() { done <- f.RefreshList(t.Context(), time.Now().Add(-time.Millisecond)) }()
		synctest.Wait()
		updates, expected := f.Updates()
		assert.True(t, expected)
		<-updates
		assert.NoError(t, <-done)
		_, expected = f.Updates()
		assert.False(t, expected)
	})
}

func TestNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWatcher(&fakeSource{}, 0)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		f.Reconfigure(&fakeSource{}, Options{Period: time.Second, Timeout: time.Second})
		assert.Equal(t, 850*time.Millisecond, f.NextRead(time.Now()))
		time.Sleep(time.Second)
		assert.Zero(t, f.NextRead(time.Now()))
	})
}
