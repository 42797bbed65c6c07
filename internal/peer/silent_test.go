package peer

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/peer/peerpb"
)

// newRelay stands before a server that answers digests.
func newRelay(t *testing.T) *faulty.Relay {
	t.Helper()
	address, _ := listen(t, Handler{Exchange: func(*peerpb.Digest) *peerpb.DigestReply { return &peerpb.DigestReply{Version: 4} }})
	relay, err := faulty.NewRelay(address)
	require.NoError(t, err)
	t.Cleanup(relay.Close)
	return relay
}

// exchange makes one call with a bound and returns on how many connections it was
// tried.
func exchange(client *Client, address string, b Bound) (tried int, err error) {
	err = client.Control(context.Background(), address, b, func(ctx context.Context, conn drpc.Conn) error {
		tried++
		_, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx, &peerpb.Digest{})
		return err
	})
	return tried, err
}

// fill leaves some connections to an address in the pool.
func fill(t *testing.T, client *Client, address string, n int) {
	t.Helper()
	begun, let := make(chan struct{}), make(chan struct{})
	errs := make(chan error, n)
	for range n {
		go func() {
			errs <- client.Control(context.Background(), address, Bound{Call: time.Minute}, func(ctx context.Context, conn drpc.Conn) error {
				begun <- struct{}{}
				<-let
				_, err := peerpb.NewDRPCPeerClient(conn).Exchange(ctx, &peerpb.Digest{})
				return err
			})
		}()
	}
	for range n {
		<-begun
	}
	close(let)
	for range n {
		require.NoError(t, <-errs)
	}
}

func TestACallOnASilentConnectionIsMadeOnceMoreOnANewOne(t *testing.T) {
	relay := newRelay(t)
	client := newTestClient(t)
	fill(t, client, relay.Address(), 3)
	require.Equal(t, 3, relay.Opened())
	relay.Silence()

	tried, err := exchange(client, relay.Address(), Bound{Call: 5 * time.Second, Kept: 50 * time.Millisecond})
	require.NoError(t, err)
	assert.Equal(t, 2, tried, "kept connections go silent together: not each is tried")
	tried, err = exchange(client, relay.Address(), Bound{Call: 5 * time.Second})
	require.NoError(t, err)
	assert.Equal(t, 1, tried)
	assert.Equal(t, 4, relay.Opened(), "the new one is kept")
}

func TestWithoutABoundForKeptConnectionsACallIsMadeOnce(t *testing.T) {
	relay := newRelay(t)
	client := newTestClient(t)
	fill(t, client, relay.Address(), 2)
	relay.Silence()

	tried, err := exchange(client, relay.Address(), Bound{Call: 10 * time.Millisecond})
	assert.ErrorIs(t, err, ErrBroken)
	assert.Equal(t, 1, tried)
	tried, err = exchange(client, relay.Address(), Bound{Call: 5 * time.Second})
	require.NoError(t, err)
	assert.Equal(t, 1, tried)
	assert.Equal(t, 3, relay.Opened())
}

func TestARequestThatWasGivenUpIsNotHandedOnLater(t *testing.T) {
	other, err := faulty.NewNarrow()
	require.NoError(t, err)
	defer other.Close()
	ctx, giveUp := context.WithCancel(t.Context())
	go func() {
		other.Begun()
		giveUp()
	}()
	client := NewClient(&Meter{})
	defer client.Close()
	request := &peerpb.ForwardRequest{Body: make([]byte, 1<<17)}
	err = client.Forward(ctx, other.Address(), request, func(*peerpb.ForwardEvent) error { return nil })
	require.ErrorIs(t, err, ErrBroken)
	assert.ErrorIs(t, other.Rest(), syscall.ECONNRESET)
}
