package gossip

import (
	"context"
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
)

// nobody is a loopback address on which nobody listens.
var nobody = netip.MustParseAddrPort("127.0.0.1:9")

// knowing returns a router that serves and has a list, and runs no rounds.
func knowing(t testing.TB) *router {
	t.Helper()
	r := newIdleRouter(t, &source{err: errors.New("away")})
	r.watcher.ApplySnapshot(watch.Snapshot{Config: config(3), Replicas: replicas("a", "b")}, steady.Now())
	r.gossip.SetHoldersKnown()
	// Nothing is fetched from senders that do not exist.
	r.gossip.fetching.Store(true)
	return r
}

// expect opens a query to a router, whose answer has its number.
func (r *router) expect(number uint32, address netip.AddrPort) {
	r.gossip.mu.Lock()
	defer r.gossip.mu.Unlock()
	r.gossip.queries[number] = query{address: address.String(), at: steady.Now()}
}

// handedOver are the messages that a starting router is sent, with everything that they may hold.
func handedOver() map[string]*gossippb.Datagram {
	digest := make([]byte, poison.DigestSize)
	marks := &gossippb.Marks{Crashed: [][]byte{digest}, Replica: []uint32{balance.ReplicaHash("a")}, CrashedAgeMs: []uint32{5}, Served: [][]byte{digest}, ServedAgeMs: []uint32{7}}
	parts := &gossippb.Marks{Crashed: [][]byte{digest}, Replica: []uint32{balance.ReplicaHash("a")}, CrashedAgeMs: []uint32{5}, Organisation: []uint32{9}, Shared: []bool{true}}
	proof := uint32(40)
	hash := balance.ReplicaHash("a")
	return map[string]*gossippb.Datagram{
		"answer": {Answer: &gossippb.Freshness{Ask: 1, DataCentre: "north", Member: []string{"127.0.0.1:9"}, HeardMs: []uint32{3}, Marks: marks, PartMarks: parts,
			Resting: []string{"a", "gone"}, RestLeftMs: []uint32{900, 1 << 31}, Brittle: []string{"s", "gone"}, BrittleRejections: []uint32{2, 1 << 31}, BrittleLeftMs: []uint32{700, 1 << 31},
			Version: 4, Mark: 5, ProofMs: &proof, ListRevision: 9}},
		"digest": {Digest: &gossippb.Digest{Hello: true, DataCentre: "north", Member: []string{"x"}, HeardMs: []uint32{1}, Replica: []uint32{hash}, Running: []uint32{3},
			Failed: []uint32{hash}, Failure: []uint32{200}, FailedAgeMs: []uint32{4}, Part: []uint64{1}, Holder: []uint32{hash}, Hot: []uint64{1}, HotHomes: []uint32{1 << 31}, HotAgeMs: []uint32{2},
			Brittle: []uint32{hash}, BrittleBears: []uint32{1 << 31}, BrittleAgeMs: []uint32{1}, Marks: marks, PartMarks: parts, Ask: 8, ProofMs: &proof, Alive: []byte{1, 2, 3, 4},
			Rollouts: []*gossippb.Rollout{{Service: 1, Order: 2, Arms: []*gossippb.RolloutArm{{Route: 1, Answered: 2, Durations: make([]uint32, 200)}}}}}},
		"line":   {Digest: &gossippb.Digest{Line: 1 << 31, Lines: 1 << 30, Singles: []byte{1, 2, 3}, Replica: []uint32{hash}, Running: []uint32{1 << 31}}},
		"record": {Origin: &gossippb.StreamOrigin{Stream: 12, Version: "v1"}},
		"query":  {OriginQuery: &gossippb.OriginQuery{Number: 1, Stream: 12, Service: "s"}},
		"fetch":  {OriginQuery: &gossippb.OriginQuery{}},
		"reply":  {OriginReply: &gossippb.OriginReply{Number: 1, Source: 77, Version: "v1", Several: true}},
		"borrow": {RetryQuery: &gossippb.RetryQuery{Number: 1, Service: 3, Wanted: 1 << 31}},
		"loan":   {RetryLoan: &gossippb.RetryLoan{Number: 1, Loan: 2, Amount: 1 << 31}},
		"settle": {RetrySettlement: &gossippb.RetrySettlement{Loan: 2, Used: 1 << 31}},
	}
}

// Guards against datagrams, damaged or of any sender, that end a router or stop it from choosing
// replicas.
func FuzzDatagram(f *testing.F) {
	for _, d := range handedOver() {
		packet, err := proto.Marshal(d)
		require.NoError(f, err)
		f.Add(packet)
		f.Add(packet[:len(packet)/2])
	}
	r := knowing(f)
	f.Fuzz(func(t *testing.T, packet []byte) {
		r.expect(1, nobody)
		r.gossip.handleDatagram(nobody, packet)
		now := steady.Now()
		if _, found := r.balancer.Pick(balance.Request{Service: "s"}, now); !found {
			for _, rest := range r.watcher.Statements().Rests(maxHelloRests, now) {
				require.True(t, rest.Until.After(now), rest.ID)
			}
		}
		r.gossip.digests(now, false)
		r.gossip.digests(now, true)
		r.gossip.Origins().Find("s", 12, now)
		r.forgetMembers(now)
	})
}

// forgetMembers lets all members have been silent for long.
func (r *router) forgetMembers(now time.Time) {
	const long = 24 * time.Hour
	r.gossip.mu.Lock()
	defer r.gossip.mu.Unlock()
	r.gossip.members.Expire(now.Add(long))
}

// Guards against knowledge of another router that ends this one or replaces what it knows by a part.
func FuzzKnowledge(f *testing.F) {
	list, err := pack(&directory.Listing{Replicas: replicas("a", "c")})
	require.NoError(f, err)
	configuration, err := pack(config(4))
	require.NoError(f, err)
	facts, err := pack(&directory.Facts{Replicas: []directory.Fact{{ID: "a", Gone: true}}, Left: time.Second})
	require.NoError(f, err)
	proof := uint32(3)
	for _, reply := range []*gossippb.KnowledgeReply{
		{Version: 4, Mark: 8, ProofMs: &proof, Configuration: configuration, Replicas: list, ListRevision: 3, Part: []uint64{1}, Holder: []uint32{2}},
		{Version: 4, Mark: 8, ProofMs: &proof, Replicas: list, Since: 2, Removed: []string{"b"}},
		{Version: 4, Mark: 8, ProofMs: &proof, Replicas: list, Parts: 64, Differ: []uint32{1, 1 << 31}},
		{Version: 4, ProofMs: &proof, Facts: facts, Generation: 2},
		{Version: 4, ProofMs: &proof, Configuration: configuration[:len(configuration)/2]},
	} {
		text, err := proto.Marshal(reply)
		require.NoError(f, err)
		f.Add(text)
	}
	r := knowing(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		var reply gossippb.KnowledgeReply
		if proto.Unmarshal(text, &reply) != nil {
			return
		}
		now := steady.Now()
		k, err := decodeKnowledge(&reply, r.watcher.KnowledgeRequest(true))
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		r.watcher.ApplyKnowledge(k, now, now.Add(-milliseconds(reply.GetProofMs())), nobody.String())
		r.balancer.MergeHolders(decodeHolders(reply.Part, reply.Holder), now)
		r.balancer.Pick(balance.Request{Service: "s"}, now)
		_, err = r.gossip.Knowledge(context.Background(), &gossippb.KnowledgeRequest{Mark: 1})
		require.NoError(t, err)
	})
}

// Guards against messages that are dropped without a trace.
func TestDamagedDatagramsAreCounted(t *testing.T) {
	r := knowing(t)
	rejected := uint64(0)
	for name, d := range handedOver() {
		packet, err := proto.Marshal(d)
		require.NoError(t, err)
		r.expect(1, nobody)
		r.gossip.handleDatagram(nobody, packet)
		assert.Equal(t, rejected, r.gossip.RejectedMessages(), "%s, whole", name)
		r.gossip.handleDatagram(nobody, packet[:len(packet)-1])
		rejected++
		assert.Equal(t, rejected, r.gossip.RejectedMessages(), "%s, cut short", name)
	}
	laterMessage := protowire.AppendTag(nil, 1000, protowire.VarintType)
	r.gossip.handleDatagram(nobody, protowire.AppendVarint(laterMessage, 1))
	assert.Equal(t, rejected+1, r.gossip.RejectedMessages(), "a message of a later build")
}

// Guards against an answer of which a part is taken though it is damaged: columns of unequal length do
// not tell what belongs together.
func TestAnswersAreTakenWholeOrNotAtAll(t *testing.T) {
	for name, damage := range map[string]func(r *gossippb.Freshness){
		"rests without times":             func(r *gossippb.Freshness) { r.RestLeftMs = r.RestLeftMs[:1] },
		"times without rests":             func(r *gossippb.Freshness) { r.Resting = nil },
		"brittle services without times":  func(r *gossippb.Freshness) { r.BrittleLeftMs = nil },
		"rejections without services":     func(r *gossippb.Freshness) { r.Brittle = r.Brittle[:1] },
		"members without times":           func(r *gossippb.Freshness) { r.HeardMs = nil },
		"crashes without replicas":        func(r *gossippb.Freshness) { r.Marks.Replica = nil },
		"crashes without times":           func(r *gossippb.Freshness) { r.PartMarks.CrashedAgeMs = nil },
		"answers without times":           func(r *gossippb.Freshness) { r.Marks.ServedAgeMs = nil },
		"a digest of another size":        func(r *gossippb.Freshness) { r.Marks.Crashed[0] = r.Marks.Crashed[0][:8] },
		"a served digest of another size": func(r *gossippb.Freshness) { r.Marks.Served[0] = nil },
		"organisations of some crashes": func(r *gossippb.Freshness) {
			r.PartMarks.Organisation = append(r.PartMarks.Organisation, 1)
			r.PartMarks.Shared = append(r.PartMarks.Shared, true)
		},
		"organisations alone": func(r *gossippb.Freshness) { r.PartMarks.Shared = nil },
	} {
		t.Run(name, func(t *testing.T) {
			r := knowing(t)
			message := handedOver()["answer"]
			damage(message.Answer)
			packet, err := proto.Marshal(message)
			require.NoError(t, err)
			r.expect(1, nobody)
			r.gossip.handleDatagram(nobody, packet)
			assert.EqualValues(t, 1, r.gossip.RejectedMessages())
			now := steady.Now()
			assert.Empty(t, r.watcher.Statements().Rests(maxHelloRests, now))
			assert.Empty(t, r.balancer.BrittleServices(now))
			assert.Empty(t, r.gossip.poison.Sample(maxHelloMarks))
			assert.Empty(t, r.gossip.parts.Sample(maxHelloParts))
			assert.Equal(t, 1, r.gossip.MemberCount())
		})
	}
	r := knowing(t)
	packet, err := proto.Marshal(handedOver()["answer"])
	require.NoError(t, err)
	r.expect(1, nobody)
	r.gossip.handleDatagram(nobody, packet)
	assert.NotEmpty(t, r.watcher.Statements().Rests(maxHelloRests, steady.Now()), "whole")
	assert.NotEmpty(t, r.gossip.poison.Sample(maxHelloMarks), "whole")
	assert.Zero(t, r.gossip.RejectedMessages())
}

// Guards against marks whose organisations are told as those of other marks, since some have none.
func TestMarksWithAndWithoutOrganisationRoundTrip(t *testing.T) {
	now := steady.Now()
	marks := []poison.Mark{
		{Digest: poison.Digest{1}, Replica: 1, At: now},
		{Digest: poison.Digest{2}, Served: true, Organisation: 5, At: now},
		{Digest: poison.Digest{3}, Replica: 3, Organisation: 7, Shared: true, At: now},
	}
	message := &gossippb.Digest{PartMarks: encodeMarks(marks, now)}
	require.NoError(t, checkMarks(message))
	decoded := decodeMarks(message.PartMarks, now)
	require.Len(t, decoded, len(marks))
	assert.Equal(t, []poison.Mark{marks[0], marks[2], {Digest: poison.Digest{2}, Served: true, At: now}}, decoded)
}

// Guards against answers that are taken for those of a router that was asked, though another one sent
// them: what they tell counts as of the time of the query, the proof of the configuration too.
func TestAnswerOfAnotherSenderIsIgnored(t *testing.T) {
	r := knowing(t)
	packet, err := proto.Marshal(handedOver()["answer"])
	require.NoError(t, err)
	r.expect(1, nobody)
	r.gossip.handleDatagram(netip.MustParseAddrPort("127.0.0.1:10"), packet)
	assert.Empty(t, r.watcher.Statements().Rests(maxHelloRests, steady.Now()))
	assert.EqualValues(t, 1, r.gossip.RejectedMessages())
	r.gossip.handleDatagram(nobody, packet)
	assert.NotEmpty(t, r.watcher.Statements().Rests(maxHelloRests, steady.Now()), "the router that was asked answers later")
	r.gossip.handleDatagram(nobody, packet)
	assert.EqualValues(t, 1, r.gossip.RejectedMessages(), "an answer that comes twice or late is none of another sender")
}

// Guards against answers to the process that ran at this address before, which are taken for answers to
// the first queries of this one.
func TestQueriesOfTwoProcessesHaveOtherNumbers(t *testing.T) {
	numbers := make(map[uint32]bool)
	const processes = 4
	for range processes {
		numbers[knowing(t).gossip.addQuery(query{address: nobody.String(), at: steady.Now()})] = true
	}
	assert.Len(t, numbers, processes)
}

// Guards against a datagram that is larger than any that routers send, and of which a part is taken.
func TestTooLargeDatagramIsIgnored(t *testing.T) {
	r, sender := knowing(t), newIdleRouter(t, &source{})
	message := handedOver()["digest"]
	// One more kilobyte is still sent by the system.
	const member, larger = "127.0.0.1:9", peer.MaxDatagram + 1<<10
	for range larger / (len(member) + 2) {
		message.Digest.Member = append(message.Digest.Member, member)
	}
	packet, err := proto.Marshal(message)
	require.NoError(t, err)
	require.Greater(t, len(packet), peer.MaxDatagram)
	to, err := netip.ParseAddrPort(r.gossip.Address())
	require.NoError(t, err)
	require.NoError(t, sender.gossip.datagrams.Send(to, packet))
	waitUntil(t, func() bool { return r.gossip.RejectedMessages() == 1 })
	assert.Equal(t, 1, r.gossip.MemberCount())
	assert.Empty(t, r.gossip.poison.Sample(maxHelloMarks))
}
