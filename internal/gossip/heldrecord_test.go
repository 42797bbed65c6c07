package gossip

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/gossip/gossippb"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/poison"
)

// heldFleet starts routers whose stale reads found no record, sorted by their rank in keeping it.
func heldFleet(t *testing.T, routers int) []*router {
	t.Helper()
	fleet := largeFleet(t, routers)
	for _, r := range fleet {
		r.awaitMembers(t, routers)
		r.gossip.options.Held.Started()
		r.gossip.options.Held.LoadedStale(poison.Record{}, steady.Now())
	}
	slices.SortFunc(fleet, func(a, b *router) int { return a.gossip.HeldRank() - b.gossip.HeldRank() })
	return fleet
}

// awaitVerified waits until a router knows that it has read a revision, reading anew when another one is stated.
func (r *router) awaitVerified(t *testing.T, revision uint64) {
	t.Helper()
	waitUntil(t, func() bool {
		r.gossip.AskHeldRevision()
		r.gossip.options.Held.LoadedStale(poison.Record{Revision: revision}, steady.Now())
		got, verified := r.gossip.options.Held.Verified()
		return verified && got == revision
	})
}

// Guards against a record that only the router knows which read it as it is, also if the first one by rank is
// lost or of a build that does not answer.
func TestRoutersLearnTheRevisionOfTheRecord(t *testing.T) {
	for _, routers := range []int{2, 6, 2 * maxPartners} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			fleet := heldFleet(t, routers)
			reader := fleet[min(1, routers-2)]
			reader.gossip.options.Held.Loaded(poison.Record{Revision: 7}, steady.Now())
			for _, r := range fleet {
				r.awaitVerified(t, 7)
			}
		})
	}
}

func TestHeldRepliesThatAreIgnored(t *testing.T) {
	const asked = "127.0.0.1:9"
	for name, test := range map[string]struct {
		from string
		// skew is added to the number of the query.
		skew     uint32
		verified bool
	}{
		"an answer":             {asked, 0, true},
		"of a router not asked": {"127.0.0.1:10", 0, false},
		"to no query":           {asked, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newIdleRouter(t, &source{})
			held := r.gossip.options.Held
			held.Started()
			held.LoadedStale(poison.Record{}, steady.Now())
			number, _ := r.gossip.heldQuery.open([]string{asked})
			r.gossip.receiveHeld(test.from, &gossippb.HeldReply{Number: number + test.skew})
			_, verified := held.Verified()
			assert.Equal(t, test.verified, verified)
			assert.Equal(t, !test.verified, r.gossip.heldQuery.answered(asked, number))
		})
	}
}

// Guards against answers of routers that do not know the record, and against answers to others than members.
func TestHeldQueriesThatAreIgnored(t *testing.T) {
	for name, test := range map[string]struct {
		member, verified, answered bool
	}{
		"of a member":                   {true, true, true},
		"of a foreign one":              {false, true, false},
		"at one that has read it stale": {true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			fleet := heldFleet(t, 2)
			answerer, asking := fleet[0], fleet[1]
			if test.verified {
				answerer.gossip.options.Held.Loaded(poison.Record{}, steady.Now())
			}
			number, _ := asking.gossip.heldQuery.open([]string{answerer.gossip.Address()})
			from := asking.gossip.Address()
			if !test.member {
				from = "127.0.0.1:9"
			}
			answerer.gossip.answerHeldQuery(from, &gossippb.HeldQuery{Number: number})
			answered := func() bool {
				_, verified := asking.gossip.options.Held.Verified()
				return verified
			}
			if test.answered {
				waitUntil(t, answered)
				return
			}
			time.Sleep(20 * time.Millisecond)
			assert.False(t, answered())
		})
	}
}

// Guards against a change of the wire format: the files are what the first build with these messages
// wrote.
func TestHeldMessagesOfEarlierBuilds(t *testing.T) {
	var query, reply gossippb.Datagram
	readMessage(t, "held", "query", &query)
	readMessage(t, "held", "reply", &reply)
	assert.True(t, proto.Equal(&gossippb.HeldQuery{Number: 5}, query.HeldQuery))
	assert.True(t, proto.Equal(&gossippb.HeldReply{Number: 5, Revision: 7}, reply.HeldReply))
}
