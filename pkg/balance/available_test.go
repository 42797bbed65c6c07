package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
)

func TestAvailableIn(t *testing.T) {
	fail := func(ids ...string) func(*Balancer) {
		return func(b *Balancer) {
			for _, id := range ids {
				b.RequestFailed(id, Refused, "dc0", start)
			}
		}
	}
	cases := []struct {
		name    string
		prepare func(*Balancer)
		in      time.Duration
		known   bool
	}{
		{"one may have it now", fail("i-0", "i-1"), 0, true},
		{"all are avoided for a second", fail("i-0", "i-1", "i-2"), time.Second, true},
		{"the first of them counts", func(b *Balancer) {
			fail("i-0", "i-1")(b)
			b.RequestFailed("i-2", Shed, "dc0", start)
		}, 50 * time.Millisecond, true},
		{"silent data centres don't tell when they are back", func(b *Balancer) {
			fail("i-0")(b)
			b.SetCentreSilent("dc1", true)
			b.SetCentreSilent("dc2", true)
		}, time.Second, true},
		{"all are silent", func(b *Balancer) {
			for _, centre := range []string{"dc0", "dc1", "dc2"} {
				b.SetCentreSilent(centre, true)
			}
		}, 0, false},
		{"those that drain never are", func(b *Balancer) {
			list := engines(3)
			for i := range list {
				list[i].State = directory.Draining
			}
			b.SetReplicas(list, start)
		}, 0, false},
		{"none is listed", func(b *Balancer) { b.SetReplicas(nil, start) }, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBalancer(engines(3))
			c.prepare(b)
			in, known := b.AvailableIn("llm", nil, start)
			assert.Equal(t, c.in, in)
			assert.Equal(t, c.known, known)
		})
	}
}

func TestAvailableInOfUnreachableDataCentre(t *testing.T) {
	b := newBalancer(engines(6))
	for _, id := range []string{"i-1", "i-4", "i-1"} {
		b.RequestFailed(id, Unreachable, "dc0", start)
	}
	for _, id := range []string{"i-0", "i-3", "i-2", "i-5"} {
		for range 3 {
			b.RequestFailed(id, Refused, "dc0", start)
		}
	}
	in, known := b.AvailableIn("llm", nil, start)
	assert.True(t, known)
	assert.Equal(t, 2*time.Second, in, "i-4 alone would be tried after one")
}

func TestAvailableInSkipsExcludedReplicas(t *testing.T) {
	b := newBalancer(engines(2))
	b.RequestFailed("i-0", Refused, "dc0", start)
	in, known := b.AvailableIn("llm", []string{"i-1"}, start)
	assert.True(t, known)
	assert.Equal(t, time.Second, in)
	_, known = b.AvailableIn("llm", []string{"i-0", "i-1"}, start)
	assert.False(t, known)
}
