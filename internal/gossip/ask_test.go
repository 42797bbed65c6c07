package gossip

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/membership"
)

// largeFleet starts enough routers that they communicate in datagrams. The source refuses
// all of them; seeds are the first two.
func largeFleet(t *testing.T, routers int) []*router {
	t.Helper()
	var fleet []*router
	var seeds []string
	for range routers {
		r := newIdleRouterEvery(t, largePeriod, ownAddress(), &source{err: errors.New("turned away")}, seeds...).run(t)
		r.gossip.SetHoldersKnown()
		if fleet = append(fleet, r); len(seeds) < 2 {
			seeds = append(seeds, r.gossip.Address())
		}
	}
	return fleet
}

func TestLargeFleetLearnsFromSingleReader(t *testing.T) {
	fleet := largeFleet(t, 2*maxPartners)
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
	}
	for i, list := range [][]string{{"a", "b"}, {"b"}} {
		version, read := uint64(4+i), time.Now()
		fleet[7].watcher.ApplySnapshot(watch.Snapshot{Config: config(version), Replicas: replicas(list...)}, read)
		for _, r := range fleet {
			waitUntil(t, func() bool {
				table := r.holder.Current().Table
				return r.balancer.ReadyCount("s") == len(list) && table != nil && table.Version() == version
			})
			assert.False(t, r.holder.Current().ProvenAt.After(read), "a proof does not get newer in transit")
			assert.Zero(t, r.source.reads)
		}
	}
}

// The counts of each router arrive from the members of its line, and through one member
// of each other line.
func TestLargeFleetKnowsCountsOfAll(t *testing.T) {
	fleet := largeFleet(t, 2*maxPartners)
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
		r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}, time.Now())
		r.balancer.RequestStarted("a")
	}
	for _, r := range fleet {
		waitUntil(t, func() bool {
			choice, found := r.balancer.Pick(balance.Request{Service: "s", Tried: []string{"b"}}, time.Now())
			return found && choice.Load == float64(len(fleet))
		})
	}
}

// Each router receives the rumor from some partners and forwards it to some.
func TestRumorReachesLargeFleet(t *testing.T) {
	fleet := largeFleet(t, 2*maxPartners)
	for _, r := range fleet {
		r.awaitMembers(t, len(fleet))
		r.watcher.ApplySnapshot(watch.Snapshot{Config: config(1), Replicas: replicas("a", "b")}, time.Now())
	}
	for _, r := range fleet {
		r.awaitRound(t)
	}
	holding := balance.PartHolder{Part: 7, Replica: balance.ReplicaHash("b")}
	fleet[5].balancer.MergeRumors(balance.Rumors{Holders: []balance.PartHolder{holding}}, time.Now())
	for _, r := range fleet {
		waitUntil(t, func() bool { return slices.Contains(r.balancer.Holders(time.Now()), holding) })
	}
}

// A datagram may have been in transit for long, so that the age in it proves nothing.
func TestUnsolicitedDigestIsNoProof(t *testing.T) {
	r := newIdleRouter(t, &source{})
	read := time.Now().Add(-time.Minute)
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("a")}, read)
	word := r.watcher.Digest()
	version, mark := word.Version, word.ListHash
	now, proofMs := time.Now(), uint32(0)
	digest := &gossippb.Digest{Sender: "127.0.0.1:9", DataCentre: "there", Version: version, Mark: mark, ProofMs: &proofMs}
	r.gossip.handleDigest(digest, now)
	assert.Equal(t, read, r.holder.Current().ProvenAt)
	require.Len(t, r.gossip.queries, 1, "it queries the sender")
	asked := now.Add(-50 * time.Millisecond)
	for number := range r.gossip.queries {
		r.gossip.handleAnswer(nobody, &gossippb.Freshness{Ask: number + 1, Version: version, Mark: mark, ProofMs: &proofMs}, now)
		assert.Equal(t, read, r.holder.Current().ProvenAt, "an answer without a query")
		r.gossip.queries[number] = query{address: digest.Sender, at: asked}
		r.gossip.handleAnswer(nobody, &gossippb.Freshness{Ask: number, Version: version, Mark: mark, ProofMs: &proofMs}, now)
	}
	assert.Equal(t, asked, r.holder.Current().ProvenAt, "dated from the query")
	assert.Empty(t, r.gossip.queries)
}

// All partners send the same news within a round.
func TestNewsQueriesAreBounded(t *testing.T) {
	cases := map[string]struct {
		version uint64
		age     time.Duration
		asked   int
	}{
		"a newer version":            {version: 5, age: time.Hour, asked: maxNewsQueries},
		"a newer proof":              {version: 4, age: 0, asked: maxNewsQueries},
		"hardly a newer proof":       {version: 4, age: time.Minute - 100*time.Millisecond, asked: 0},
		"an older version":           {version: 3, age: 0, asked: 0},
		"an older proof of the same": {version: 4, age: time.Hour, asked: 0},
		"another list that is older": {version: 4, age: time.Hour, asked: 0},
		"another list that is newer": {version: 4, age: 0, asked: maxNewsQueries},
		"somebody who knows nothing": {version: 0, age: -1, asked: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := newIdleRouter(t, &source{})
			r.gossip.SetHoldersKnown()
			now := time.Now()
			r.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("a")}, now.Add(-time.Minute))
			mark := r.watcher.Digest().ListHash
			if name == "another list that is older" || name == "another list that is newer" {
				mark++
			}
			for i := range 10 {
				digest := &gossippb.Digest{Sender: fmt.Sprintf("127.0.0.1:%d", i+1), DataCentre: "there", Version: c.version, Mark: mark}
				if age := uint32(c.age.Milliseconds()); c.age >= 0 {
					digest.ProofMs = &age
				}
				r.gossip.handleDigest(digest, now)
			}
			assert.Len(t, r.gossip.queries, c.asked)
		})
	}
}

func TestUnansweredQueryIsRetriedAndExpires(t *testing.T) {
	r := newIdleRouter(t, &source{})
	now := time.Now()
	for range maxNewsQueries {
		r.gossip.sendQuery("127.0.0.1:1", false, false, now)
	}
	assert.False(t, r.gossip.mayQuery("127.0.0.1:1", now), "it has an open query")
	assert.False(t, r.gossip.mayQuery("127.0.0.1:2", now), "the number of open queries is bounded")
	assert.True(t, r.gossip.mayQuery("127.0.0.1:1", now.Add(queryRetry)))
	r.gossip.expireQueries(now.Add(answerTimeout + 1))
	assert.Empty(t, r.gossip.queries)
}

func TestPartnersAreQueriedInTurn(t *testing.T) {
	r := newIdleRouter(t, &source{})
	first, asks := r.gossip.nextQueried(5)
	assert.Equal(t, []int{0, 5}, []int{first, asks}, "a fleet in which few members are heard")
	for i := range queryAllLimit {
		r.gossip.members.RecordHeartbeat(fmt.Sprintf("127.0.0.1:%d", i+1), time.Now())
	}
	asked := make(map[int]int)
	for range 33 {
		first, asks := r.gossip.nextQueried(33)
		for i := range asks {
			asked[(first+i)%33]++
		}
	}
	for i := range 33 {
		assert.Equal(t, queriesPerRound, asked[i], i)
	}
	_, asks = r.gossip.nextQueried(0)
	assert.Zero(t, asks)
}

// A packet that is no valid datagram, or holds no usable entries, changes nothing.
func TestDamagedDatagramsAreIgnored(t *testing.T) {
	r := newIdleRouter(t, &source{})
	from := netip.MustParseAddrPort("127.0.0.1:9")
	whole := encodeDigest(&gossippb.Digest{Alive: []byte{1, 2}, Member: []string{"127.0.0.1:8"}})
	for _, packet := range [][]byte{nil, []byte("GET / HTTP/1.1"), whole[:len(whole)-1]} {
		r.gossip.handleDatagram(from, packet)
		assert.Equal(t, 1, r.gossip.MemberCount())
	}
	r.gossip.handleDatagram(from, whole)
	assert.Equal(t, 2, r.gossip.MemberCount(), "the sender is the packet's source; a row without an age is ignored")
}

func TestUnsentDatagramsAreCounted(t *testing.T) {
	r := newIdleRouter(t, &source{})
	r.gossip.send("127.0.0.1:9", make([]byte, peer.MaxDatagram+1))
	r.gossip.send("router-1:7000", []byte("x"))
	assert.EqualValues(t, 2, r.gossip.UnsentDatagrams())
}

// A change is sent without waiting for the next round.
func TestNewsIsSentBetweenRounds(t *testing.T) {
	sender, receiver := newIdleRouter(t, &source{}), newIdleRouter(t, &source{err: errors.New("turned away")})
	for i := range maxPartners + 1 {
		sender.gossip.members.RecordHeartbeat(fmt.Sprintf("127.0.0.1:%d", i+1), time.Now())
	}
	sender.gossip.partners.RelayTo = []string{receiver.gossip.Address()}
	sender.watcher.ApplySnapshot(watch.Snapshot{Config: config(4), Replicas: replicas("a")}, time.Now())
	sender.gossip.sendProof(time.Now())
	waitUntil(t, receiver.watcher.Initialized)
	assert.Zero(t, receiver.source.reads)
}

// joinLine makes a router of a large fleet one that has a member in its line and relays to
// others.
func joinLine(r *router, line, relayTo []string) {
	r.gossip.mu.Lock()
	defer r.gossip.mu.Unlock()
	for i := range maxPartners + 1 {
		r.gossip.members.RecordHeartbeat(fmt.Sprintf("127.0.0.1:%d", i+1), time.Now())
	}
	r.gossip.partners = membership.Partners{Line: line, RelayTo: relayTo}
}

// Proofs aged by two rounds on their way, and each router that learned something new sent it
// to all its partners: 62 datagrams of each of 985 routers at each change of the list.
func TestLineOfTheReaderPassesItsReadOn(t *testing.T) {
	reader, mate, third, fourth := newIdleRouter(t, &source{}), newIdleRouter(t, &source{}), newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	for _, r := range []*router{reader, mate, third, fourth} {
		r.gossip.SetHoldersKnown()
	}
	joinLine(reader, []string{mate.gossip.Address()}, nil)
	joinLine(mate, []string{reader.gossip.Address()}, []string{third.gossip.Address()})
	joinLine(third, nil, []string{fourth.gossip.Address()})
	read := time.Now().Add(-time.Minute)
	for i := range 3 {
		proven := read.Add(time.Duration(i) * time.Second)
		reader.watcher.ApplySnapshot(watch.Snapshot{Config: config(uint64(4 + i/2)), Replicas: replicas("a")}, proven)
		reader.gossip.sendProof(time.Now())
		for _, r := range []*router{mate, third} {
			waitUntil(t, func() bool {
				state := r.holder.Current()
				return state.Table != nil && state.Table.Version() == uint64(4+i/2) && proven.Sub(state.ProvenAt) < minLead
			})
		}
	}
	assert.False(t, fourth.watcher.Initialized(), "only the reader's line passes it on")
}

// minLead is how much older a proof becomes on its way at most, since ages are rounded up.
const minLead = 500 * time.Millisecond
