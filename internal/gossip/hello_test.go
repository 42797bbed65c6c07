package gossip

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

// newHourlyRouter returns an idle router whose rounds are an hour apart.
func newHourlyRouter(t *testing.T) *router {
	t.Helper()
	r := newIdleRouter(t, &source{})
	slow, err := Start(Options{Address: ownAddress(), Period: time.Hour}, r.watcher, r.balancer, event.Discard())
	require.NoError(t, err)
	t.Cleanup(slow.stop)
	r.gossip = slow
	return r
}

// Two routers without a data centre queried each other as fast as the network allowed.
func TestDatagramDoesNotCauseDatagramLoop(t *testing.T) {
	first, second := newHourlyRouter(t), newHourlyRouter(t)
	to, err := netip.ParseAddrPort(second.gossip.Address())
	require.NoError(t, err)
	const datagrams = 50
	for range datagrams {
		require.NoError(t, first.gossip.datagrams.Send(to, encodeDigest(&gossippb.Digest{AsksOnly: true})))
	}
	questions := func(r *router) int {
		r.gossip.mu.Lock()
		defer r.gossip.mu.Unlock()
		return int(r.gossip.lastQuery)
	}
	waitUntil(t, func() bool { return questions(second) > 0 && questions(first) > 0 })
	// All datagrams that one causes follow within milliseconds; without a bound there are
	// some 10,000.
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, 1, questions(second))
	assert.Equal(t, 1, questions(first))
}

func TestDatagramCannotNameOtherSender(t *testing.T) {
	first, second, victim := newIdleRouter(t, &source{}), newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	first.gossip.handleDatagram(netip.MustParseAddrPort(second.gossip.Address()),
		encodeDigest(&gossippb.Digest{AsksOnly: true, Sender: victim.gossip.Address(), Ask: 7, Hello: true}))
	first.gossip.mu.Lock()
	defer first.gossip.mu.Unlock()
	for _, row := range first.gossip.members.Rows(time.Now()) {
		assert.NotEqual(t, victim.gossip.Address(), row.Address)
	}
}
