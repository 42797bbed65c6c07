package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/directory"
)

// The directory of newWatcher has a grace period of 2 s: facts apply for 4 s, and reads
// prove nothing about the configuration for 2 s.

func listOf(generation, version uint64, list []directory.Replica) Snapshot {
	return Snapshot{Generation: generation, Config: config(version), Replicas: list}
}

func draining(list []directory.Replica, n int) []directory.Replica {
	list = append([]directory.Replica(nil), list...)
	list[n].State = directory.Draining
	return list
}

func TestReadAfterARewindProvesNothingForTheGracePeriod(t *testing.T) {
	copies := map[string]struct {
		snapshot func(list []directory.Replica) Snapshot
	}{
		"a later generation":            {func(l []directory.Replica) Snapshot { return listOf(2, 4, l) }},
		"with an earlier configuration": {func(l []directory.Replica) Snapshot { return listOf(2, 3, l) }},
		"a lower revision without a generation": {func(l []directory.Replica) Snapshot {
			s := listOf(1, 4, l)
			s.RevisionDrops, s.GenerationMissing = 1, true
			return s
		}},
		"with a later configuration": {func(l []directory.Replica) Snapshot { return listOf(2, 5, l) }},
	}
	for name, test := range copies {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				list := replicas("a", "b")
				f := newWatcher(&fakeSource{}, 0)
				start := time.Now()
				require.NoError(t, f.ApplySnapshot(listOf(1, 4, list), start))
				read := func() {
					require.NoError(t, f.ApplySnapshot(test.snapshot(list), time.Now()))
				}
				time.Sleep(time.Second)
				for range 4 {
					read()
					assert.Equal(t, start, f.holder.Current().ProvenAt)
					assert.Zero(t, f.ListAge(time.Now()), "the list is still read")
					assert.Zero(t, f.Age(time.Now()))
					ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
					assert.ErrorIs(t, f.WaitFresh(ctx, time.Now()), ErrUnproven, "returns at once")
					cancel()
					time.Sleep(500 * time.Millisecond)
				}
				read()
				assert.Equal(t, time.Now(), f.holder.Current().ProvenAt)
				assert.GreaterOrEqual(t, f.Digest().Version, uint64(4), "never goes back")
				assert.EqualValues(t, 1, f.log.Count(event.SourceRewound))
			})
		})
	}
}

func TestReadOfAnEarlierGenerationIsRejected(t *testing.T) {
	list := replicas("a", "b")
	now := time.Now()
	source := &fakeSource{snapshot: listOf(1, 9, list)}
	f := newWatcher(source, 0)
	require.NoError(t, f.ApplySnapshot(listOf(2, 4, draining(list, 0)), now.Add(-time.Hour)))
	assert.ErrorIs(t, f.ApplySnapshot(listOf(1, 9, list), now), ErrStaleGeneration)
	assert.ErrorIs(t, f.readOnce(t.Context()), ErrStaleGeneration)
	assert.ErrorIs(t, f.RefreshList(t.Context(), now), ErrNotRefreshed)
	assert.EqualValues(t, 4, f.Digest().Version)
	assert.False(t, f.Ready("a"))
	assert.EqualValues(t, 3, f.log.Count(event.SourcePast))
	require.NoError(t, f.ApplySnapshot(Snapshot{Config: config(4), Replicas: list}, now), "a read without a generation is accepted")
	assert.True(t, f.Ready("a"))
}

func TestMissingGenerationIsLoggedOnce(t *testing.T) {
	f := newWatcher(&fakeSource{}, 0)
	for n, untold := range []bool{false, true, true, false, true} {
		s := listOf(3, 4, nil)
		s.GenerationMissing = untold
		require.NoError(t, f.ApplySnapshot(s, time.Now().Add(time.Duration(n)*time.Second)))
	}
	assert.EqualValues(t, 2, f.log.Count(event.SourceUntold))
}

// exchangeKnowledge lets each router learn from every other one what it lacks, as in
// production.
func exchangeKnowledge(t *testing.T, routers ...*Watcher) {
	t.Helper()
	for _, learner := range routers {
		for _, teacher := range routers {
			now := time.Now()
			proven := now.Add(-teacher.Age(now))
			if learner != teacher && learner.ApplyPeerProof(teacher.Digest(), proven) {
				k, age := teacher.Knowledge(learner.KnowledgeRequest(false), now)
				learner.ApplyKnowledge(k, now, now.Add(-age), "peer")
			}
		}
	}
}

// Three routers know of a drain, a departure and an evacuation. The fourth starts after
// the store was restored from a copy without them, and is the one that reads.
func TestRouterStartedAfterARewindAppliesPeerFacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copied := replicas("a", "b", "c", "d")
		copied[3].DataCentre = "north"
		known := listOf(1, 4, draining(copied[1:], 0))
		known.Evacuated = []string{"north"}
		old := []*Watcher{newWatcher(&fakeSource{}, 1), newWatcher(&fakeSource{}, 2), newWatcher(&fakeSource{}, 3)}
		for _, f := range old {
			require.NoError(t, f.ApplySnapshot(listOf(1, 3, copied), time.Now()))
		}
		time.Sleep(time.Second)
		for _, f := range old {
			require.NoError(t, f.ApplySnapshot(known, time.Now()))
		}
		time.Sleep(time.Second)
		fresh := newWatcher(&fakeSource{}, 0)
		copy := listOf(2, 3, copied)
		require.NoError(t, fresh.ApplySnapshot(copy, time.Now()))
		all := append(old, fresh)
		require.NoError(t, old[0].ApplySnapshot(copy, time.Now()))
		exchangeKnowledge(t, old[1], fresh)
		assert.False(t, old[1].Ready("b"), "a router without facts does not override those of others")
		for range 3 {
			exchangeKnowledge(t, all...)
		}
		for _, f := range all {
			assert.EqualValues(t, 4, f.Digest().Version)
			assert.EqualValues(t, 2, f.Digest().Generation)
			for id, ready := range map[string]bool{"a": false, "b": false, "c": true, "d": false} {
				assert.Equal(t, ready, f.Ready(id), id)
			}
			assert.Equal(t, fresh.Digest(), f.Digest(), "all routers hold the same state and request nothing more")
			assert.True(t, f.holder.DistrustsRead(time.Now()))
		}
		// The operator and the replicas write again, and the fourth router continues to
		// read.
		time.Sleep(1900 * time.Millisecond)
		known.Generation = 2
		for range 8 {
			require.NoError(t, fresh.ApplySnapshot(known, time.Now()))
			exchangeKnowledge(t, all...)
			time.Sleep(500 * time.Millisecond)
		}
		for _, f := range all {
			assert.Zero(t, f.Digest().FactsHash)
			assert.LessOrEqual(t, f.Staleness(time.Now()), time.Second)
			assert.Equal(t, fresh.Digest(), f.Digest())
			assert.False(t, f.Ready("b"))
			assert.True(t, f.Ready("c"))
		}
	})
}

// A router was cut off until long after the restore. Its outdated facts must not make
// other routers distrust what has been written again since.
func TestRouterReconnectedLateHoldsNoFacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := replicas("a", "b")
		f, cut := newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
		require.NoError(t, f.ApplySnapshot(listOf(1, 4, list), time.Now()))
		require.NoError(t, cut.ApplySnapshot(listOf(1, 4, draining(list, 0)), time.Now()))
		time.Sleep(time.Second)
		require.NoError(t, f.ApplySnapshot(listOf(2, 4, list), time.Now()))
		time.Sleep(10 * time.Second)
		require.NoError(t, f.ApplySnapshot(listOf(2, 4, list), time.Now()))

		reads := newWatcher(&fakeSource{}, 2)
		require.NoError(t, reads.ApplySnapshot(listOf(1, 4, draining(list, 0)), time.Now()))
		require.NoError(t, reads.ApplySnapshot(listOf(2, 4, list), time.Now()), "it reads for itself before it hears others")
		assert.True(t, reads.holder.DistrustsRead(time.Now()))
		for range 2 {
			exchangeKnowledge(t, f, cut, reads)
		}
		for _, r := range []*Watcher{f, cut} {
			assert.True(t, r.Ready("a"))
			assert.False(t, r.holder.DistrustsRead(time.Now()))
		}
		assert.EqualValues(t, 2, cut.Digest().Generation)
		assert.Zero(t, cut.log.Count(event.SourceRewound), "by the other routers, everything has been written again")
	})
}

// Proofs of an earlier generation that arrive after those of a later one have no effect.
func TestProofOfAnEarlierGenerationIsIgnored(t *testing.T) {
	now := time.Now()
	list := replicas("a", "b")
	late, f := newWatcher(&fakeSource{}, 1), newWatcher(&fakeSource{}, 0)
	require.NoError(t, late.ApplySnapshot(listOf(1, 4, list), now))
	require.NoError(t, f.ApplySnapshot(listOf(1, 4, draining(list, 0)), now.Add(-time.Second)))
	require.NoError(t, f.ApplySnapshot(listOf(2, 4, draining(list, 0)), now.Add(-time.Second)))
	assert.False(t, f.ApplyPeerProof(late.Digest(), now.Add(time.Second)), "a later proof of an earlier generation")
	assert.False(t, f.Behind(late.Digest(), now.Add(time.Second)))
	k, _ := late.Knowledge(KnowledgeRequest{}, now)
	f.ApplyKnowledge(k, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.False(t, f.Ready("a"))
	assert.EqualValues(t, 2, f.Digest().Generation)
	assert.True(t, late.ApplyPeerProof(f.Digest(), now.Add(-time.Hour)), "an earlier proof of a later generation is requested")
	assert.True(t, late.Behind(f.Digest(), now.Add(-time.Hour)))
}
