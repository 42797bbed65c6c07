package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/overload"
)

const (
	// gossipRound is the interval between updates in a large fleet.
	gossipRound = 600 * time.Millisecond
	// rumorRound is the interval between rounds of rumors, and rumorPartners how many
	// routers get them in each round.
	rumorRound    = 300 * time.Millisecond
	rumorPartners = 12
)

// gossipFleet simulates the routers of a large fleet that exchange what they run: each
// updates its line once a round, and each line's sum reaches each router once a round,
// both starting at random moments. Rumors go to some partners, which forward them in
// their next round of rumors.
type gossipFleet struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	routers []*Balancer
	lines   int
	counts  []map[uint32]int
	// controllers exchange reports if there are any, one for each router.
	controllers []*overload.Controller
	// connected tells whether two routers reach each other.
	connected func(a, b int) bool
}

type fleetEvent struct {
	at time.Time
	do func()
}

type eventQueue []fleetEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(fleetEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newGossipFleet(seed uint64, routers, lines int) *gossipFleet {
	f := &gossipFleet{random: rand.New(rand.NewPCG(seed, seed)), now: start, lines: lines}
	f.connected = func(int, int) bool { return true }
	for i := range routers {
		b := New(seed + uint64(i))
		b.SetLargeFleet(true)
		f.routers = append(f.routers, b)
		f.counts = append(f.counts, nil)
	}
	for router := range f.routers {
		f.repeat(gossipRound, func() { f.collectCounts(router) })
		f.repeat(rumorRound, func() { f.forwardRumors(router) })
		for line := range lines {
			f.repeat(gossipRound, func() { f.relayLine(line, router) })
		}
	}
	return f
}

// run executes the events that are due until a time has passed.
func (f *gossipFleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.do()
	}
}

func (f *gossipFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

// repeat runs do once a round, starting at a random moment.
func (f *gossipFleet) repeat(round time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		f.after(round, again)
	}
	f.after(time.Duration(f.random.Float64()*float64(round)), again)
}

func (f *gossipFleet) collectCounts(router int) {
	counts := make(map[uint32]int)
	for _, c := range f.routers[router].TakePeerUpdate(f.now).Running {
		counts[c.Replica] = c.Running
	}
	f.counts[router] = counts
	f.sendReport(router)
}

// sendReport sends what a router saw to the routers of its line.
func (f *gossipFleet) sendReport(router int) {
	if f.controllers == nil {
		return
	}
	report := f.controllers[router].Report(f.now)
	for other := router % f.lines; other < len(f.routers); other += f.lines {
		if other != router && f.connected(router, other) {
			f.controllers[other].MergeReport(fmt.Sprint("router ", router), report, f.now)
		}
	}
}

// relayReports sends the sum of a line's reports to a router of another line, from the
// first of the line that is connected to it.
func (f *gossipFleet) relayReports(line, router int) {
	if f.controllers == nil || line == router%f.lines {
		return
	}
	var members []int
	for other := line; other < len(f.routers); other += f.lines {
		members = append(members, other)
	}
	for i := range members {
		teller := members[(router/f.lines+i)%len(members)]
		if f.connected(teller, router) {
			var sources []string
			for _, other := range members {
				sources = append(sources, fmt.Sprint("router ", other))
			}
			f.controllers[router].MergeReport(fmt.Sprint("line ", line), f.controllers[teller].GroupReport(sources, f.now), f.now)
			return
		}
	}
}

// forwardRumors sends a router's rumors to some of its partners: routers of its line, and
// one in each other line.
func (f *gossipFleet) forwardRumors(router int) {
	rumors := f.routers[router].TakeRumors(f.now)
	if rumors.Empty() {
		return
	}
	partners := f.partners(router)
	f.random.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	for _, other := range partners[:min(rumorPartners, len(partners))] {
		if !f.connected(router, other) {
			continue
		}
		f.routers[other].MergeRumors(rumors, f.now)
	}
}

func (f *gossipFleet) partners(router int) []int {
	var partners []int
	for line := range f.lines {
		if line != router%f.lines {
			members := (len(f.routers) - line + f.lines - 1) / f.lines
			partners = append(partners, line+f.lines*(router/f.lines%members))
		}
	}
	for other := router % f.lines; other < len(f.routers); other += f.lines {
		if other != router {
			partners = append(partners, other)
		}
	}
	return partners
}

func (f *gossipFleet) relayLine(line, router int) {
	sums := make(map[uint32]int)
	for other := line; other < len(f.routers); other += f.lines {
		if other != router && f.connected(router, other) {
			for replica, n := range f.counts[other] {
				sums[replica] += n
			}
		}
	}
	var told LineCounts
	for replica, n := range sums {
		told.Counts = append(told.Counts, ReplicaCount{replica, n})
	}
	slices.SortFunc(told.Counts, func(a, b ReplicaCount) int { return cmp.Compare(a.Replica, b.Replica) })
	f.routers[router].MergeLine(Line{line, f.lines}, told, Rumors{}, f.now)
	f.relayReports(line, router)
}
