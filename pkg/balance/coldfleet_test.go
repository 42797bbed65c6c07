package balance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/membership"
)

// coldFleet simulates routers that meet, are cut off from each other and start again, and send all
// that they may to the cold replicas of one service.
type coldFleet struct {
	*memberFleet
	list    []directory.Replica
	routers map[string]*coldRouter
	now     time.Time
	// arrivals are the requests that came to each replica.
	arrivals map[string][]time.Time
}

type coldRouter struct {
	balancer *Balancer
	changes  uint64
}

// coldAttempts is the number of requests that each router has in a round.
const coldAttempts = 6

func newColdFleet(routers int, seeds ...string) *coldFleet {
	f := &coldFleet{
		memberFleet: newMemberFleet(seeds...), list: engines(3), routers: make(map[string]*coldRouter),
		now: start, arrivals: make(map[string][]time.Time),
	}
	f.list = makeCold(f.list, start.Add(time.Hour), 0, 1, 2)
	for n := range routers {
		address := fmt.Sprint(string("abc"[n%3]), n/3)
		f.order = append(f.order, address)
		f.restart(address)
	}
	return f
}

// restart replaces a router by one that knows nothing but the seeds.
func (f *coldFleet) restart(address string) {
	b := New(hashString(address))
	b.SetColdBounds(coldBounds)
	b.SetReplicas(f.list, f.now)
	f.routers[address] = &coldRouter{balancer: b}
	f.start(address)
}

// play plays some rounds of all routers.
func (f *coldFleet) play(length time.Duration) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(gossipRound / coldAttempts) {
		if int(f.now.Sub(start)/(gossipRound/coldAttempts))%coldAttempts == 0 {
			f.gossip()
		}
		for i := range f.order {
			router := f.routers[f.order[(i+f.rounds)%len(f.order)]]
			if chosen, found := router.balancer.Pick(coldRequest(uint64(i)), f.now); found {
				f.arrivals[chosen.Replica.ID] = append(f.arrivals[chosen.Replica.ID], f.now)
			}
		}
	}
}

func (f *coldFleet) gossip() {
	f.round(f.now, func(address string, t *membership.Table) {
		r := f.routers[address]
		known, seeds := t.SeedsKnown()
		r.balancer.SetSeedsKnown(known, seeds, f.now)
		if changes := t.Changes(); changes != r.changes {
			r.balancer.SetRouters(address, t.KnownAddresses(), f.now)
			r.changes = changes
		}
	})
}

// most returns the most requests that came to a replica in a second, and the mean per replica and
// second, from some time on.
func (f *coldFleet) most(from time.Time) (most int, mean float64) {
	for _, list := range f.arrivals {
		first := 0
		for i, at := range list {
			for at.Sub(list[first]) >= time.Second {
				first++
			}
			if !at.Before(from) {
				most, mean = max(most, i-first+1), mean+1
			}
		}
	}
	return most, mean / f.now.Sub(from).Seconds() / float64(len(f.list))
}

// restartAll replaces the routers of some data centres.
func (f *coldFleet) restartAll(centres string) {
	for _, address := range f.order {
		if strings.Contains(centres, address[:1]) {
			f.restart(address)
		}
	}
}

// Guards against parts of a fleet that do not know of each other and each use what is meant for all,
// at a start, while they are cut off and as they meet again, and against parts that stay idle.
func TestPartsOfAFleetKeepColdBound(t *testing.T) {
	const settled = membershipSettleTime + 5*gossipRound
	apart := func(a, b string) bool { return a[:1] != b[:1] }
	inEach := []string{"a0", "b0", "c0"}
	for name, c := range map[string]struct {
		seeds []string
		// restarted are the data centres whose routers start anew while they are apart.
		restarted string
		// least is the mean number of requests a second that a replica gets meanwhile.
		least float64
	}{
		"cut off":                             {inEach, "", 6},
		"cut off, all restart":                {inEach, "abc", 5},
		"cut off, one part restarts":          {inEach, "a", 4},
		"cut off, two parts restart":          {inEach, "ab", 2},
		"all seeds in one part, all restart":  {[]string{"a0", "a1", "a2"}, "abc", 6},
		"a part without a seed, all restart":  {[]string{"a0", "a1", "b0"}, "abc", 5},
		"seeds of a part only, it restarts":   {[]string{"a0", "a1", "a2"}, "a", 6},
		"seeds of other parts, a part starts": {[]string{"b0", "b1", "c0"}, "a", 4},
	} {
		for _, size := range []int{9, 30, 143} {
			if size == 143 && name != "cut off, all restart" {
				continue
			}
			t.Run(fmt.Sprintf("%s, %d", name, size), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(size, c.seeds...)
				f.play(settled)
				_, mean := f.playOn(2 * time.Second)
				assert.GreaterOrEqual(t, mean, 6.0, "after the start")
				f.cut = apart
				f.play(time.Second)
				f.restartAll(c.restarted)
				f.play(settled)
				_, mean = f.playOn(10 * time.Second)
				assert.GreaterOrEqual(t, mean, c.least, "apart")
				f.cut = func(string, string) bool { return false }
				f.play(settled)
				_, mean = f.playOn(2 * time.Second)
				assert.GreaterOrEqual(t, mean, 6.0, "together again")
				most, _ := f.most(start)
				assert.LessOrEqual(t, float64(most), maxColdPerSecond)
			})
		}
	}
}

// playOn plays some time and returns what most returns for it.
func (f *coldFleet) playOn(length time.Duration) (most int, mean float64) {
	from := f.now
	f.play(length)
	return f.most(from)
}
