package retry

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// The users' bounds in these tests.
const (
	testRatio  = 0.2
	testWindow = 10 * time.Second
	testLength = 28 * time.Second
	cutFrom    = 5 * time.Second
	cutTo      = 22 * time.Second
	// counted is from when on retries are compared with those of one budget for all.
	counted = 15 * time.Second
)

// event is a step of a simulation.
type event struct {
	at   time.Duration
	step func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet is a number of routers, the users' allowance for all, and the requests that each router
// gets in a second.
type fleet struct {
	routers   int
	allowance float64
	rate      float64
}

var (
	fleets      = []fleet{{3, 30, 20}, {6, 52, 14}, {30, 90, 8}, {68, 176, 5.5}, {143, 350, 2.7}}
	largeFleets = []fleet{{300, 450, 2}, {985, 1040, 1.5}}
)

// load is what a simulated fleet gets.
type load struct {
	// uneven is set if a tenth of the routers gets nine tenths of the requests.
	uneven bool
	// fails is how many of a router's requests ask for a retry.
	fails func(router, routers int) float64
	// killed is set if in each ten seconds each router is killed once, one after the other.
	killed bool
	// cut is set if the fleet is parted into a third and the rest for most of the time.
	cut bool
	// loss is the share of messages that are lost.
	loss float64
}

func everywhere(int, int) float64 { return 1 }
func half(int, int) float64       { return 0.5 }
func oneIn20(int, int) float64    { return 0.05 }
func atAFifth(r, n int) float64   { return ifAt(r < max(n/5, 1), 1) }
func ifAt(at bool, x float64) float64 {
	if at {
		return x
	}
	return 0
}

// simulatedRouter is one router of a simulated fleet.
type simulatedRouter struct {
	budget *Budget
	life   int
	pause  time.Duration
}

// simulation is routers that share their retries over a network.
type simulation struct {
	load    load
	fleet   fleet
	bounds  Bounds
	rnd     *rand.Rand
	start   time.Time
	now     time.Duration
	queue   events
	routers []*simulatedRouter
	// single is one budget for all, which gets the same requests.
	single *Budget
	// requests and retries are their times; admitted counts the retries of single.
	requests, retries []time.Duration
	admitted          int
	messages          int
}

const testService = Service(1)

func simulate(l load, f fleet, seed uint64) *simulation {
	routers := f.routers
	s := &simulation{load: l, fleet: f, bounds: Bounds{testRatio, f.allowance, testWindow}, rnd: rand.New(rand.NewPCG(seed, uint64(routers))), start: time.Unix(0, 0)}
	s.single = NewBudget(s.bounds, s.start.Add(-testWindow), s.start)
	s.single.SetRouters(1)
	for range routers {
		r := &simulatedRouter{budget: NewBudget(s.bounds, s.start.Add(-testWindow), s.start)}
		r.budget.SetRouters(float64(routers))
		s.routers = append(s.routers, r)
	}
	for n := range routers {
		s.arrive(n)
	}
	if l.killed {
		s.kill(0)
	}
	for s.queue.Len() > 0 && s.now < testLength {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.step()
	}
	return s
}

// rate returns how many requests a router gets in a second.
func (s *simulation) rate(n int) float64 {
	if !s.load.uneven {
		return s.fleet.rate
	}
	few := max(s.fleet.routers/10, 1)
	total := s.fleet.rate * float64(s.fleet.routers)
	if n < few {
		return 0.9 * total / float64(few)
	}
	return 0.1 * total / float64(s.fleet.routers-few)
}

func (s *simulation) time() time.Time { return s.start.Add(s.now) }

func (s *simulation) after(d time.Duration, step func()) {
	heap.Push(&s.queue, event{s.now + d, step})
}

// arrive lets a router get its next request.
func (s *simulation) arrive(n int) {
	pause := time.Duration(s.rnd.ExpFloat64() / s.rate(n) * float64(time.Second))
	s.after(pause, func() {
		s.requests = append(s.requests, s.now)
		r := s.routers[n]
		r.budget.Request(testService, s.time())
		s.single.Request(testService, s.time())
		if s.rnd.Float64() < s.load.fails(n, len(s.routers)) {
			s.after(20*time.Millisecond, func() { s.fail(n, r.life) })
		}
		s.arrive(n)
	})
}

// fail asks for a retry.
func (s *simulation) fail(n, life int) {
	r := s.routers[n]
	if r.life != life {
		return
	}
	if one := s.single.Reserve(testService, 0, s.time()); one != nil {
		one.Use(s.time())
		if s.now >= counted {
			s.admitted++
		}
	}
	if s.retry(r, 0) {
		return
	}
	if s.now >= r.pause {
		s.borrow(n, r, life)
	}
}

// retry makes a retry, a part of which is borrowed.
func (s *simulation) retry(r *simulatedRouter, borrowed float64) bool {
	reservation := r.budget.Reserve(testService, borrowed, s.time())
	if reservation == nil {
		return false
	}
	s.after(2*time.Millisecond, func() {
		reservation.Use(s.time())
		s.retries = append(s.retries, s.now)
	})
	return true
}

// send delivers a message within some ms, unless it is lost.
func (s *simulation) send(from, to int, step func()) {
	s.messages++
	if s.rnd.Float64() < s.load.loss || s.apart(from, to) {
		return
	}
	s.after(time.Millisecond+time.Duration(s.rnd.IntN(2000))*time.Microsecond, step)
}

// apart reports whether two routers are on different sides of a cut.
func (s *simulation) apart(from, to int) bool {
	third := len(s.routers) / 3
	return s.load.cut && s.now > cutFrom && s.now < cutTo && (from < third) != (to < third)
}

// detected is when routers on one side of a cut take those on the other for lost.
const detected = 6 * time.Second

// lenders returns the routers to ask for a loan.
func (s *simulation) lenders(n int) []int {
	var known []int
	for other := range s.routers {
		if other != n && (s.now < cutFrom+detected || !s.apart(n, other)) {
			known = append(known, other)
		}
	}
	s.rnd.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	return known[:min(s.routers[n].budget.Lenders(), len(known))]
}

// borrow asks other routers for what a retry lacks.
func (s *simulation) borrow(n int, r *simulatedRouter, life int) {
	lenders := s.lenders(n)
	b := NewBorrowing(1-r.budget.Left(testService, s.time()), len(lenders), s.time())
	for _, lender := range lenders {
		s.send(n, lender, func() { s.lend(lender, n, life, b) })
	}
	s.after(BorrowTimeout, func() {
		if r.life == life {
			s.finish(r, b)
		}
	})
}

// lend answers a router that wants to borrow.
func (s *simulation) lend(lender, n, life int, b *Borrowing) {
	from, r := s.routers[lender], s.routers[n]
	id, amount := from.budget.Lend(testService, b.Wanted(), s.time())
	lenderLife := from.life
	settle := func(used float64) {
		s.send(n, lender, func() {
			if from.life == lenderLife {
				from.budget.Settle(id, used, s.time())
			}
		})
	}
	s.send(lender, n, func() {
		if r.life == life && b.Add(amount, settle, s.time()) {
			s.finish(r, b)
		}
	})
}

// finish makes the retry if enough was borrowed.
func (s *simulation) finish(r *simulatedRouter, b *Borrowing) {
	if b.Ended() {
		return
	}
	if !b.Finish(func(borrowed float64) bool { return s.retry(r, borrowed) }) {
		r.pause = s.now + BorrowPause
	}
}

// kill kills a router, which starts again at once, and the next one after a time.
func (s *simulation) kill(n int) {
	s.after(testWindow/time.Duration(s.fleet.routers), func() {
		r := s.routers[n]
		*r = simulatedRouter{budget: NewBudget(s.bounds, s.time(), s.time().Add(testWindow+LoanTime)), life: r.life + 1}
		r.budget.SetRouters(float64(len(s.routers)))
		s.kill((n + 1) % len(s.routers))
	})
}

// greatestShare returns the greatest share of the bound that the retries in a window used.
func (s *simulation) greatestShare() float64 {
	most := 0.0
	within := func(times []time.Duration, from, to time.Duration) float64 {
		return float64(sort.Search(len(times), func(i int) bool { return times[i] > to }) - sort.Search(len(times), func(i int) bool { return times[i] >= from }))
	}
	share := func(from time.Duration) {
		if from < 0 {
			return
		}
		allowed := s.bounds.Ratio*within(s.requests, from, from+testWindow) + s.bounds.Allowance
		most = max(most, within(s.retries, from, from+testWindow)/allowed)
	}
	for _, at := range s.retries {
		share(at - testWindow)
		share(min(at, testLength-testWindow))
	}
	return most
}

// used returns how many retries were made for each that one budget for all would admit.
func (s *simulation) used() float64 {
	first := slices.IndexFunc(s.retries, func(at time.Duration) bool { return at >= counted })
	if first < 0 {
		return 0
	}
	return float64(len(s.retries)-first) / float64(max(s.admitted, 1))
}

// Guards against routers whose parts of the users' retries add up to more than the whole, and
// against a sum that is left idle where retries are asked for.
func TestFleetUsesItsRetriesWithinBound(t *testing.T) {
	all := append(slices.Clone(fleets), largeFleets...)
	tests := map[string]struct {
		load   load
		fleets []fleet
	}{
		"all requests fail":                           {load{fails: everywhere}, all},
		"half of the requests fail":                   {load{fails: half}, fleets},
		"one request in 20 fails":                     {load{fails: oneIn20}, fleets},
		"all requests fail at a fifth of the routers": {load{fails: atAFifth}, fleets},
		"most requests at a tenth of the routers":     {load{uneven: true, fails: everywhere}, fleets},
		"a third of the routers is cut off":           {load{fails: everywhere, cut: true}, all},
	}
	const leastUsed = 0.9
	for name, test := range tests {
		for _, f := range test.fleets {
			t.Run(fmt.Sprintf("%s, %d routers", name, f.routers), func(t *testing.T) {
				t.Parallel()
				s := simulate(test.load, f, 1)
				t.Logf("greatest share %.3f, used %.3f of %d, %.1f messages a second and router", s.greatestShare(), s.used(), s.admitted, float64(s.messages)/float64(f.routers)/testLength.Seconds())
				assert.LessOrEqual(t, s.greatestShare(), 1.0)
				assert.GreaterOrEqual(t, s.used(), leastUsed)
			})
		}
	}
}

// Guards against retries that kills and lost messages admit twice.
func TestFleetStaysWithinBoundThroughKillsAndLoss(t *testing.T) {
	tests := map[string]struct {
		load   load
		fleets []fleet
	}{
		"each router is killed once in a window": {load{fails: everywhere, killed: true}, fleets},
		"a tenth of the messages is lost":        {load{fails: everywhere, loss: 0.1}, fleets},
		"kills, loss and a cut":                  {load{uneven: true, fails: everywhere, killed: true, cut: true, loss: 0.05}, append(slices.Clone(fleets), largeFleets[0])},
	}
	for name, test := range tests {
		for _, f := range test.fleets {
			t.Run(fmt.Sprintf("%s, %d routers", name, f.routers), func(t *testing.T) {
				t.Parallel()
				s := simulate(test.load, f, 2)
				t.Logf("greatest share %.3f, used %.3f of %d", s.greatestShare(), s.used(), s.admitted)
				assert.LessOrEqual(t, s.greatestShare(), 1.0)
			})
		}
	}
}
