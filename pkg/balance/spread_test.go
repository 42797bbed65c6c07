package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// fleetWithFullHome returns a router of a large fleet whose twelve engines are idle,
// except that the home of a session runs far more than its bound.
func fleetWithFullHome(t *testing.T) (b *Balancer, home string) {
	t.Helper()
	b = newBalancer(engines(12))
	b.SetLargeFleet(true)
	home = pick(t, b, prompt(5), start).Replica.ID
	for range 20 {
		b.RequestStarted(home)
	}
	return b, home
}

// countChosen returns how many engines a session is sent to.
func countChosen(t *testing.T, b *Balancer, now time.Time) int {
	t.Helper()
	seen := make(map[string]bool)
	for range 100 {
		seen[pick(t, b, prompt(5), now).Replica.ID] = true
	}
	return len(seen)
}

func TestSessionWithFullHomeIsSpread(t *testing.T) {
	b, home := fleetWithFullHome(t)
	pick(t, b, prompt(5), start)
	for range 20 {
		b.RequestFinished(home)
	}
	// Twenty requests at twelve engines make a bound of 4.6, which leaves 15.4 above it:
	// six more homes at half a bound each.
	assert.Equal(t, 7, countChosen(t, b, start.Add(spreadLifetime-1)), "though the home is idle again")
	assert.Equal(t, 1, countChosen(t, b, start.Add(spreadLifetime)))
	assert.Equal(t, home, pick(t, b, prompt(5), start.Add(spreadLifetime)).Replica.ID)
}

func TestHotPartsAreGossiped(t *testing.T) {
	b, _ := fleetWithFullHome(t)
	pick(t, b, prompt(5), start)
	pick(t, b, prompt(5), start)
	told := b.TakePeerUpdate(start)
	require.Equal(t, []HotPart{{Part: 1005, Homes: 7, At: start}}, told.Hot)
	assert.Empty(t, b.TakePeerUpdate(start).Hot, "sent only once")

	other := newBalancer(engines(12))
	other.SetLargeFleet(true)
	other.MergePeer("b", PeerUpdate{Rumors: told.Rumors}, start.Add(time.Second))
	assert.Equal(t, told.Hot, other.TakePeerUpdate(start).Hot, "forwarded")
	other.MergePeer("c", PeerUpdate{Rumors: told.Rumors}, start.Add(time.Second))
	assert.Empty(t, other.TakePeerUpdate(start).Hot, "sent only once")
	assert.Equal(t, 7, countChosen(t, other, start.Add(time.Second)))
	assert.Equal(t, 1, countChosen(t, other, start.Add(spreadLifetime)), "expires from the time it was observed")
	other.MergePeer("c", PeerUpdate{Rumors: told.Rumors}, start.Add(spreadLifetime))
	assert.Empty(t, other.TakePeerUpdate(start).Hot, "expired hot parts are not forwarded")

	many := HotPart{Part: 1005, Homes: 1 << 30, At: start}
	other.MergePeer("c", PeerUpdate{Rumors: Rumors{Hot: []HotPart{many}}}, start)
	assert.Equal(t, maxHomes, countChosen(t, other, start), "as many as a part may have")
}

func TestSessionIsNotSpread(t *testing.T) {
	t.Run("in a small fleet, where all know at once", func(t *testing.T) {
		b, _ := fleetWithFullHome(t)
		b.SetLargeFleet(false)
		assert.Equal(t, 1, countChosen(t, b, start))
		assert.Empty(t, b.TakePeerUpdate(start).Hot)
	})
	t.Run("without it", func(t *testing.T) {
		b, _ := fleetWithFullHome(t)
		b.DisableMechanisms(mechanism.Set(mechanism.Spread))
		assert.Equal(t, 1, countChosen(t, b, start))
	})
}

// More hot parts are seen than can be sent, and some of them are sent.
func TestGossipedHotPartsAreBounded(t *testing.T) {
	b, _ := fleetWithFullHome(t)
	for part := range uint64(5 * maxPendingLarge) {
		b.MergePeer("a", PeerUpdate{Rumors: Rumors{Hot: []HotPart{{Part: part, Homes: 2, At: start}}}}, start)
	}
	assert.Len(t, b.TakePeerUpdate(start).Hot, maxPendingLarge)
}
