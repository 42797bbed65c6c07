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
