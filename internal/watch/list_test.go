package watch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/records"
	"github.com/croftyard/croftyard/pkg/directory"
)

// Guards against requests to a draining replica by a list that is 3.8 s old: reads that
// include a configuration of 300 KB come late over 10 Mbit/s.
func TestRefreshListOmitsTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{snapshot: Snapshot{Config: config(1), Replicas: []directory.Replica{{ID: "a", Service: "s"}}}}
		f := newWatcher(s, 0)
		require.NoError(t, f.readOnce(t.Context()))
		time.Sleep(3 * time.Second)
		assert.Equal(t, 3*time.Second, f.ListAge(time.Now()))
		s.snapshot.Replicas = []directory.Replica{{ID: "a", Service: "s", State: directory.Draining}}
		s.delay = 20 * time.Millisecond
		results := make(chan error, 5)
		for range 5 {
			go func() { results <- f.RefreshList(t.Context(), time.Now().Add(-time.Second)) }()
		}
		for range 5 {
			require.NoError(t, <-results)
		}
		assert.EqualValues(t, 2, s.reads.Load(), "one read for all callers")
		assert.Equal(t, directory.Draining, f.Replicas()[0].State)
		assert.Equal(t, 20*time.Millisecond, f.ListAge(time.Now()))
		assert.Equal(t, 3020*time.Millisecond, f.Staleness(time.Now()), "the refresh does not prove the configuration")
	})
}

func TestFailedRefreshIsNotRepeatedByEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{err: errors.New("down")}
		f := newWatcher(s, 0)
		since := time.Now()
		for range 5 {
			require.ErrorIs(t, f.RefreshList(t.Context(), since), ErrNotRefreshed)
		}
		assert.EqualValues(t, 1, s.reads.Load())
		// Its turn comes within half a period, as long as no other router is heard.
		time.Sleep(500 * time.Millisecond)
		require.ErrorIs(t, f.RefreshList(t.Context(), since), ErrNotRefreshed)
		assert.EqualValues(t, 2, s.reads.Load())

		s.delay = time.Minute
		time.Sleep(500 * time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 60*time.Millisecond)
		defer cancel()
		begun := time.Now()
		require.ErrorIs(t, f.RefreshList(ctx, since), ErrNotRefreshed)
		assert.Equal(t, 60*time.Millisecond, time.Since(begun))
		synctest.Wait()
		time.Sleep(time.Second)
	})
}

// A peer's proof may be older than a list that was read separately.
func TestPeerProofAppliesToConfigurationWhenListIsNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSource{snapshot: Snapshot{Config: config(1), Replicas: []directory.Replica{{ID: "a", Service: "s"}}}}
		f := newWatcher(s, 0)
		require.NoError(t, f.readOnce(t.Context()))
		time.Sleep(2 * time.Second)
		require.NoError(t, f.RefreshList(t.Context(), time.Now().Add(-time.Second)))
		digest := f.Digest()
		assert.False(t, f.ApplyPeerProof(digest, time.Now().Add(-500*time.Millisecond)))
		assert.Equal(t, 500*time.Millisecond, f.Staleness(time.Now()))
		assert.Zero(t, f.ListAge(time.Now()))
		digest.ListHash++
		assert.False(t, f.ApplyPeerProof(digest, time.Now().Add(-400*time.Millisecond)), "an older list is not newer")
	})
}

// Guards against a source that counts as lost because it has more than a request may read.
func TestLongListIsNoFailureOfTheSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newWatcher(&fakeSource{err: records.ErrLongList}, 0)
		require.ErrorIs(t, f.RefreshList(t.Context(), time.Now()), ErrNotRefreshed)
		assert.False(t, f.SourceFailing())
	})
}
