package balance

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

// Guards against admission by replicas that get no requests, and against leaving out full ones.
func TestUsableReplicas(t *testing.T) {
	fail := func(kind Failure) func(*Balancer) {
		return func(b *Balancer) { b.RequestFailed("i-0", kind, "dc0", start) }
	}
	cases := map[string]struct {
		prepare  func(*Balancer)
		excluded []string
		want     []string
	}{
		"all sound":          {func(*Balancer) {}, nil, []string{"i-0", "i-1", "i-2"}},
		"full":               {fail(Shed), nil, []string{"i-0", "i-1", "i-2"}},
		"nobody listens":     {fail(Refused), nil, []string{"i-1", "i-2"}},
		"unreachable":        {fail(Unreachable), nil, []string{"i-1", "i-2"}},
		"excluded":           {func(*Balancer) {}, []string{"i-1"}, []string{"i-0", "i-2"}},
		"silent data centre": {func(b *Balancer) { b.SetCentreSilent("dc1", true) }, nil, []string{"i-0", "i-2"}},
		"draining": {func(b *Balancer) {
			list := engines(3)
			list[2].State = directory.Draining
			b.SetReplicas(list, start)
		}, nil, []string{"i-0", "i-1"}},
		"none listed": {func(b *Balancer) { b.SetReplicas(nil, start) }, nil, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			list := engines(3)
			for i := range list {
				list[i].Slots = 6
			}
			b := newBalancer(list)
			c.prepare(b)
			var got, want []uint32
			for _, r := range b.UsableReplicas("llm", c.excluded, start) {
				got = append(got, r.Hash)
			}
			for _, id := range c.want {
				want = append(want, ReplicaHash(id))
			}
			assert.Equal(t, want, got)
		})
	}
	b := newBalancer([]directory.Replica{{ID: "i-0", Service: "llm", Slots: 6}})
	assert.Equal(t, 6, b.UsableReplicas("llm", nil, start)[0].Slots)
}

// Guards against a question for room whose answer differs from that of the choice after it.
func TestHasRoomIfOneIsChosen(t *testing.T) {
	const slots = 2
	fail := func(kind Failure, ids ...string) func(*Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.RequestFailed(id, kind, "dc0", start)
			}
		}
	}
	for name, c := range map[string]struct {
		prepare func(*Balancer)
		tried   []string
		// engine and plain are the answers for a request with parts of a prompt and one without.
		engine, plain bool
	}{
		"all sound":        {func(*Balancer) {}, nil, true, true},
		"one is left":      {func(*Balancer) {}, []string{"i-0", "i-1"}, true, true},
		"none is left":     {func(*Balancer) {}, []string{"i-0", "i-1", "i-2"}, false, false},
		"all unreachable":  {fail(Unreachable, "i-0", "i-1", "i-2"), nil, false, false},
		"all reject":       {fail(Shed, "i-0", "i-1", "i-2"), nil, false, false},
		"all break off":    {fail(Broke, "i-0", "i-1", "i-2"), nil, true, true},
		"the rest rejects": {fail(Shed, "i-1", "i-2"), []string{"i-0"}, false, false},
		"all engines full": {func(b *Balancer) {
			for range 2 * slots {
				for _, id := range []string{"i-0", "i-1", "i-2"} {
					b.RequestStarted(id)
				}
			}
		}, nil, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			list := engines(3)
			for i := range list {
				list[i].Slots = slots
			}
			b := newBalancer(list)
			c.prepare(b)
			q := Request{Service: "llm", DataCentre: "dc0", Tried: c.tried}
			assert.Equal(t, c.plain, b.HasRoom(q, start), "plain")
			q.Parts = []Part{{ID: 1, Tokens: 10}}
			assert.Equal(t, c.engine, b.HasRoom(q, start), "engine")
			if _, found := b.Pick(q, start); c.engine {
				assert.True(t, found)
			}
		})
	}
}
