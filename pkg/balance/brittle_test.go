package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

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
