package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

func TestUnreachableServiceIsProbed(t *testing.T) {
	type step struct {
		at          time.Duration
		unreachable bool
	}
	unreachable := func(b *Balancer, ids ...string) {
		for _, id := range ids {
			b.RequestFailed(id, Unreachable, "dc0", start)
		}
	}
	cases := []struct {
		name    string
		prepare func(*Balancer)
		steps   []step
	}{
		{"all sound", func(*Balancer) {}, []step{{0, false}, {1, false}}},
		{"one is left", func(b *Balancer) { unreachable(b, "i-0", "i-1") }, []step{{0, false}, {1, false}}},
		{"none is left", func(b *Balancer) { unreachable(b, "i-0", "i-1", "i-2") },
			[]step{{0, false}, {1, true}, {probeInterval - 1, true}, {probeInterval, false}, {probeInterval + 1, true}, {time.Second, false}, {time.Second + 1, false}}},
		{"none listens: that costs nothing to try", func(b *Balancer) {
			for _, id := range []string{"i-0", "i-1", "i-2"} {
				b.RequestFailed(id, Refused, "dc0", start)
			}
		}, []step{{0, false}, {1, false}}},
		{"one has answered since", func(b *Balancer) {
			unreachable(b, "i-0", "i-1", "i-2")
			for _, id := range []string{"i-0", "i-1", "i-2"} {
				b.RequestSucceeded(id, nil, start.Add(1))
			}
		}, []step{{2, false}, {3, false}}},
		{"silent data centres alone say nothing", func(b *Balancer) {
			for _, centre := range []string{"dc0", "dc1", "dc2"} {
				b.SetCentreSilent(centre, true)
			}
		}, []step{{0, false}, {1, false}}},
	}
	for _, c := range cases {
		for kind, parts := range map[string][]Part{"plain": nil, "engine": prompt(5)} {
			t.Run(c.name+", "+kind, func(t *testing.T) {
				b := newBalancer(engines(3))
				c.prepare(b)
				for _, s := range c.steps {
					assert.Equal(t, s.unreachable, pick(t, b, parts, start.Add(s.at)).Unreachable, s.at)
				}
			})
		}
	}
}

func TestUnreachableDataCentreCoversAllItsReplicas(t *testing.T) {
	list := engines(6)
	for i := range list {
		list[i].DataCentre = "dc1"
	}
	b := newBalancer(list)
	b.RequestFailed("i-0", Unreachable, "dc0", start)
	b.RequestFailed("i-1", Unreachable, "dc0", start)
	assert.False(t, pick(t, b, nil, start).Unreachable, "tried")
	assert.True(t, pick(t, b, nil, start, "i-0", "i-1").Unreachable, "the others were not")
}

// Guards against a last resort that sends everything to the one engine that is not avoided,
// however long its queue.
func TestLastResortIsNoFullReplica(t *testing.T) {
	const slots, full = 8, 30
	fill := func(b *Balancer, ids ...string) {
		for _, id := range ids {
			for range full {
				b.RequestStarted(id)
			}
		}
	}
	all := []string{"i-0", "i-1", "i-2", "i-3"}
	for _, failure := range []Failure{Hung, Refused, Unreachable} {
		t.Run(failure.String(), func(t *testing.T) {
			list := engines(len(all))
			for i := range list {
				list[i].Slots = slots
			}
			b := newBalancer(list)
			for _, id := range all[1:] {
				b.RequestFailed(id, failure, "dc0", start)
				b.RequestFailed(id, failure, "dc0", start.Add(1))
			}
			fill(b, "i-0")
			assert.NotEqual(t, "i-0", pick(t, b, prompt(5), start.Add(2)).Replica.ID)
			fill(b, all...)
			_, found := b.Pick(Request{Service: "llm", DataCentre: "dc0", Parts: prompt(5)}, start.Add(2))
			assert.False(t, found, "all are full")
		})
	}
}
