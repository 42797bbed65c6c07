package watch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestNewsComesWithEachChange(t *testing.T) {
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
		news, expected := f.Updates()
		assert.True(t, expected, "there is no list yet")
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		assert.True(t, closed(news))

		time.Sleep(time.Millisecond)
		news, expected = f.Updates()
		assert.False(t, expected)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		assert.False(t, closed(news), "nothing has changed")

		for _, change := range []struct {
			name     string
			snapshot Snapshot
		}{
			{"configuration", Snapshot{Config: config(2), Replicas: replicas("a")}},
			{"list", Snapshot{Config: config(2), Replicas: replicas("a", "b")}},
		} {
			time.Sleep(time.Millisecond)
			news, _ = f.Updates()
			f.ApplySnapshot(change.snapshot, time.Now())
			assert.True(t, closed(news), change.name)
		}

		time.Sleep(time.Millisecond)
		news, _ = f.Updates()
		mark := f.Digest().ListHash
		f.ApplyKnowledge(Knowledge{Config: config(3), Version: 3, ListHash: mark}, time.Now(), time.Now(), "other")
		assert.True(t, closed(news), "from another router")
	})
}

func TestNewsIsExpectedWhileAListIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{snapshot: Snapshot{Replicas: replicas("a", "b")}, delay: 10 * time.Millisecond}
		f := newWatcher(source, 0)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		time.Sleep(time.Second)
		done := make(chan error)
		go func() { done <- f.RefreshList(t.Context(), time.Now().Add(-time.Millisecond)) }()
		synctest.Wait()
		news, expected := f.Updates()
		assert.True(t, expected)
		<-news
		assert.NoError(t, <-done)
		_, expected = f.Updates()
		assert.False(t, expected)
	})
}

func TestWhenTheSourceIsReadNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWatcher(&fakeSource{}, 0)
		f.ApplySnapshot(Snapshot{Config: config(1), Replicas: replicas("a")}, time.Now())
		f.Reconfigure(&fakeSource{}, Options{Period: time.Second, Timeout: time.Second})
		assert.Equal(t, 850*time.Millisecond, f.NextRead(time.Now()))
		time.Sleep(time.Second)
		assert.Zero(t, f.NextRead(time.Now()))
	})
}
