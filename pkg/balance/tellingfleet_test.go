package balance

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// tellingRound is a round of telling in a large fleet.
const tellingRound = 600 * time.Millisecond

// tellingFleet plays the routers of a large fleet that tell each other what they run:
// each tells its line in each round, and each line's sum reaches each router once a
// round, each from a random moment on. Rumors come to the partners at once, and go on
// with their next telling.
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
		b.SetLarge(true)
		f.routers = append(f.routers, b)
		f.told = append(f.told, nil)
	}
	for router := range f.routers {
		f.each(func() { f.tell(router) })
		for line := range lines {
			f.each(func() { f.relay(line, router) })
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
func (f *tellingFleet) each(do func()) {
	var again func()
	again = func() {
		do()
		f.after(tellingRound, again)
	}
	f.after(time.Duration(f.random.Float64()*float64(tellingRound)), again)
}

func (f *tellingFleet) tell(router int) {
	counts := make(map[uint32]int)
	told := f.routers[router].Tell(f.now)
	f.pass(router, told.Rumors)
	for _, c := range told.Running {
		counts[c.Replica] = c.Running
	}
	f.told[router] = counts
}

// pass has a router's partners take its rumors: those of its line, and one of each
// other line.
func (f *tellingFleet) pass(router int, rumors Rumors) {
	for line := range f.lines {
		if line == router%f.lines {
			f.passToLine(router, rumors)
			continue
		}
		members := (len(f.routers) - line + f.lines - 1) / f.lines
		f.routers[line+f.lines*f.random.IntN(members)].mergeRumors(rumors, f.now)
	}
}

func (f *tellingFleet) passToLine(router int, rumors Rumors) {
	for other := router % f.lines; other < len(f.routers); other += f.lines {
		if other != router {
			f.routers[other].mergeRumors(rumors, f.now)
		}
	}
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
	var told LineTold
	for replica, n := range sums {
		told.Named = append(told.Named, Count{replica, n})
	}
	slices.SortFunc(told.Named, func(a, b Count) int { return cmp.Compare(a.Replica, b.Replica) })
	f.routers[router].MergeLine(Line{line, f.lines}, told, Rumors{}, f.now)
}
