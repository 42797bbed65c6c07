package balance

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// plainFleet plays a large fleet of routers before a plain service whose replicas work
// on some requests, queue some more and turn the rest away. What routers run reaches
// the others by lines, as in a large fleet: each tells its line each 0.6 s, and each
// line's sum reaches each router each 0.6 s.
type plainFleet struct {
	random   *rand.Rand
	now      time.Time
	events   eventQueue
	routers  []*Balancer
	told     []map[uint32]int
	lines    int
	replicas map[string]*plainReplica
	// perSecond are the requests of all callers, by when.
	perSecond func(at time.Duration) float64
	stats     plainStats
}

// The users' plain service: ten replicas of six slots and a queue of 24, 410 requests a
// second that take 60 ms in the mean and are wanted within 300 ms.
const (
	plainSlots = 6
	plainQueue = 24
	plainRate  = 410.0
	plainWork  = 60 * time.Millisecond
	plainAim   = 300 * time.Millisecond
	// plainRound is a round of telling in a large fleet.
	plainRound = 600 * time.Millisecond
	// plainSpread is the standard deviation of the logarithm of the work.
	plainSpread = 0.47
)

type plainReplica struct {
	id      string
	running int
	waiting []*plainRequest
	gone    bool
}

type plainRequest struct {
	router  int
	arrived time.Time
	tried   []string
}

// plainStats are what callers got.
type plainStats struct {
	asked, inAim, late, refused int
	// sent counts what was sent to replicas, shed what they turned away.
	sent, shed int
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

func newPlainFleet(seed uint64, routers, replicas int) *plainFleet {
	f := &plainFleet{
		random:    rand.New(rand.NewPCG(seed, seed)),
		now:       start,
		lines:     16,
		replicas:  make(map[string]*plainReplica),
		perSecond: func(time.Duration) float64 { return plainRate },
	}
	for i := range replicas {
		id := fmt.Sprintf("p-%d", i)
		f.replicas[id] = &plainReplica{id: id}
	}
	for i := range routers {
		b := New(seed + uint64(i))
		b.SetLarge(true)
		f.routers = append(f.routers, b)
		f.told = append(f.told, nil)
	}
	f.list()
	return f
}

// list gives all routers the replicas that are there.
func (f *plainFleet) list() {
	var list []directory.Replica
	for id, r := range f.replicas {
		if !r.gone {
			list = append(list, directory.Replica{ID: id, Service: "plain", Address: id, DataCentre: fmt.Sprintf("dc%d", hashText(id)%5), Slots: plainSlots})
		}
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range f.routers {
		b.Replace(list, f.now)
	}
}

// burst multiplies the rate for a time.
func (f *plainFleet) burst(from, to time.Duration, times float64) {
	f.perSecond = func(at time.Duration) float64 {
		if at >= from && at < to {
			return times * plainRate
		}
		return plainRate
	}
}

// replace has a replica go, and another one come unless its id is empty.
func (f *plainFleet) replace(old, fresh string) {
	f.replicas[old].gone = true
	if fresh != "" {
		f.replicas[fresh] = &plainReplica{id: fresh}
	}
	f.list()
}

func (f *plainFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{f.now.Add(d), do})
}

// each repeats something once a round, from a random moment on.
func (f *plainFleet) each(do func()) {
	var again func()
	again = func() {
		do()
		f.after(plainRound, again)
	}
	f.after(time.Duration(f.random.Float64()*float64(plainRound)), again)
}

// play plays for a time and returns what callers got.
func (f *plainFleet) play(length time.Duration) plainStats {
	end := f.now.Add(length)
	for router := range f.routers {
		f.each(func() { f.tell(router) })
		for line := range f.lines {
			f.each(func() { f.relay(line, router) })
		}
	}
	f.after(0, f.arrive)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		next := heap.Pop(&f.events).(fleetEvent)
		f.now = next.at
		next.do()
	}
	return f.stats
}

func (f *plainFleet) tell(router int) {
	counts := make(map[uint32]int)
	for _, c := range f.routers[router].Tell(f.now).Running {
		counts[c.Replica] = c.Running
	}
	f.told[router] = counts
}

func (f *plainFleet) relay(line, router int) {
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

func (f *plainFleet) arrive() {
	rate := f.perSecond(f.now.Sub(start))
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	f.stats.asked++
	f.send(&plainRequest{router: f.random.IntN(len(f.routers)), arrived: f.now})
}

// send asks a replica, and another one if that is full.
func (f *plainFleet) send(r *plainRequest) {
	router := f.routers[r.router]
	choice, found := router.Pick(Question{Service: "plain", DataCentre: fmt.Sprintf("dc%d", r.router%5), Tried: r.tried}, f.now)
	if !found || len(r.tried) == 2 {
		f.stats.refused++
		return
	}
	id := choice.Replica.ID
	r.tried = append(r.tried, id)
	f.stats.sent++
	replica := f.replicas[id]
	if replica.gone || replica.running == plainSlots && len(replica.waiting) == plainQueue {
		f.stats.shed++
		router.Failed(id, Shed, "", f.now)
		f.send(r)
		return
	}
	router.Started(id)
	replica.waiting = append(replica.waiting, r)
	f.work(replica)
}

// work has a replica begin what it has slots for.
func (f *plainFleet) work(replica *plainReplica) {
	for replica.running < plainSlots && len(replica.waiting) > 0 {
		r := replica.waiting[0]
		replica.waiting = replica.waiting[1:]
		replica.running++
		mean := plainWork.Seconds() * math.Exp(-plainSpread*plainSpread/2)
		took := time.Duration(mean * math.Exp(plainSpread*f.random.NormFloat64()) * float64(time.Second))
		f.after(took, func() {
			replica.running--
			f.routers[r.router].Finished(replica.id)
			f.routers[r.router].Answered(replica.id, nil, f.now)
			if f.now.Sub(r.arrived) <= plainAim {
				f.stats.inAim++
			} else {
				f.stats.late++
			}
			f.work(replica)
		})
	}
}
