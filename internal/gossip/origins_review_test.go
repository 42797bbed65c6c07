package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/origin"
)

// Guards against an answer of a router whose list is old: it has not seen that a version left long ago
// and was removed from the record, and confirms it as it returns.
func TestRouterWithAnOldListConfirmsNoVersion(t *testing.T) {
	fleet := servedFleet(t, 2, "v1", "v2")
	stale, asking := fleet[0].gossip.Origins(), fleet[1].gossip.Origins()
	stale.SetConfirmed("s", []string{"v1", "v2"}, 0)
	stale.Observe("s", []string{"v1", "v2"}, false, steady.Now())
	asking.Observe("s", []string{"v2"}, true, steady.Now())
	asking.Observe("s", []string{"v1", "v2"}, true, steady.Now())
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		step(fleet...)
	}
	assert.NotContains(t, fleet[1].confirmed(), "v1", "the router that answered has an old list")
}

// Guards against answers to the process that ran at this address before, which are taken for answers to
// queries of this one: a stream would go on where another one began.
func TestOriginQueriesOfTwoProcessesHaveOtherNumbers(t *testing.T) {
	var before, after originQueries
	first, _ := before.add(nobody.String())
	second, replies := after.add(nobody.String())
	assert.NoError(t, after.reply(nobody.String(), &gossippb.OriginReply{Number: first, Source: uint32(origin.Recorded), Version: "v1"}))
	assert.NotEqual(t, first, second)
	assert.Empty(t, replies)
}

// Guards against the same for what a record names.
func TestServedQueriesOfTwoProcessesHaveOtherNumbers(t *testing.T) {
	numbers := make(map[uint32]bool)
	for range 2 {
		r := newIdleRouter(t, &source{})
		r.gossip.Origins().Observe("s", []string{"v1"}, true, steady.Now())
		number, _ := openTo(r, "127.0.0.1:9")
		numbers[number] = true
	}
	assert.Len(t, numbers, 2)
}

// Guards against records of senders that are no members: the first one of a stream holds.
func TestRecordOfAStrangerIsIgnored(t *testing.T) {
	fleet := servedFleet(t, 2, "v1", "v2")
	key := origin.KeyOf("s", "a")
	packet, err := proto.Marshal(&gossippb.Datagram{Origin: &gossippb.StreamOrigin{Stream: uint64(key), Version: "v2"}})
	require.NoError(t, err)
	fleet[0].gossip.handleDatagram(netip.MustParseAddrPort("127.0.0.1:9"), packet)
	fleet[0].gossip.Origins().RecordOrigin("s", key, "v1")
	f := fleet[0].gossip.Origins().FindOrigin(context.Background(), "s", key)
	assert.Equal(t, "v1", f.Version)
}

// Guards against streams that go on at the only version that this router has seen, while a list that
// is some seconds old lacks another one and no router that was asked answers.
func TestNoAnswerAndAListOfSecondsInferNoVersion(t *testing.T) {
	fleet := largeFleet(t, 2)
	for _, r := range fleet {
		r.awaitMembers(t, 2)
	}
	o := fleet[0].gossip.Origins()
	o.Recall("s", []string{"v1"}, steady.Now())
	o.Observe("s", []string{"v1"}, true, steady.Now())
	fleet[1].gossip.Origins().Observe("s", []string{"v1", "v2"}, true, steady.Now())
	fleet[1].gossip.datagrams.Close()
	f := o.FindOrigin(context.Background(), "s", origin.KeyOf("s", "began at v2"))
	t.Logf("%+v", f)
	assert.Equal(t, origin.Unknown, f.Source, "asked %d, answered %d", f.Asked, f.Answered)
}

// Guards against streams of a single version that do not go on where no router answers, since the others
// ended or are of a build that does not, and against those that go on by a list of before.
func TestNoAnswerNeedsAListThatIsReadNow(t *testing.T) {
	listed := func(versions ...string) (list []directory.Replica) {
		for _, version := range versions {
			list = append(list, directory.Replica{ID: version, Service: "s", Address: version + ":1", Version: version})
		}
		return list
	}
	for name, test := range map[string]struct {
		listed []directory.Replica
		away   bool
		want   origin.Finding
	}{
		"a single version":        {listed("v1"), false, origin.Finding{Source: origin.Inferred, Version: "v1"}},
		"another one has joined":  {listed("v1", "v2"), false, origin.Finding{Several: true}},
		"another one replaced it": {listed("v2"), false, origin.Finding{Several: true}},
		"the store is away":       {listed("v1"), true, origin.Finding{}},
	} {
		for _, routers := range []int{1, 2} {
			t.Run(fmt.Sprint(name, ", ", routers), func(t *testing.T) {
				fleet := largeFleet(t, routers)
				for _, r := range fleet {
					waitUntil(t, func() bool { return r.gossip.MemberCount() == routers })
				}
				r := fleet[0]
				if !test.away {
					// What is tested is what the list says, not how soon it is read on a busy machine.
					r.gossip.originListWait = time.Minute
				}
				r.watcher.ApplySnapshot(watch.Snapshot{Config: config(3), Replicas: listed("v1")}, steady.Now().Add(-time.Second))
				r.source.mu.Lock()
				r.source.snapshot = watch.Snapshot{Config: config(3), Replicas: test.listed}
				if !test.away {
					r.source.err = nil
				}
				r.source.mu.Unlock()
				go r.watcher.Run(t.Context())
				o := r.gossip.Origins()
				o.Recall("s", []string{"v1"}, steady.Now())
				o.Observe("s", []string{"v1"}, true, steady.Now())
				for _, other := range fleet[1:] {
					other.gossip.datagrams.Close()
				}
				f := o.FindOrigin(t.Context(), "s", origin.KeyOf("s", "a"))
				assert.Equal(t, origin.Search{Finding: test.want, Asked: routers - 1}, f)
			})
		}
	}
}
