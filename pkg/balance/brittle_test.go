package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// brittlePlay plays a plain service whose replicas turn brittle: from 3 s after they said so
// only few may wait, and one that rejects more in a second than it stated is down for
// some seconds.
type brittlePlay struct {
	*plainFleet
	bears    int
	rejected map[string][]time.Time
	falls    int
	// startedAt is when routers started that did so later than the fleet.
	startedAt map[*Balancer]time.Time
}

const (
	brittleFrom, brittleTo = 2 * time.Second, 14 * time.Second
	// brittleNotice is how long after the first statement fewer may wait, brittleReturn how
	// long a replica that fell is away.
	brittleNotice = 3 * time.Second
	brittleReturn = 3 * time.Second
)

func newBrittlePlay(seed uint64, routers, replicas, bears int) *brittlePlay {
	p := &brittlePlay{plainFleet: newPlainFleet(seed, routers, max(routers/8, 1), replicas), bears: bears, rejected: make(map[string][]time.Time), startedAt: make(map[*Balancer]time.Time)}
	var known []string
	for n := range p.routers {
		known = append(known, fmt.Sprint("r", n))
	}
	for n, b := range p.routers {
		b.SetRouters(known[n], known, start)
		b.SetLargeFleet(routers > 12)
	}
	p.relays, p.addresses = 4, known
	p.queue = func() int {
		if at := p.now.Sub(start); at >= brittleFrom+brittleNotice && at < brittleTo {
			return 1
		}
		return plainQueue
	}
	p.answered = func(router int, id string, taken bool) {
		at := p.now.Sub(start)
		if at < brittleFrom || at >= brittleTo {
			p.routers[router].SturdyReported(id, p.now)
			return
		}
		p.routers[router].BrittleReported(id, p.bears, p.now)
		if !taken && at >= brittleFrom+brittleNotice {
			p.reject(id)
		}
	}
	return p
}

// reject counts a rejection; the replica falls if there were too many in the last second.
func (p *brittlePlay) reject(id string) {
	list := append(p.rejected[id], p.now)
	for p.now.Sub(list[0]) >= time.Second {
		list = list[1:]
	}
	p.rejected[id] = list
	if len(list) <= p.bears {
		return
	}
	p.falls++
	p.rejected[id] = nil
	p.replicas[id].gone = true
	p.after(brittleReturn, func() { p.replicas[id].gone = false })
}

// brittleLoad is a number of routers and replicas, how many rejections each of these bears in a
// second, and the load in multiples of the slots.
type brittleLoad struct {
	routers, replicas, bears int
	load                     float64
}

// play plays a load and returns how often replicas fell over and which part of what fits into the
// slots was served in time.
func (c brittleLoad) play(t *testing.T) (falls int, used float64) {
	t.Helper()
	return c.playWith(t, func(*brittlePlay, time.Duration, time.Duration) {})
}

// playWith is play with something prepared for the time of the high load, given its start and length.
func (c brittleLoad) playWith(t *testing.T, prepare func(p *brittlePlay, from, length time.Duration)) (falls int, used float64) {
	t.Helper()
	return c.playSeed(t, 1, prepare)
}

// playSeed is playWith with a seed.
func (c brittleLoad) playSeed(t *testing.T, seed uint64, prepare func(p *brittlePlay, from, length time.Duration)) (falls int, used float64) {
	t.Helper()
	p := newBrittlePlay(seed, c.routers, c.replicas, c.bears)
	full := float64(c.replicas*plainSlots) / plainWorkTime.Seconds()
	const calm, high, length = 0.3, 6 * time.Second, 18 * time.Second
	p.perSecond = func(at time.Duration) float64 {
		if at >= high && at < 2*high {
			return c.load * full
		}
		return calm * full
	}
	prepare(p, high, high)
	got := p.simulate(length)
	t.Logf("falls %d, %+v", p.falls, got)
	return p.falls, float64(got.onTime) / (full * (calm*(length-high).Seconds() + min(c.load, 1)*high.Seconds()))
}

// Guards against replicas that say they are brittle and are sent more than they have room
// for until they end, and against slots that stay idle while callers are refused.
func TestBrittleReplicasStayUp(t *testing.T) {
	for name, c := range map[string]brittleLoad{
		"three routers, the slots":                                 {3, 3, 5, 1},
		"six routers, three replicas, three quarters of the slots": {6, 3, 5, 0.75},
		"six routers, three replicas, three times the slots":       {6, 3, 5, 3},
		"six routers, none may be turned away":                     {6, 3, 0, 1.5},
		"nine routers, three replicas, twice the slots":            {9, 3, 5, 2},
		"30 routers, three replicas, three times the slots":        {30, 3, 5, 3},
		"30 routers, three replicas, none may be turned away":      {30, 3, 0, 1},
		"seventy routers, ten replicas, the slots":                 {70, 10, 10, 1},
		"seventy routers, ten replicas, twice the slots":           {70, 10, 10, 2},
		"seventy routers, none may be turned away":                 {70, 10, 0, 6},
		"143 routers, three replicas, three times the slots":       {143, 3, 5, 3},
		"143 routers, none may be turned away":                     {143, 10, 0, 1},
		"300 routers, six times the slots":                         {300, 10, 5, 6},
		"300 routers, three replicas, six times the slots":         {300, 3, 5, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, used := c.play(t)
			assert.LessOrEqual(t, float64(falls), 2+0.1*float64(c.replicas))
			assert.GreaterOrEqual(t, used, 0.9*slotFraction)
		})
	}
}

// Guards against routers that do not know of brittle replicas because they sent them nothing
// lately: each sends one request that may be turned away.
func TestReplicasThatBearNoRejectionStayUpBehindManyRouters(t *testing.T) {
	for name, c := range map[string]brittleLoad{
		"143 routers, three replicas, three times the slots": {143, 3, 0, 3},
		"300 routers, ten replicas, six times the slots":     {300, 10, 0, 6},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, used := c.play(t)
			assert.LessOrEqual(t, float64(falls), 2+0.1*float64(c.replicas))
			assert.GreaterOrEqual(t, used, 0.9*slotFraction)
		})
	}
}

// Guards against routers that do not know that replicas are brittle because their own requests went
// elsewhere, and against statements that are told without end.
func TestStatementsOfBrittlenessReachAllRouters(t *testing.T) {
	const replica, every, first, last = "p-0", 300 * time.Millisecond, time.Second, 21 * time.Second
	for _, routers := range []int{3, 12, 30, 143, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			f := newPlainFleet(1, routers, max(routers/8, 1), 1)
			knowing := func() (n int) {
				for _, b := range f.routers {
					if _, is := b.brittleOf("plain", f.now); is {
						n++
					}
				}
				return n
			}
			for _, b := range f.routers {
				b.SetLargeFleet(routers > 12)
			}
			for at := first; at < last; at += every {
				f.after(at, func() { f.routers[f.random.IntN(routers)].BrittleReported(replica, 2, f.now) })
			}
			f.run(first + brittleNotice)
			for f.now.Before(start.Add(last)) {
				assert.Equal(t, routers, knowing(), "after %s", f.now.Sub(start))
				f.run(every)
			}
			f.run(brittleLifetime)
			assert.Zero(t, knowing(), "no replica has said so since")
		})
	}
}

// Guards against old statements of other routers that replace what this one was told since, and
// against statements that circulate in a large fleet.
func TestStatementOfBrittlenessFromAnotherRouter(t *testing.T) {
	const now = 10 * time.Second
	statement := func(at time.Duration) BrittleStatement {
		return BrittleStatement{Replica: ReplicaHash("i-0"), Rejections: 4, At: start.Add(at)}
	}
	for name, c := range map[string]struct {
		prepare          func(*Balancer)
		at               time.Duration
		brittle, forward bool
		bears            float64
	}{
		"new":               {func(*Balancer) {}, now, true, true, 4},
		"some time ago":     {func(*Balancer) {}, now - 4*time.Second, true, true, 4},
		"too long ago":      {func(*Balancer) {}, now - brittleLifetime, false, false, 0},
		"sturdy since":      {func(b *Balancer) { b.SturdyReported("i-1", start.Add(now)) }, now - time.Second, false, false, 0},
		"sturdy before":     {func(b *Balancer) { b.SturdyReported("i-1", start.Add(now-time.Second)) }, now, true, true, 4},
		"this one is later": {func(b *Balancer) { b.BrittleReported("i-1", 2, start.Add(now)) }, now - 3*time.Second, true, false, 2},
		"a little later":    {func(b *Balancer) { b.BrittleReported("i-1", 2, start.Add(now-time.Second/2)) }, now, true, false, 4},
		"much later":        {func(b *Balancer) { b.BrittleReported("i-1", 2, start.Add(now-brittleForward)) }, now, true, true, 4},
		"known since":       {func(b *Balancer) { b.MergeRumors(Rumors{Brittle: []BrittleStatement{statement(now)}}, start) }, now, true, false, 4},
		"no such replica":   {func(b *Balancer) { b.SetReplicas(nil, start) }, now, false, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(engines(2))
			b.SetLargeFleet(true)
			c.prepare(b)
			b.TakeRumors(start.Add(now))
			b.MergeRumors(Rumors{Brittle: []BrittleStatement{statement(c.at)}}, start.Add(now))
			stated, brittle := b.brittleOf("llm", start.Add(now))
			assert.Equal(t, c.brittle, brittle)
			if brittle {
				assert.Equal(t, c.bears, stated.bears)
			}
			var want []BrittleStatement
			if c.forward {
				want = append(want, statement(c.at))
			}
			assert.Equal(t, want, b.TakeRumors(start.Add(now)).Brittle)
		})
	}
}

// Guards against a statement that each answer tells all other routers anew.
func TestStatementOfBrittlenessIsToldNowAndThen(t *testing.T) {
	b := newBalancer(engines(2))
	told := 0
	for at := time.Duration(0); at < 10*brittleRepeat; at += 10 * time.Millisecond {
		b.BrittleReported("i-0", 2, start.Add(at))
		b.SturdyReported("i-1", start.Add(at))
		told += len(b.TakeRumors(start.Add(at)).Brittle)
	}
	assert.Equal(t, 10, told)
}

// Guards against slots that belong to two routers, or to none, and against requests that are
// handed to routers without any.
func TestSlotsOfBrittleReplicasAreDivided(t *testing.T) {
	for _, routers := range []int{1, 3, 6, 7, 18, 19, 143} {
		list := engines(3)
		var known []string
		for n := range routers {
			known = append(known, fmt.Sprint("r", n))
		}
		sums, owners := make(map[string]float64), 0
		for n, own := range known {
			for i := range list {
				list[i].Slots = 6
			}
			b := newBalancer(list)
			b.SetRouters(own, known, start)
			part := 0.0
			for id, r := range b.replicas {
				sums[id] += b.share(r, 0)
				part += b.share(r, 0)
			}
			if part > 0 {
				owners++
			}
			other := known[(n+1)%routers]
			named := b.OwnsRoom("llm")(other)
			o := newBalancer(list)
			o.SetRouters(other, known, start)
			owns := 0.0
			for _, r := range o.replicas {
				owns += o.share(r, 0)
			}
			assert.Equal(t, owns > 0, named, "%s of %d", other, routers)
		}
		total := 0.0
		for _, sum := range sums {
			assert.LessOrEqual(t, sum, 6.0, "%d routers", routers)
			total += sum
		}
		assert.GreaterOrEqual(t, total, 3*math.Floor(slotFraction*6), "%d routers", routers)
		assert.Equal(t, min(routers, 18), owners, "%d routers", routers)
	}
}

// Guards against a statement that outlives the time of which it speaks.
func TestBrittlenessEnds(t *testing.T) {
	list := engines(1)
	list[0].Slots = 4
	b := newBalancer(list)
	found := func(at time.Duration) bool {
		_, found := b.Pick(Request{Service: "llm", Parts: prompt(1)}, start.Add(at))
		return found
	}
	b.BrittleReported("i-0", 2, start)
	b.RequestFailed("i-0", Shed, "", start)
	assert.False(t, found(999*time.Millisecond), "half of two rejections a second, in one of one routers")
	assert.True(t, found(time.Second))
	for range 3 {
		b.RequestStarted("i-0")
	}
	assert.False(t, found(time.Second), "its slots are taken, but for one")
	assert.True(t, found(brittleLifetime), "it did not say so again")
	b.BrittleReported("i-0", 2, start.Add(brittleLifetime))
	assert.False(t, found(brittleLifetime))
	b.SturdyReported("i-0", start.Add(brittleLifetime))
	assert.True(t, found(brittleLifetime))
}

// Guards against slots that stay idle because the routers to which they belong do not reach
// the replica, and against more being used than there is: lent, or still used by routers that
// are leaving.
// A router whose path came back used its share while another one still had it on loan, and
// brittle replicas fell over.
func TestLentShareIsNotUsedTwice(t *testing.T) {
	list := engines(1)
	list[0].Slots = 9
	const service = "llm"
	taken := func(b *Balancer, now time.Time) int {
		n := 0
		for ; n < 20; n++ {
			if _, found := b.Pick(Request{Service: service}, now); !found {
				break
			}
			b.RequestStarted("i-0")
		}
		for range n {
			b.RequestFinished("i-0")
		}
		return n
	}
	lender, taker := newBalancer(list), newBalancer(list)
	for i, b := range []*Balancer{lender, taker} {
		b.SetRouters(fmt.Sprint("r", i), []string{"r0", "r1", "r2"}, start)
		b.BrittleReported("i-0", 2, start)
	}
	own, both := taken(lender, start), taken(lender, start)+taken(taker, start)
	assert.Equal(t, 1.0, lender.LendShare(service, "r1", 1, start))
	taker.ShareLent(service, "r0", 1, start.Add(5*time.Millisecond))
	assert.Equal(t, both, taken(taker, start.Add(10*time.Millisecond)))
	for after := time.Duration(0); after < 2*time.Second; after += 10 * time.Millisecond {
		now := start.Add(after)
		assert.LessOrEqual(t, taken(lender, now)+taken(taker, now), both, "after %s", after)
	}
	assert.Equal(t, own, taken(lender, start.Add(loanTime+loanMargin)))
	lender.LendShare("other", "r1", 1, start.Add(loanTime+loanMargin))
	assert.Equal(t, own, taken(lender, start.Add(loanTime+loanMargin)))
}

// Guards against lending what the lender's own requests still use, and the same part to several
// routers while their number changes: brittle replicas fell over.
func TestLentPartsAreWhatIsLeftOfAShare(t *testing.T) {
	type lent struct {
		to    string
		part  float64
		after time.Duration
		want  float64
	}
	third, end := 1.0/3, loanTime+loanMargin
	for name, c := range map[string]struct {
		running int
		loans   []lent
	}{
		"to one":                      {0, []lent{{"r1", 1, 0, 1}, {"r1", 1, time.Millisecond, 1}}},
		"half is used":                {1, []lent{{"r1", 0.25, 0, 0.25}, {"r2", 0.5, 0, 0.25}}},
		"all is used":                 {2, []lent{{"r1", 1, 0, 0}}},
		"more than all is used":       {3, []lent{{"r1", 1, 0, 0}}},
		"fewer routers take requests": {0, []lent{{"r1", 0.5, 0, 0.5}, {"r2", 0.5, 0, 0.5}, {"r1", 1, end / 2, 0.5}, {"r1", 1, end, 1}, {"r2", third, end, 0}}},
	} {
		t.Run(name, func(t *testing.T) {
			list := engines(2)
			list[0].Slots, list[1].Slots = 8, 8
			b := newBalancer(list)
			b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
			for range c.running {
				b.RequestStarted("i-1")
			}
			for _, l := range c.loans {
				assert.InDelta(t, l.want, b.LendShare("llm", l.to, l.part, start.Add(l.after)), 1e-9, "%v", l)
			}
		})
	}
}

func TestLentSlots(t *testing.T) {
	list := engines(1)
	list[0].Slots = 9
	for name, c := range map[string]struct {
		parts   []float64
		at      time.Duration
		leaving []string
		want    int
	}{
		"none":                   {nil, 0, nil, 2},
		"of one router":          {[]float64{1}, 0, nil, 4},
		"half of two":            {[]float64{0.5, 0.5}, 0, nil, 4},
		"of all others":          {[]float64{1, 1}, 0, nil, 6},
		"of more than are":       {[]float64{1, 1, 1}, 0, nil, 6},
		"of one, some time ago":  {[]float64{1}, loanTime, nil, 2},
		"invalid":                {[]float64{-1, 2}, 0, nil, 2},
		"none, others leave":     {nil, 0, []string{"r3", "r4"}, 1},
		"none, one known leaves": {nil, 0, []string{"r2"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBalancer(list)
			b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
			b.SetLeavingRouters(c.leaving)
			b.BrittleReported("i-0", 2, start)
			for i, part := range c.parts {
				b.ShareLent("llm", fmt.Sprint("r", 1+i), part, start)
			}
			taken := 0
			for ; taken < 20; taken++ {
				if _, found := b.Pick(Request{Service: "llm"}, start.Add(c.at)); !found {
					break
				}
				b.RequestStarted("i-0")
			}
			assert.Equal(t, c.want, taken)
		})
	}
}

// Guards against requests that are refused, or handed to other routers, for the wrong reason.
func TestShareUsedOnlyByOwnRequests(t *testing.T) {
	list := engines(1)
	list[0].Slots = 4
	b := newBalancer(list)
	b.SetRouters("r0", []string{"r0", "r1", "r2"}, start)
	assert.False(t, b.ShareUsed("llm", start), "not brittle")
	b.BrittleReported("i-0", 4, start)
	assert.False(t, b.ShareUsed("llm", start), "idle")
	b.RequestStarted("i-0")
	assert.True(t, b.ShareUsed("llm", start), "one of three slots among three routers")
	b.LendShare("llm", "r1", 1, start)
	assert.False(t, b.ShareUsed("llm", start), "lent")
	assert.False(t, b.ShareUsed("llm", start.Add(brittleLifetime)), "no longer brittle")
}

// Guards against requests that choose the last free slot together and all take it.
func TestRequestsChosenTogetherTakeNoMoreThanTheShare(t *testing.T) {
	const chosen = 8
	for name, c := range map[string]struct {
		prepare func(*Balancer)
		want    int
	}{
		"sturdy":                  {func(*Balancer) {}, chosen},
		"brittle":                 {func(b *Balancer) { b.BrittleReported("i-0", 2, start) }, 4},
		"some run":                {func(b *Balancer) { b.BrittleReported("i-0", 2, start); b.RequestStarted("i-0") }, 3},
		"lent since":              {func(b *Balancer) { b.BrittleReported("i-0", 2, start); b.LendShare("llm", "r1", 1, start) }, 0},
		"was brittle":             {func(b *Balancer) { b.BrittleReported("i-0", 2, start.Add(-brittleLifetime)) }, chosen},
		"replica is no more":      {func(b *Balancer) { b.SetReplicas(nil, start) }, chosen},
		"a rejection was counted": {func(b *Balancer) { b.BrittleReported("i-0", 2, start); b.RequestFailed("i-0", Shed, "dc0", start) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			list := engines(1)
			list[0].Slots = 10
			b := newBalancer(list)
			b.SetRouters("r0", []string{"r0", "r1"}, start)
			var choices []Choice
			for range chosen {
				choice, found := b.Pick(Request{Service: "llm"}, start)
				assert.True(t, found)
				choices = append(choices, choice)
			}
			c.prepare(b)
			started := 0
			for _, choice := range choices {
				if b.StartChosen(choice, start) {
					started++
				}
			}
			assert.Equal(t, c.want, started)
		})
	}
}

// restart lets a router forget what replicas stated, and learn it from another one.
func (p *brittlePlay) restart(router int) {
	b := p.routers[router]
	b.mu.Lock()
	clear(b.brittle)
	b.mu.Unlock()
	for _, stated := range p.routers[(router+1)%len(p.routers)].BrittleServices(p.now) {
		b.LearnBrittle(stated, p.now)
	}
}

// Guards against a router that starts amid the load and sends replicas as much as if they were not brittle.
func TestBrittleReplicasStayUpWhileRoutersRestart(t *testing.T) {
	for name, c := range map[string]brittleLoad{
		"six routers, none may be turned away":               {6, 3, 0, 1.5},
		"nine routers, three replicas, twice the slots":      {9, 3, 5, 2},
		"143 routers, none may be turned away":               {143, 10, 0, 1},
		"143 routers, three replicas, three times the slots": {143, 3, 5, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			falls, _ := c.playWith(t, func(p *brittlePlay, from, length time.Duration) {
				for router := range p.routers {
					p.after(from+time.Duration(router)*length/time.Duration(len(p.routers)), func() { p.restart(router) })
				}
			})
			assert.LessOrEqual(t, float64(falls), 2+0.1*float64(c.replicas))
		})
	}
}

func TestStatementsOfOthersHoldNoLongerThanOnes(t *testing.T) {
	b := New(1)
	b.LearnBrittle(BrittleService{"llm", 3, start.Add(time.Hour)}, start)
	assert.Equal(t, []BrittleService{{"llm", 3, start.Add(brittleLifetime)}}, b.BrittleServices(start))
	b.LearnBrittle(BrittleService{"llm", 4, start.Add(time.Second)}, start)
	assert.Equal(t, 3, b.BrittleServices(start)[0].Rejections, "the one that holds longer")
	assert.Empty(t, b.BrittleServices(start.Add(brittleLifetime)))
	b.SetReplicas(engines(1), start)
	b.SturdyReported("i-0", start)
	assert.Empty(t, b.BrittleServices(start), "an answer ends it")
}
