package watch

import (
	"context"
	"errors"
	"net/http/httptrace"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
	"github.com/croftyard/croftyard/pkg/turns"
)

// fakeSource answers after a delay.
type fakeSource struct {
	snapshot Snapshot
	err      error
	delay    time.Duration
	// begins: it begins its answer before the delay.
	begins bool
	reads  atomic.Int32
}

func (s *fakeSource) Replicas(ctx context.Context) (Snapshot, error) {
	snapshot, err := s.Read(ctx)
	snapshot.Config = nil
	return snapshot, err
}

func (s *fakeSource) Read(ctx context.Context) (Snapshot, error) {
	s.reads.Add(1)
	if trace := httptrace.ContextClientTrace(ctx); s.begins && trace != nil {
		trace.GotFirstResponseByte()
	}
	select {
	case <-time.After(s.delay):
	case <-ctx.Done():
		return Snapshot{}, ctx.Err()
	}
	return s.snapshot, s.err
}

func newWatcher(s Source, rank int) *Watcher {
	return New(s, Options{Period: time.Second, Timeout: time.Second, Place: func() turns.Place { return turns.Place{Rank: rank, Routers: 3} }},
		directory.New(2*time.Second, 2*time.Second), freshness.NewHolder(), balance.New(1), event.Discard())
}

// newWatcherWithoutPeers returns a watcher without peers, with the settings of a
// deployment that lets replicas drain for two seconds.
func newWatcherWithoutPeers(s Source) *Watcher {
	return New(s, Options{Period: partitionReadPeriod, Timeout: partitionReadPeriod},
		directory.New(2*partitionReadPeriod, partitionGracePeriod), freshness.NewHolder(), balance.New(1), event.Discard())
}

func config(version uint64) *route.Config { return &route.Config{Version: version} }

func replicas(ids ...string) []directory.Replica {
	var list []directory.Replica
	for _, id := range ids {
		list = append(list, directory.Replica{ID: id, Service: "s"})
	}
	return list
}

func TestFirstRouterReadsAndOthersTakeOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &fakeSource{snapshot: Snapshot{Config: config(1), Replicas: replicas("a")}}
		f := newWatcher(source, 2)
		go f.Run(ctx)
		for range 50 {
			time.Sleep(200 * time.Millisecond)
			f.ApplyPeerProof(f.Digest(), time.Now())
		}
		assert.EqualValues(t, 1, source.reads.Load(), "other routers prove the same state")
		time.Sleep(1400 * time.Millisecond)
		assert.EqualValues(t, 2, source.reads.Load(), "no other router does any more")
		cancel()
	})
}

func TestFirstReadWaitsForPeers(t *testing.T) {
	for name, told := range map[string]bool{"knowledge of a peer": true, "no knowledge": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				source := &fakeSource{snapshot: Snapshot{Config: config(1), Replicas: replicas("a")}}
				f := newWatcher(source, 2)
				f.Reconfigure(source, Options{Period: time.Second, Timeout: time.Second, FirstRead: time.Second})
				go f.Run(ctx)
				time.Sleep(900 * time.Millisecond)
				assert.Zero(t, source.reads.Load())
				if told {
					c := config(1)
					f.ApplyKnowledge(Knowledge{Version: 1, Config: c, Listing: &directory.Listing{Replicas: replicas("a")}}, time.Now(), time.Now(), "peer")
				}
				time.Sleep(200 * time.Millisecond)
				assert.Equal(t, !told, source.reads.Load() == 1)
				assert.True(t, f.Initialized())
			})
		})
	}
}

func TestProofIsDatedFromSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &fakeSource{snapshot: Snapshot{Config: config(1)}, delay: 300 * time.Millisecond}
		f := newWatcher(source, 0)
		go f.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		synctest.Wait()
		assert.Equal(t, 300*time.Millisecond, f.Staleness(time.Now()))
		cancel()
	})
}

func TestFailingSourceIsReadMoreOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		source := &fakeSource{err: errors.New("down")}
		f := newWatcher(source, 0)
		go f.Run(ctx)
		time.Sleep(2100 * time.Millisecond)
		synctest.Wait()
		assert.True(t, f.SourceFailing())
		assert.EqualValues(t, 9, source.reads.Load())
		assert.False(t, f.Initialized())
		cancel()
	})
}

func TestInvalidConfigurationIsIgnored(t *testing.T) {
	f := newWatcher(&fakeSource{}, 0)
	now := time.Now()
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a")}, now)
	f.ApplySnapshot(Snapshot{ConfigErr: errors.New("no JSON"), Replicas: replicas("a", "b")}, now.Add(time.Second))
	bad := config(5)
	bad.Routes = []route.Route{{Name: "r"}}
	f.ApplySnapshot(Snapshot{Config: bad, Replicas: replicas("a", "b")}, now.Add(2*time.Second))
	version := f.Digest().Version
	assert.EqualValues(t, 4, version)
	assert.Len(t, f.Replicas(), 2, "the replicas are still updated")
	assert.Equal(t, 3*time.Second, f.Staleness(now.Add(3*time.Second)), "a read that cannot be decoded proves nothing")
}

// Guards against requests to a draining replica by an outdated list. Another router
// leaves out the replicas from its knowledge because they were the same at the time of
// the request, and they change here before the answer arrives. The answer must prove
// neither the configuration nor a list that it does not confirm.
func TestKnowledgeOfAnotherListProvesNothing(t *testing.T) {
	f := newWatcher(&fakeSource{}, 0)
	now := time.Now()
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a", "b")}, now)
	old := f.Digest().ListHash
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a")}, now.Add(time.Second))
	f.ApplyKnowledge(Knowledge{Version: 4, ListHash: old}, now.Add(3*time.Second), now.Add(3*time.Second), "peer")
	assert.Equal(t, 4*time.Second, f.Age(now.Add(5*time.Second)))
	assert.Equal(t, 4*time.Second, f.Staleness(now.Add(5*time.Second)))

	listHash := f.Digest().ListHash
	f.ApplyKnowledge(Knowledge{Version: 4, ListHash: listHash}, now.Add(3*time.Second), now.Add(3*time.Second), "peer")
	assert.Equal(t, 2*time.Second, f.Age(now.Add(5*time.Second)))
}

func TestEvacuationIsAppliedAndPassedOn(t *testing.T) {
	now := time.Now()
	list := replicas("a", "b")
	list[0].DataCentre = "north"
	f, other := newWatcher(&fakeSource{}, 0), newWatcher(&fakeSource{}, 1)
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: list}, now)
	known, _ := f.Knowledge(KnowledgeRequest{}, now)
	other.ApplyKnowledge(known, now, now, "peer")
	assert.Equal(t, 2, other.balancer.ReadyCount("s"))

	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: list, Evacuated: []string{"north"}}, now.Add(time.Second))
	assert.Equal(t, 1, f.balancer.ReadyCount("s"))
	digest := f.Digest()
	assert.True(t, other.ApplyPeerProof(digest, now.Add(time.Second)), "the evacuation is new")
	known, _ = f.Knowledge(KnowledgeRequest{}, now.Add(time.Second))
	other.ApplyKnowledge(known, now.Add(time.Second), now.Add(time.Second), "peer")
	assert.Equal(t, 1, other.balancer.ReadyCount("s"))
	assert.False(t, other.ApplyPeerProof(digest, now.Add(2*time.Second)), "both know of the evacuation")
	assert.Equal(t, 1, other.balancer.ReadyCount("s"), "a proof does not end the evacuation")
	assert.EqualValues(t, 1, other.log.Count(event.CentreEvacuated), "logged once")

	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: list}, now.Add(3*time.Second))
	assert.Equal(t, 2, f.balancer.ReadyCount("s"))
	assert.EqualValues(t, 1, f.log.Count(event.CentreReturned))
}

func TestRefreshListAppliesEvacuations(t *testing.T) {
	source := &fakeSource{snapshot: Snapshot{Config: config(4), Replicas: replicas("a"), Evacuated: []string{""}}}
	f := newWatcher(source, 0)
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a")}, time.Now().Add(-time.Second))
	assert.False(t, f.balancer.ServiceEvacuated("s"))
	assert.NoError(t, f.RefreshList(t.Context(), time.Now().Add(-500*time.Millisecond)))
	assert.True(t, f.balancer.ServiceEvacuated("s"), "the replicas of this test are in the data centre with an empty name")
}

func TestAgeIsTheOlderOfConfigurationAndList(t *testing.T) {
	f := newWatcher(&fakeSource{}, 0)
	now := time.Now()
	f.ApplySnapshot(Snapshot{Config: config(4), Replicas: replicas("a")}, now)
	f.holder.ConfirmVersion(4, now.Add(time.Second))
	assert.Equal(t, time.Second, f.Staleness(now.Add(2*time.Second)))
	assert.Equal(t, 2*time.Second, f.Age(now.Add(2*time.Second)))
	f.ApplySnapshot(Snapshot{ConfigErr: errors.New("no JSON"), Replicas: replicas("a")}, now.Add(3*time.Second))
	assert.Equal(t, 3*time.Second, f.Age(now.Add(4*time.Second)))
}
