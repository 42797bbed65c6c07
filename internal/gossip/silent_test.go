package gossip

import (
	"context"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/gossip/gossippb"
)

func TestExchangeSurvivesSilentConnection(t *testing.T) {
	receiver, sender := newIdleRouter(t, &source{}), newIdleRouter(t, &source{})
	relay, err := faulty.NewRelay(receiver.gossip.Address())
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	sender.gossip.exchange(context.Background(), relay.Address(), &gossippb.Digest{Sender: "10.0.0.1:1"})
	require.Equal(t, 2, receiver.gossip.MemberCount())
	relay.Silence()

	sender.gossip.exchange(context.Background(), relay.Address(), &gossippb.Digest{Sender: "10.0.0.2:1"})
	assert.Equal(t, 3, receiver.gossip.MemberCount(), "a digest's rumors are sent once and must not be lost")
	assert.Equal(t, 2, relay.Opened())
}
