package balance

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// tellingRound is a round of telling in a large fleet.
	tellingRound = 600 * time.Millisecond
	// rumorRound is a round of telling rumors, and rumorPartners how many routers are
	// told in it.
	rumorRound    = 300 * time.Millisecond
	rumorPartners = 12
)

// tellingFleet plays the routers of a large fleet that tell each other what they run:
// each tells its line in each round, and each line's sum reaches each router once a
// round, each from a random moment on. Rumors come to some
// partners, and go on with their next round of rumors.
type tellingFleet struct {
	random  *rand.Rand
	now     time.Time
	events  eventQueue
	routers []*Balancer
	lines   int
	told    []map[uint32]int
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

func newTellingFleet(seed uint64, routers, lines int) *tellingFleet {
	f := &tellingFleet{random: rand.New(rand.NewPCG(seed, seed)), now: start, lines: lines}
	for i := range routers {
		b := New(seed + uint64(i))
		b.SetLargeFleet(true)
		f.routers = append(f.routers, b)
		f.told = append(f.told, nil)
	}
	for router := range f.routers {
		f.each(tellingRound, func() { f.tell(router) })
		f.each(rumorRound, func() { f.pass(router) })
		for line := range lines {
			f.each(tellingRound, func() { f.relay(line, router) })
		}
	}
	return f
}

// run plays what is due until a time has passed.
func (f *tellingFleet) run(length time.Duration) {
	end := f.now.Add(length)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.do()
	}
}

func (f *tellingFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

// each repeats something once a round, from a random moment on.
func (f *tellingFleet) each(round time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		f.after(round, again)
	}
	f.after(time.Duration(f.random.Float64()*float64(round)), again)
}

func (f *tellingFleet) tell(router int) {
	counts := make(map[uint32]int)
	for _, c := range f.routers[router].TakePeerUpdate(f.now).Running {
		counts[c.Replica] = c.Running
	}
	f.told[router] = counts
}

// pass has some of a router's partners take its rumors: of those of its line, and of
// one in each other line.
func (f *tellingFleet) pass(router int) {
	rumors := f.routers[router].TakeRumors()
	if rumors.Empty() {
		return
	}
	partners := f.partners(router)
	f.random.Shuffle(len(partners), func(i, j int) { partners[i], partners[j] = partners[j], partners[i] })
	for _, other := range partners[:rumorPartners] {
		f.routers[other].MergeRumors(rumors, f.now)
	}
}

func (f *tellingFleet) partners(router int) []int {
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

func (f *tellingFleet) relay(line, router int) {
	sums := make(map[uint32]int)
	for other := line; other < len(f.routers); other += f.lines {
		if other != router {
			for replica, n := range f.told[other] {
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
}
