package fleet

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Unix(1_800_000_000, 0)

func newTestView() *View {
	v := NewView()
	v.SetList([]Instance{{Name: "e1", State: StateLive}, {Name: "e2", State: StateLeaving}}, start)
	return v
}

func TestHealth(t *testing.T) {
	v := newTestView()
	assert.Equal(t, Live, v.Health("e1", start))
	assert.Equal(t, Departing, v.Health("e2", start))
	assert.Equal(t, Unknown, v.Health("e3", start))
	v.MarkLeaving("e1", start)
	assert.Equal(t, Departing, v.Health("e1", start), "seen leaving while the list still says live")
	assert.Equal(t, Live, v.Health("e1", start.Add(leavingFor)), "the correction expires")
}

func TestFlappingTargetBackoff(t *testing.T) {
	v := newTestView()
	now := start
	var aside []time.Duration
	for range 8 {
		v.MarkFailed("e1", now)
		from := now
		for v.Health("e1", now) == Suspect {
			now = now.Add(100 * time.Millisecond)
		}
		aside = append(aside, now.Sub(from))
	}
	assert.Equal(t, time.Second, aside[0])
	assert.Equal(t, 2*time.Second, aside[1])
	assert.Equal(t, maxSuspect, aside[7])
	later := now.Add(forgiveAfter + time.Second)
	v.MarkFailed("e1", later)
	assert.Equal(t, Live, v.Health("e1", later.Add(time.Second)), "earlier failures are forgotten")
}

func TestReturningTargetRampsUp(t *testing.T) {
	v := newTestView()
	assert.Equal(t, 1.0, v.RampFactor("e1", start))
	v.MarkFailed("e1", start)
	v.MarkReachable("e1", start.Add(500*time.Millisecond))
	assert.Equal(t, Live, v.Health("e1", start.Add(500*time.Millisecond)))
	assert.InDelta(t, 0.5, v.RampFactor("e1", start.Add(5500*time.Millisecond)), 0.01)
	assert.Equal(t, 1.0, v.RampFactor("e1", start.Add(time.Minute)))
}

func TestCorrectionsSurviveNewList(t *testing.T) {
	v := newTestView()
	v.MarkFailed("e1", start)
	v.SetList([]Instance{{Name: "e1", State: StateLive}}, start.Add(100*time.Millisecond))
	assert.Equal(t, Suspect, v.Health("e1", start.Add(200*time.Millisecond)))
	v.SetList(nil, start.Add(time.Hour))
	assert.Empty(t, v.corrections)
}

func TestPartnersReachEveryone(t *testing.T) {
	for n := 1; n <= 150; n++ {
		routers := make([]uint64, n)
		for i := range routers {
			routers[i] = uint64(i)*0x9e3779b97f4a7c15 + 1
		}
		// knows[b] holds the routers whose digest reached b, after one round of direct and
		// one of relayed digests.
		direct := make(map[uint64]map[uint64]bool)
		for _, r := range routers {
			direct[r] = map[uint64]bool{r: true}
		}
		for _, a := range routers {
			for _, b := range PartnersOf(a, routers).Direct {
				direct[b][a] = true
			}
		}
		knows := make(map[uint64]map[uint64]bool)
		for _, r := range routers {
			knows[r] = map[uint64]bool{}
			for known := range direct[r] {
				knows[r][known] = true
			}
		}
		most := 0
		for _, a := range routers {
			p := PartnersOf(a, routers)
			most = max(most, len(p.Direct)+len(p.Relayed))
			for _, b := range p.Relayed {
				for known := range direct[a] {
					knows[b][known] = true
				}
			}
		}
		for _, r := range routers {
			require.Len(t, knows[r], n, "of %d", n)
		}
		if n > maxFullMesh {
			assert.LessOrEqual(t, float64(most), 3*math.Sqrt(float64(n))+1, "%d partners of %d", most, n)
		}
	}
}

func digest(sender ID, sequence uint32, load, demand float64) Digest {
	return Digest{
		Sender: sender, Sequence: sequence,
		Loads:   []GroupLoad{{Group: sender, Load: load}},
		Demands: []Demand{{Organisation: 5, Rate: demand}},
	}
}

func TestDigestTable(t *testing.T) {
	b := NewDigestTable(9)
	assert.Equal(t, -1.0, b.OthersDemand(5))
	b.Put(digest(1, 2, 4, 10), start)
	b.Put(digest(1, 1, 7, 70), start) // overtaken
	b.Put(digest(9, 1, 7, 70), start) // own digest, returned
	b.Put(digest(2, 1, 3, 20), start)
	loads := []float64{-1, -1, -1}
	b.AddGroupLoads(map[ID]int{1: 0, 2: 1, 3: 2}, loads)
	assert.Equal(t, []float64{4, 3, -1}, loads)
	assert.Equal(t, 30.0, b.OthersDemand(5))
	b.DropStale(start.Add(StaleAfter + time.Second))
	assert.Zero(t, b.Len())
	assert.Equal(t, -1.0, b.OthersDemand(5), "a stale digest is dropped")
}

// Guards against a router that counts on those behind a cut as if it knew what they do.
func TestHeardPartners(t *testing.T) {
	for _, routers := range []int{3, 16, 100} {
		hashes := make([]uint64, routers)
		for i := range hashes {
			hashes[i] = uint64(i+1) << 32
		}
		partners := PartnersOf(hashes[0], hashes)
		b := NewDigestTable(ShortID(hashes[0]))
		assert.Zero(t, b.Heard(partners))
		b.Put(digest(1000, 1, 4, 0), start)
		assert.Zero(t, b.Heard(partners), "not a partner")
		for n, hash := range slices.Concat(partners.Direct, partners.Relayed) {
			d := digest(ShortID(hash), 1, 4, 0)
			d.Relayed = n >= len(partners.Direct)
			b.Put(d, start)
			assert.Equal(t, n+1, b.Heard(partners))
		}
		assert.Equal(t, partners.Len(), b.Heard(partners))
		b.DropStale(start.Add(StaleAfter + time.Second))
		assert.Zero(t, b.Heard(partners))
	}
}

func TestLoadsOfTwoOwnersAdded(t *testing.T) {
	b := NewDigestTable(9)
	first, second := digest(1, 1, 4, 0), digest(2, 1, 3, 0)
	second.Loads[0].Group = 1
	b.Put(first, start)
	b.Put(second, start)
	loads := []float64{-1}
	b.AddGroupLoads(map[ID]int{1: 0}, loads)
	assert.Equal(t, []float64{7}, loads)
}

func TestAggregateSumsRow(t *testing.T) {
	b := NewDigestTable(9)
	leaving := digest(1, 1, 4, 10)
	leaving.Leaving = []ID{66}
	b.Put(leaving, start)
	b.Put(digest(2, 1, 3, 20), start)
	b.Put(digest(3, 1, 3, 40), start) // not in the row
	relay := b.Aggregate(digest(9, 1, 1, 5), []ID{1, 2})
	assert.True(t, relay.Relayed)
	assert.Equal(t, []GroupLoad{{1, 4}, {2, 3}, {9, 1}}, relay.Loads)
	assert.Equal(t, []Demand{{5, 35}}, relay.Demands)
	assert.Equal(t, []ID{66}, relay.Leaving)
}

func TestRestartedSenderAccepted(t *testing.T) {
	b := NewDigestTable(9)
	b.Put(digest(1, 1000, 4, 0), start)
	b.Put(digest(1, 1, 5, 0), start.Add(StaleAfter+time.Second))
	loads := []float64{-1}
	b.AddGroupLoads(map[ID]int{1: 0}, loads)
	assert.Equal(t, []float64{5}, loads)
}

func TestStoppingRouter(t *testing.T) {
	b := NewDigestTable(9)
	d := digest(1, 1, 0, 0)
	d.Stopping = true
	b.Put(d, start)
	assert.True(t, b.Stopping(1))
	b.DropStale(start.Add(StaleAfter + time.Second))
	assert.False(t, b.Stopping(1))
}

// Guards against work for an instance during a rest that it asked for, and against its full
// share right after it.
func TestRestingInstance(t *testing.T) {
	v := newTestView()
	v.MarkResting("e1", start.Add(5*time.Second))
	v.MarkResting("e1", start.Add(time.Second))
	assert.Equal(t, Resting, v.Health("e1", start.Add(4*time.Second)))
	v.DropExpired(start.Add(6 * time.Second))
	assert.Equal(t, Live, v.Health("e1", start.Add(6*time.Second)))
	assert.InDelta(t, 0.1, v.RampFactor("e1", start.Add(6*time.Second)), 0.001)
	assert.InDelta(t, 1, v.RampFactor("e1", start.Add(5*time.Second).Add(rampTime)), 0.001)
}
