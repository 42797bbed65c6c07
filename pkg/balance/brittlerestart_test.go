package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/membership"
)

const (
	// routersAway is how long routers that ended are away.
	routersAway = 200 * time.Millisecond
	// routersMeet is how long before the first request a router that starts sends its first round.
	routersMeet = 100 * time.Millisecond
)

// restartAll ends all routers at a time and has them start again, with no more than their seeds, the
// list and what one of them knew lately of brittle replicas.
func (p *brittlePlay) restartAll(at time.Duration) {
	var recent RecentBrittle
	members := newMemberFleet(p.addresses[:min(len(p.addresses), 3)]...)
	members.order = p.addresses
	p.after(at+routersAway, func() { p.away = false })
	p.after(at, func() {
		p.away = true
		recent = p.routers[0].RecentlyBrittle(p.now)
		for router, address := range p.addresses {
			b := New(uint64(router) + 7919)
			b.SetLargeFleet(len(p.addresses) > 12)
			b.SetReplicas(p.listed(), p.now)
			b.SetRouters(address, nil, p.now)
			p.routers[router] = b
			clear(p.own[router])
			members.start(address)
		}
		p.knows = func(router int) []string { return members.tables[p.addresses[router]].KnownAddresses() }
	})
	p.after(at+routersAway-routersMeet, func() {
		for _, b := range p.routers {
			b.RecallBrittle(recent, p.now)
		}
		p.meet(members)
	})
}

// meet plays a round of the members, and the next ones.
func (p *brittlePlay) meet(members *memberFleet) {
	tell := func(address string, t *membership.Table) {
		b := p.routers[p.index(address)]
		b.SetRouters(address, t.KnownAddresses(), p.now)
		known, seeds := t.SeedsKnown()
		b.SetSeedsKnown(known, seeds, p.now)
	}
	members.round(p.now, tell)
	for address, t := range members.tables {
		tell(address, t)
	}
	round := gossipRound
	if len(p.addresses) <= memberPartners+1 {
		round = rumorRound
	}
	p.after(round, func() { p.meet(members) })
}

func (p *brittlePlay) index(address string) (router int) {
	fmt.Sscanf(address, "r%d", &router)
	return router
}

// Guards against routers that all start at once and take replicas for sturdy of which they know
// nothing.
func TestBrittleReplicasStayUpThoughAllRoutersEnd(t *testing.T) {
	for name, c := range map[string]brittleLoad{
		"three routers, three times the slots":                {3, 3, 5, 3},
		"three routers, none may be turned away":              {3, 3, 0, 1.5},
		"six routers, none may be turned away":                {6, 3, 0, 1.5},
		"nine routers, none may be turned away":               {9, 3, 0, 3},
		"30 routers, three replicas, three times the slots":   {30, 3, 5, 3},
		"30 routers, none may be turned away":                 {30, 10, 0, 1},
		"30 routers, three replicas, none may be turned away": {30, 3, 0, 3},
		"143 routers, none may be turned away":                {143, 10, 0, 1},
		"143 routers, three replicas, three times the slots":  {143, 3, 5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, _ := c.playWith(t, func(p *brittlePlay, from, length time.Duration) {
				p.restartAll(from + length/2)
			})
			assert.LessOrEqual(t, float64(falls), 2+0.1*float64(c.replicas))
		})
	}
}

// Guards against requests to sound replicas that are refused, or wait, since routers have just started.
func TestStartBeforeSoundReplicasCostsNothing(t *testing.T) {
	for _, routers := range []int{3, 30, 143} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			p := newBrittlePlay(1, routers, 3, 5)
			p.answered = func(router int, id string, _ bool) { p.routers[router].SturdyReported(id, p.now) }
			p.queue = func() int { return plainQueue }
			p.perSecond = func(time.Duration) float64 { return 0.9 * 3 * plainSlots / plainWorkTime.Seconds() }
			p.restartAll(2 * time.Second)
			refused := 0
			p.ended = func(_ *plainRequest, served bool) {
				if !served && !p.away {
					refused++
				}
			}
			p.simulate(4 * time.Second)
			assert.Zero(t, refused)
		})
	}
}

// Guards against what was known before a start and holds against answers since, or without end.
func TestRecalledBrittleness(t *testing.T) {
	recent := RecentBrittle{Services: []BrittleService{{Service: "llm", Rejections: 2}}, Routers: 9}
	for name, c := range map[string]struct {
		prepare func(*Balancer)
		recent  RecentBrittle
		at      time.Duration
		brittle bool
		bears   float64
	}{
		"recalled":                {func(*Balancer) {}, recent, 0, true, 2},
		"nobody asked":            {func(*Balancer) {}, recent, recallTime - 1, true, 2},
		"nobody asked for long":   {func(*Balancer) {}, recent, recallTime, false, 0},
		"nothing was known":       {func(*Balancer) {}, RecentBrittle{Routers: 9}, 0, false, 0},
		"an answer since":         {func(b *Balancer) { b.BrittleReported("i-0", 5, start) }, recent, 0, true, 5},
		"told by another router":  {func(b *Balancer) { b.LearnBrittle(BrittleService{"llm", 5, start.Add(time.Second)}, start) }, recent, 0, true, 5},
		"sturdy since":            {func(b *Balancer) { b.SturdyReported("i-1", start) }, recent, 0, false, 0},
		"read long after a start": {func(b *Balancer) { b.firstListedAt = start.Add(-startupPeriod - 1) }, recent, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(engines(2))
			c.prepare(b)
			b.RecallBrittle(c.recent, start)
			stated, brittle := b.brittleOf("llm", start.Add(c.at))
			assert.Equal(t, c.brittle, brittle)
			if brittle {
				assert.Equal(t, c.bears, stated.bears)
			}
		})
	}
	t.Run("answered later", func(t *testing.T) {
		b := newBalancer(engines(2))
		b.RecallBrittle(recent, start)
		assert.Empty(t, b.BrittleServices(start), "no replica has stated it since")
		b.SturdyReported("i-0", start)
		_, brittle := b.brittleOf("llm", start)
		assert.False(t, brittle)
		b.RecallBrittle(recent, start)
		_, brittle = b.brittleOf("llm", start)
		assert.False(t, brittle, "read again")
	})
}

// Guards against answers that differ and change what is to be recalled each time.
func TestRecentlyBrittleServices(t *testing.T) {
	b := newBalancer(engines(2))
	b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
	b.BrittleReported("i-0", 2, start)
	want := RecentBrittle{Services: []BrittleService{{Service: "llm", Rejections: 2}}, Routers: 3}
	assert.Equal(t, want, b.RecentlyBrittle(start))
	b.SturdyReported("i-1", start)
	assert.Equal(t, want, b.RecentlyBrittle(start.Add(recentlyBrittle-1)))
	assert.Empty(t, b.RecentlyBrittle(start.Add(recentlyBrittle)).Services)
}

// Guards against parts of brittle replicas by how many routers are known, as all have just started.
func TestBrittleReplicasAreDividedAmongFormerRouters(t *testing.T) {
	list, known := engines(1), []string{"r0", "r1", "r2", "r3", "r4", "r5", "r6", "r7", "r8"}
	list[0].Slots = 18
	recent := RecentBrittle{Services: []BrittleService{{Service: "llm"}}, Routers: 9}
	share := func(prepare func(*Balancer)) float64 {
		b := newBalancer(list)
		b.SetRouters("r0", nil, start)
		prepare(b)
		return b.share(b.replicas["i-0"], 0)
	}
	assert.Equal(t, 14.0, share(func(*Balancer) {}), "alone")
	assert.LessOrEqual(t, share(func(b *Balancer) { b.RecallBrittle(recent, start) }), 2.0, "one of nine")
	assert.LessOrEqual(t, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.SetRouters("r0", known, start)
	}), 2.0, "all known")
	assert.Equal(t, 14.0, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.SetSeedsKnown(1, 1, start.Add(meetingTime))
	}), "the others have not come back")
}
