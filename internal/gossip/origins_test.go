package gossip

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/pkg/origin"
)

// awaitRecord waits until a router other than the one at which a stream began has the record of it.
func awaitRecord(t *testing.T, fleet []*router, began *router, k origin.Key) {
	t.Helper()
	waitUntil(t, func() bool {
		return slices.ContainsFunc(fleet, func(r *router) bool {
			return r != began && r.gossip.Origins().Find("s", k, time.Now()).Source == origin.Recorded
		})
	})
}

// awaitFetches waits until a router fetches no more records of streams, and another one has handled all
// of its requests for them: datagrams of one router are handled in turn.
func (r *router) awaitFetches(t *testing.T, other *router) {
	t.Helper()
	waitUntil(t, func() bool {
		r.gossip.mu.Lock()
		defer r.gossip.mu.Unlock()
		return r.gossip.fetches == maxFetches || r.gossip.members.Large()
	})
	r.awaitRound(t)
	address := other.gossip.Address()
	number, replies := r.gossip.originQueries.add(address)
	defer r.gossip.originQueries.remove(number)
	query := encodeDatagram(&gossippb.Datagram{OriginQuery: &gossippb.OriginQuery{Number: number, Service: "none"}})
	waitUntil(t, func() bool {
		r.gossip.send(address, query)
		return len(replies) > 0
	})
}

// A stream is taken up at a router that never saw it, and after the one that did was killed.
func TestOriginIsFoundAtAnyRouter(t *testing.T) {
	// What is tested is who is asked, not how soon answers come on a busy machine.
	const patience = 3 * time.Second
	for _, routers := range []int{2, 6, 2 * maxPartners} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := largeFleet(t, routers)
			for _, r := range fleet {
				r.gossip.originWait = originWait{patience, patience}
				r.awaitMembers(t, len(fleet))
			}
			const streams = 50
			for n := range streams {
				r := fleet[n%len(fleet)]
				r.gossip.Origins().Observe("s", []string{"v1", "v2"}, true, time.Now())
				r.gossip.Origins().RecordOrigin("s", origin.KeyOf("s", fmt.Sprint(n)), fmt.Sprint("v", 1+n%2))
			}
			// Records are on their way for some time, which is not what is tested.
			for n := range streams {
				awaitRecord(t, fleet, fleet[n%len(fleet)], origin.KeyOf("s", fmt.Sprint(n)))
			}
			found := func(at *router, n int) bool {
				f := at.gossip.Origins().FindOrigin(context.Background(), "s", origin.KeyOf("s", fmt.Sprint(n)))
				assert.NotEqual(t, fmt.Sprint("v", 2-n%2), f.Version)
				return f.Source == origin.Recorded
			}
			for n := range streams {
				assert.True(t, found(fleet[(n+1)%len(fleet)], n), "%d", n)
			}
			if routers == 2 {
				return
			}
			if routers <= maxPartners {
				for n := range streams {
					for _, r := range fleet {
						waitUntil(t, func() bool {
							return r.gossip.Origins().Find("s", origin.KeyOf("s", fmt.Sprint(n)), time.Now()).Source == origin.Recorded
						})
					}
				}
			}
			fleet[0].gossip.stop()
			for n := 0; n < streams; n += len(fleet) {
				assert.True(t, found(fleet[1], n), "%d, began at the router that was stopped", n)
			}
			f := fleet[1].gossip.Origins().FindOrigin(context.Background(), "s", origin.KeyOf("s", "unknown"))
			assert.Equal(t, origin.Finding{Several: true}, f.Finding)
		})
	}
}

// Guards against streams that began while one version served and do not go on once another joined
// and their router was lost: other routers had no record of them.
func TestRecordsAreSharedWhenAnotherVersionJoins(t *testing.T) {
	for _, routers := range []int{3, 2 * maxPartners} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := largeFleet(t, routers)
			for _, r := range fleet {
				r.awaitMembers(t, len(fleet))
			}
			for _, r := range fleet[1:] {
				r.awaitFetches(t, fleet[0])
			}
			first := fleet[0].gossip.Origins()
			holders := func(service string, key origin.Key) (count int) {
				for _, r := range fleet {
					if r.gossip.Origins().Find(service, key, time.Now()).Source == origin.Recorded {
						count++
					}
				}
				return count
			}
			// A datagram may be lost, so several services are tried.
			shared := func(n int) bool {
				service := fmt.Sprint("s", n)
				key := origin.KeyOf(service, "a")
				first.Recall(service, nil, time.Now())
				first.Observe(service, []string{"v1"}, true, time.Now())
				first.RecordOrigin(service, key, "v1")
				assert.Equal(t, 1, holders(service, key), "nobody else needs it yet")
				first.Observe(service, []string{"v1", "v2"}, true, time.Now())
				for range 100 {
					if holders(service, key) > originHolders {
						return true
					}
					time.Sleep(time.Millisecond)
				}
				return false
			}
			n := 0
			waitUntil(t, func() bool {
				n++
				return shared(n)
			})
		})
	}
}

// Guards against records that are lost although routers are replaced one after another.
func TestStartingRouterFetchesRecords(t *testing.T) {
	fleet := largeFleet(t, 2)
	for _, r := range fleet {
		r.awaitMembers(t, 2)
	}
	const streams = 200
	for n := range streams {
		fleet[0].gossip.options.Origins.Record(origin.Key(n), "v1", true, time.Now())
	}
	fetch := func() {
		fleet[1].gossip.mu.Lock()
		fleet[1].gossip.fetches = 0
		fleet[1].gossip.mu.Unlock()
	}
	waitUntil(t, func() bool {
		fetch()
		return fleet[1].gossip.Origins().Len() == streams
	})
}

// A reply to no query, from a router that was not asked, or with a source that does not exist
// is no finding.
func TestOnlyAskedRoutersAnswerOrigins(t *testing.T) {
	var q originQueries
	number, replies := q.add("a:1")
	assert.NoError(t, q.reply("a:1", &gossippb.OriginReply{Number: number + 1, Source: 2}))
	assert.NoError(t, q.reply("a:1", &gossippb.OriginReply{Number: number, Source: 3}))
	assert.ErrorIs(t, q.reply("b:1", &gossippb.OriginReply{Number: number, Source: 2}), errNotAsked)
	assert.Empty(t, replies)
	for range 4 {
		assert.NoError(t, q.reply("a:1", &gossippb.OriginReply{Number: number, Source: 2}))
	}
	assert.Len(t, replies, 2)
	q.remove(number)
	assert.NoError(t, q.reply("a:1", &gossippb.OriginReply{Number: number, Source: 2}))
	assert.Len(t, replies, 2)
}

// Messages about origins as the first build with them writes them.
func TestOriginMessagesOfEarlierBuilds(t *testing.T) {
	var record, query, reply gossippb.Datagram
	readMessage(t, "origins", "record", &record)
	readMessage(t, "origins", "query", &query)
	readMessage(t, "origins", "reply", &reply)
	assert.True(t, proto.Equal(&gossippb.StreamOrigin{Stream: 77, Version: "v2"}, record.Origin))
	assert.True(t, proto.Equal(&gossippb.OriginQuery{Number: 5, Stream: 77, Service: "llm"}, query.OriginQuery))
	assert.True(t, proto.Equal(&gossippb.OriginReply{Number: 5, Source: uint32(origin.Recorded), Version: "v2", Several: true}, reply.OriginReply))
}
