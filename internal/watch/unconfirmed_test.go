package watch

import (
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
)

// Seen: a data centre was cut off from the others and from the store for some seconds while
// replicas were replaced. Three seconds after it was back its routers still sent requests to
// replicas whose leaving had been acknowledged 2.1 to 3 s before, where 2 s are allowed.
//
// How it came about: the leases of its replicas had run out, and others had left meanwhile, so
// that the first list after the cut lacked a third of a service. They were taken for victims of an
// outage and kept their work; some left right then, and no list named them again.
//
// Cause: the doubt of a list ended with a read that was sent after the grace, and excused from
// the bound on a list's age until then, up to 3.2 s.
//
// Proved by the lines of the late requests: each went to a replica in doubt for 2.8 to 3.2 s,
// by a proof that was 0.6 to 0.9 s old.
const (
	cutPeriod = 800 * time.Millisecond
	// cutLimit is how old a list may be, cutGrace for how long a replica keeps its work that
	// vanished with its list.
	cutLimit  = 1600 * time.Millisecond
	cutGrace  = 2400 * time.Millisecond
	cutLength = 4500 * time.Millisecond
)

// behindACut returns a router that was cut off from its source for a while, and is back.
// The first list that it reads names only those that are told.
func behindACut(t *testing.T, before, after []string) (*Watcher, *fakeSource) {
	t.Helper()
	source := &fakeSource{snapshot: Snapshot{Config: config(1), Replicas: addressed(before...)}}
	f := newUnconfirmingWatcher(source)
	require.NoError(t, f.readOnce(t.Context()))
	source.err = errors.New("cut off")
	for cut := time.Now(); time.Since(cut) < cutLength; {
		time.Sleep(cutPeriod / 4)
		require.Error(t, f.readOnce(t.Context()))
		if time.Since(cut) > cutLimit {
			require.True(t, f.StoreUnavailable(cutLimit, time.Now()))
		}
	}
	source.err = nil
	source.snapshot.Replicas = addressed(after...)
	require.NoError(t, f.readOnce(t.Context()))
	return f, source
}

// addressed returns replicas that stand at addresses of their own.
func addressed(ids ...string) []directory.Replica {
	list := replicas(ids...)
	for i := range list {
		list[i].Address = list[i].ID + ":1"
	}
	return list
}

// kept tells whether a replica may be used by what is known of the list.
func kept(f *Watcher, id string) bool {
	return f.Ready(id) && !slices.Contains(f.NotListedSince(time.Now().Add(-cutLimit)), id)
}

func TestAReplicaThatLeavesBehindACutGetsNothingPastTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, _ := behindACut(t, []string{"a", "b", "c"}, []string{"c"})
		back, step := time.Now(), cutPeriod/8
		// It leaves right after the return, undeclared: no list names it again.
		var used time.Duration
		for after := step; after < 2*cutGrace; after += step {
			time.Sleep(step)
			if after%cutPeriod == 0 {
				require.NoError(t, f.readOnce(t.Context()))
			}
			if kept(f, "a") {
				used = time.Since(back)
			}
			assert.True(t, kept(f, "c"))
		}
		assert.Equal(t, cutLimit-step, used, "for how long after the return it was used")
	})
}

// The other side: entries that lapsed while their replicas could not renew them are written
// again. Those replicas are used all along.
func TestReplicasThatAreListedAgainAfterACutKeepTheirWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, source := behindACut(t, []string{"a", "b", "c"}, nil)
		for _, listed := range []string{"a", "b", "c"} {
			source.snapshot.Replicas = append(source.snapshot.Replicas, addressed(listed)...)
			for range 4 {
				for _, id := range []string{"a", "b", "c"} {
					assert.True(t, kept(f, id), id)
				}
				time.Sleep(cutLimit / 16)
			}
			require.NoError(t, f.readOnce(t.Context()))
		}
		time.Sleep(cutLimit / 2)
		assert.True(t, kept(f, "a"))
	})
}
