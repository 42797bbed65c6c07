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
	members := p.newMembers()
	p.after(at+routersAway, func() { clear(p.away) })
	p.after(at, func() {
		recent = p.routers[0].RecentlyBrittle(p.now)
		for router := range p.addresses {
			p.away[router] = true
			p.replaceRouter(router, members)
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

// restartInTurn replaces one router after another by one that knows no more than its seeds, the list and
// what another one knew lately of brittle replicas.
func (p *brittlePlay) restartInTurn(from, length time.Duration) {
	members := p.newMembers()
	for _, address := range p.addresses {
		members.start(address)
	}
	const meetingRounds = 30
	for range meetingRounds {
		members.round(p.now, func(string, *membership.Table) {})
	}
	p.knows = func(router int) []string { return members.tables[p.addresses[router]].KnownAddresses() }
	p.meet(members)
	for router := range p.addresses {
		at := from + time.Duration(router)*length/time.Duration(len(p.addresses))
		p.after(at, func() { p.away[router] = true })
		p.after(at+routersAway, func() {
			delete(p.away, router)
			recent := p.routers[(router+1)%len(p.routers)].RecentlyBrittle(p.now)
			b := p.replaceRouter(router, members)
			if router%2 == 0 {
				b.RecallBrittle(recent, p.now)
			}
			for _, seed := range members.seeds {
				members.hello(p.addresses[router], seed, p.now)
			}
			b.RecallBrittle(recent, p.now)
		})
	}
}

// learnTime is for how long after its start a router learns from the answers to its hellos what replicas
// stated.
const learnTime = 16 * rumorRound

// memberSeeds is the number of routers whose addresses all know from the start.
const memberSeeds = 3

func (p *brittlePlay) newMembers() *memberFleet {
	members := newMemberFleet(p.addresses[:min(len(p.addresses), memberSeeds)]...)
	members.order = p.addresses
	members.answered = func(from, to string) {
		b, other := p.routers[p.index(from)], p.routers[p.index(to)]
		if p.now.Sub(p.startedAt[b]) > learnTime {
			return
		}
		for _, stated := range other.BrittleServices(p.now) {
			b.LearnBrittle(stated, p.now)
		}
	}
	return members
}

// replaceRouter replaces a router by one that has just started.
func (p *brittlePlay) replaceRouter(router int, members *memberFleet) *Balancer {
	b := New(uint64(router) + 7919)
	b.SetLargeFleet(len(p.addresses) > memberPartners+1)
	b.SetReplicas(p.listed(), p.now)
	b.SetRouters(p.addresses[router], nil, p.now)
	p.routers[router], p.startedAt[b] = b, p.now
	clear(p.own[router])
	members.start(p.addresses[router])
	return b
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
	for _, address := range p.addresses {
		tell(address, members.tables[address])
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

// Guards against routers that start, know only some of the others and use more than their part.
func TestBrittleReplicasStayUpThoughRoutersEndInTurn(t *testing.T) {
	for name, c := range map[string]brittleLoad{
		"three routers, three times the slots":                {3, 3, 5, 3},
		"nine routers, none may be turned away":               {9, 3, 0, 1.5},
		"30 routers, none may be turned away":                 {30, 10, 0, 1},
		"30 routers, three replicas, none may be turned away": {30, 3, 0, 3},
		"143 routers, none may be turned away":                {143, 10, 0, 1},
		"143 routers, three replicas, three times the slots":  {143, 3, 5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, _ := c.playWith(t, func(p *brittlePlay, from, length time.Duration) {
				p.restartInTurn(from, length)
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
				if !served && len(p.away) == 0 {
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
	assert.Equal(t, 2.0, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.SetRouters("r0", known, start)
	}), "all known")
	told := BrittleService{"llm", 0, start.Add(time.Second)}
	assert.Zero(t, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.LearnBrittle(told, start)
	}), "others have served since")
	assert.Zero(t, share(func(b *Balancer) {
		b.LearnBrittle(told, start)
		b.RecallBrittle(recent, start)
	}), "others had served before the record was read")
	assert.Equal(t, 2.0, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.LearnBrittle(told, start)
		b.SetRouters("r0", known, start)
	}), "these are known")
	assert.Equal(t, 14.0, share(func(b *Balancer) {
		b.RecallBrittle(recent, start)
		b.SetSeedsKnown(1, 1, start.Add(meetingTime))
	}), "the others have not come back")
}
