package gossip

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/membership"
)

// Peers know the address of a router that restarts, and call it as soon as it listens.
func TestCallDuringStartFindsMembers(t *testing.T) {
	for range 20 {
		g := &router{holder: freshness.NewHolder(), balancer: balance.New(1), source: &source{}}
		g.watcher = watch.New(g.source, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), g.holder, g.balancer, event.Discard())
		held, err := net.Listen("tcp", ownAddress())
		require.NoError(t, err)
		address := held.Addr().String()
		client := peer.NewClient(&peer.Meter{})
		called := make(chan struct{})
		go func() {
			defer close(called)
			waitUntil(t, func() bool {
				return client.Control(t.Context(), address, peer.Bound{Call: time.Minute}, func(ctx context.Context, conn drpc.Conn) error {
					_, err := gossippb.NewDRPCGossipClient(conn).Exchange(ctx, &gossippb.Digest{Sender: "127.0.0.2:1"})
					return err
				}) == nil
			})
		}()
		held.Close()
		g.gossip, err = Start(Options{Address: address, Period: time.Hour}, g.watcher, g.balancer, event.Discard())
		require.NoError(t, err)
		<-called
		assert.Equal(t, 2, g.gossip.MemberCount())
		client.Close()
		g.gossip.stop()
	}
}

func TestRouterRefusedBySourceLearnsFromPeers(t *testing.T) {
	first := newRouter(t, &source{})
	second := newRouter(t, &source{err: errors.New("turned away")}, first.gossip.Address())
	third := newRouter(t, &source{err: errors.New("turned away")}, second.gossip.Address())
	read := time.Now()
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("a", "b")}, read)
	for _, r := range []*router{second, third} {
		waitUntil(t, r.watcher.Initialized)
		assert.EqualValues(t, 4, r.holder.Current().Table.Version())
		waitUntil(t, func() bool { return r.balancer.ReadyCount("s") == 2 })
		assert.False(t, r.holder.Current().ProvenAt.After(read), "a proof does not get newer in transit")
		assert.Zero(t, r.source.reads)
	}
	first.awaitMembers(t, 3)
	third.awaitMembers(t, 3)

	later := time.Now()
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(5), Replicas: replicas("b")}, later)
	waitUntil(t, func() bool { return third.holder.Current().Table.Version() == 5 && third.balancer.ReadyCount("s") == 1 })
	assert.False(t, third.holder.Current().ProvenAt.After(later))
}

func TestEvacuationReachesRoutersRefusedBySource(t *testing.T) {
	list := replicas("a", "b")
	list[0].DataCentre = "north"
	first := newRouter(t, &source{})
	second := newRouter(t, &source{err: errors.New("turned away")}, first.gossip.Address())
	third := newRouter(t, &source{err: errors.New("turned away")}, second.gossip.Address())
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list}, time.Now())
	waitUntil(t, func() bool { return third.balancer.ReadyCount("s") == 2 })
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list, Evacuated: []string{"north"}}, time.Now())
	for _, r := range []*router{second, third} {
		waitUntil(t, func() bool { return r.balancer.ReadyCount("s") == 1 })
		assert.Zero(t, r.source.reads)
	}
}

func TestColdReplicasAreSharedAmongKnownRouters(t *testing.T) {
	r := newRouter(t, &source{})
	r.balancer.SetColdBounds(balance.ColdBounds{Overage: 1.5, Allowance: 5})
	list := replicas("a")
	list[0].Cold, list[0].ColdLeft = true, time.Hour
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list}, time.Now())
	waitUntil(t, func() bool {
		// This is long after the start, but long before the replica is warm.
		_, found := r.balancer.Pick(balance.Request{Service: "s", ColdRate: 1}, time.Now().Add(time.Minute))
		return found
	})
}

// Guards against a router that takes the few that it knows for the whole fleet.
func TestColdReplicasAreLeftToRoutersThatKnowSeeds(t *testing.T) {
	seed := newRouter(t, &source{})
	for name, c := range map[string]struct {
		seeds []string
		found bool
	}{
		"all seeds":           {[]string{seed.gossip.Address()}, true},
		"none of them":        {[]string{"127.0.0.1:1", "127.0.0.1:2"}, false},
		"there are no others": {nil, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRouter(t, &source{}, c.seeds...)
			r.balancer.SetColdBounds(balance.ColdBounds{Overage: 1.5, Allowance: 5})
			list := replicas("a")
			list[0].Cold, list[0].ColdLeft = true, time.Hour
			r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: list}, time.Now())
			waitUntil(t, func() bool { return r.balancer.ReadyCount("s") == 1 })
			picks := func() bool {
				r.awaitRound(t)
				// This is long after the start, but long before the replica is warm.
				_, found := r.balancer.Pick(balance.Request{Service: "s", ColdRate: 20}, time.Now().Add(time.Minute))
				return found
			}
			if c.found {
				waitUntil(t, picks)
				return
			}
			for range 3 {
				assert.False(t, picks())
			}
		})
	}
}

func TestOlderPeerRevertsNothing(t *testing.T) {
	old := newRouter(t, &source{})
	old.watcher.ApplySnapshot(watch.Snapshot{Config: config(3), Replicas: replicas("gone")}, time.Now())
	r := newRouter(t, &source{}, old.gossip.Address())
	proven := time.Now()
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(8), Replicas: replicas("a")}, proven)
	waitUntil(t, func() bool { return old.holder.Current().Table.Version() == 8 })
	assert.EqualValues(t, 8, r.holder.Current().Table.Version())
	assert.Equal(t, "a", r.watcher.Replicas()[0].ID)
}

func TestObservationsReachOtherRouters(t *testing.T) {
	first := newRouter(t, &source{})
	second := newRouter(t, &source{}, first.gossip.Address())
	for _, r := range []*router{first, second} {
		r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}, time.Now())
	}
	first.awaitMembers(t, 2)
	second.awaitMembers(t, 2)
	const again, most = time.Second, 3
	observed, observations := time.Time{}, 0
	waitUntil(t, func() bool {
		// An observation is sent once, in an exchange that may fail.
		if time.Since(observed) > again {
			observed = time.Now()
			observations++
			require.LessOrEqual(t, observations, most)
			first.balancer.RequestFailed("a", balance.Refused, "", observed)
		}
		return second.balancer.Suspected("a", time.Now())
	})
	assert.False(t, second.balancer.Suspected("b", time.Now()))
}

func TestLeavingRouterIsForgottenAtOnce(t *testing.T) {
	first := newRouter(t, &source{})
	second := newRouter(t, &source{}, first.gossip.Address())
	first.awaitMembers(t, 2)
	second.awaitMembers(t, 2)
	second.gossip.Leave()
	first.awaitMembers(t, 1)
	// A router that queries it is told as well, and so does not add it again.
	first.gossip.exchange(context.Background(), second.gossip.Address(), &gossippb.Digest{Sender: first.gossip.Address()})
	assert.Equal(t, 1, first.gossip.MemberCount())
}

func TestDamagedDigestsAreReadToShortestColumn(t *testing.T) {
	now := time.Now()
	told := decodeDigest(&gossippb.Digest{Replica: []uint32{1, 2}, Running: []uint32{3}, Failed: []uint32{1}, Failure: []uint32{2}, Part: []uint64{1}}, now)
	assert.Equal(t, balance.PeerUpdate{Running: []balance.ReplicaCount{{Replica: 1, Running: 3}}}, told)
	assert.Empty(t, decodeRows([]string{"a"}, nil))
	assert.Equal(t, []uint16{0x0201}, decodeSingles([]byte{1, 2, 3}))
}

func TestDataCentreWithNoHeardMemberIsSilent(t *testing.T) {
	now := time.Now()
	g := &Gossip{options: Options{DataCentre: "here", Period: 100 * time.Millisecond}, members: membership.New("me", nil, maxPartners),
		centres: map[string]string{"a1": "a", "a2": "a", "b1": "b", "h1": "here"}}
	for _, address := range []string{"a1", "a2", "b1"} {
		g.members.RecordHeartbeat(address, now)
	}
	g.members.RecordHeartbeat("b1", now.Add(125*time.Millisecond))
	assert.Empty(t, g.silentCentres(now.Add(130*time.Millisecond)))
	assert.Equal(t, []string{"a"}, g.silentCentres(now.Add(131*time.Millisecond)), "after 1.3 rounds")
	assert.Empty(t, g.silentCentres(now.Add(time.Second)), "no router at all is heard: the fault is local")
	g.members.RecordHeartbeat("h1", now.Add(time.Second))
	assert.Equal(t, []string{"a"}, g.silentCentres(now.Add(time.Second)), "b has one member, which may have died")
	g.members.RecordHeartbeat("a2", now.Add(time.Second))
	assert.Empty(t, g.silentCentres(now.Add(time.Second)))
}

func TestNewRouterLearnsHoldersFromPeer(t *testing.T) {
	parts := []balance.Part{{ID: 7, Tokens: 100}, {ID: 8, Tokens: 5}}
	first := newRouter(t, &source{})
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}, time.Now())
	first.balancer.PartsReported("a", parts, time.Now())
	second := newRouter(t, &source{}, first.gossip.Address())
	second.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}, time.Now())
	first.awaitMembers(t, 2)
	second.awaitMembers(t, 2)
	assert.False(t, second.gossip.HoldersKnown(), "the first router knows only the holders that it saw itself")
	first.gossip.SetHoldersKnown()
	waitUntil(t, second.gossip.HoldersKnown)
	assert.Len(t, second.balancer.Holders(time.Now()), 2)
}

func TestEachTaskHasOneOwner(t *testing.T) {
	tables := []*membership.Table{membership.New("a", nil, maxPartners), membership.New("b", nil, maxPartners), membership.New("c", nil, maxPartners)}
	now := time.Now()
	for _, table := range tables {
		for _, address := range []string{"a", "b", "c"} {
			table.RecordHeartbeat(address, now)
		}
	}
	for _, task := range []string{"r1", "r2", "r3", "r4", "r5"} {
		mine := 0
		for _, table := range tables {
			if table.OwnsTask(task) {
				mine++
			}
		}
		assert.Equal(t, 1, mine, task)
	}
}

// An answer contains the age of the proof when it was sent. To judge whether the source
// answers, the proof counts as young as it can be: the time of the query in transit,
// which is long over a congested link, does not add to its age.
func TestPeerProofAgeExcludesTransitTime(t *testing.T) {
	const age, limit = 55 * time.Minute, time.Hour
	first := newIdleRouter(t, &source{})
	first.watcher.ApplySnapshot(watch.Snapshot{Config: config(1)}, time.Now().Add(-age))
	second := newIdleRouter(t, &source{err: errors.New("down")})
	second.watcher.ApplySnapshot(watch.Snapshot{Config: config(1)}, time.Now().Add(-limit))
	require.Error(t, second.watcher.RefreshList(t.Context(), time.Now()))
	second.gossip.exchange(t.Context(), startSlowRelay(t, first.gossip.Address()), &gossippb.Digest{Sender: second.gossip.Address()})
	// Now the proof is just young enough; dated from the query it would not be.
	now := first.holder.Current().ProvenAt.Add(limit - 2*time.Millisecond)
	assert.False(t, second.watcher.StoreUnavailable(limit, now), "another router was answered within the limit")
}
