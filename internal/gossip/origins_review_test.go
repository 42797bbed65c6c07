package gossip

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
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
	first, _ := before.add(1)
	second, replies := after.add(1)
	after.reply("127.0.0.1:9", &gossippb.OriginReply{Number: first, Source: uint32(origin.Recorded), Version: "v1"})
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
