package main

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/placement"
)

// spec is one run.
type spec struct {
	policy  string
	bound   float64
	engines int
	routers int
	seed    uint64
}

// The workload. An engine has about 20 requests in flight.
const (
	defaultBound = 1.25
	perEngine    = 20
	tokenTime    = 0.030 // seconds an output token
	prefillRate  = 8000  // prompt tokens a second
	meanOutput   = 150
	returning    = 0.85
	meanThink    = 20.0 // seconds
	warmUp       = 200 * time.Second
	measured     = 100 * time.Second
	window       = time.Second
	cacheTokens  = 140_000
	organisation = 10
	prefixesEach = 3
	surgeFactor  = 8
	surgeShare   = 0.03 // of the new chats, before the surge
	viewLag      = 3 * time.Second
	reportLag    = 2 * time.Second
	restartEvery = 10 * time.Second
	replaceEvery = 20 * time.Second // at 40 engines; more engines, more often
	flapEvery    = time.Second
)

// event is something that happens at a time.
type event struct {
	at     time.Duration
	number int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].number < e[j].number
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// world is the fleet's true state.
type world struct {
	spec
	rnd     *rand.Rand
	now     time.Duration
	queue   events
	number  int
	engines []*engine
	byHash  map[uint64]*engine
	policy  policy
	lists   []listing
	joined  int
	figures figures
	surging bool
	begin   time.Time
}

// listing is one version of the platform's list of engines.
type listing struct {
	at      time.Duration
	engines []uint64
}

// chat is a conversation.
type chat struct {
	id     uint64
	org    int
	prefix uint64
	// prefixTokens are shared, history is the chat's own.
	prefixTokens int
	history      int
	turn         int
	// engine is what the chat's token says, 0 for none.
	engine uint64
}

// request is one turn of a chat.
type request struct {
	chat   *chat
	fresh  int
	output int
	router int
	begun  time.Duration
}

func (r *request) prompt() int { return r.chat.prefixTokens + r.chat.history + r.fresh }

func measure(s spec) result {
	w := newWorld(s)
	w.policy = newPolicy(w)
	w.start()
	for w.now < warmUp+measured {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return w.result()
}

func newWorld(s spec) *world {
	w := &world{
		spec:   s,
		rnd:    rand.New(rand.NewPCG(s.seed, uint64(s.engines))),
		byHash: make(map[uint64]*engine),
		begin:  time.Unix(1_800_000_000, 0),
	}
	for range s.engines {
		w.join()
	}
	w.publish()
	return w
}

func (w *world) clock() time.Time { return w.begin.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.queue, event{at: w.now + d, number: w.number, do: do})
}

func (w *world) afterSeconds(s float64, do func()) {
	w.after(time.Duration(s*float64(time.Second)), do)
}

func (w *world) every(d time.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

func (w *world) join() *engine {
	w.joined++
	e := newEngine(placement.Hash(fmt.Sprintf("engine-%d", w.joined)))
	w.engines = append(w.engines, e)
	w.byHash[e.hash] = e
	return e
}

// publish makes a new version of the list; routers see it later.
func (w *world) publish() {
	var hashes []uint64
	for _, e := range w.engines {
		if !e.leaving {
			hashes = append(hashes, e.hash)
		}
	}
	w.lists = append(w.lists, listing{at: w.now, engines: hashes})
}

func (w *world) start() {
	scale := float64(w.spec.engines) / 40
	w.scheduleArrival()
	w.every(window, w.closeWindow)
	w.every(restartEvery, func() { w.engines[w.rnd.IntN(len(w.engines))].cache.clear() })
	w.every(time.Duration(float64(replaceEvery)/scale), w.replace)
	w.flap()
	w.after(warmUp+measured/4, func() { w.surging = true })
	w.after(warmUp+measured*3/4, func() { w.surging = false })
	w.policy.start()
}

// replace has one engine leave and another join.
func (w *world) replace() {
	leaver := w.engines[w.rnd.IntN(len(w.engines))]
	leaver.leaving = true
	w.engines = slices.DeleteFunc(w.engines, func(e *engine) bool { return e == leaver })
	w.join()
	w.publish()
}

// flap has one engine refuse connections every other second for 20 s a minute.
func (w *world) flap() {
	const bout, pause = 20, 40
	victim := w.engines[w.rnd.IntN(len(w.engines))]
	for i := range bout {
		w.after(time.Duration(i)*flapEvery, func() { victim.down = i%2 == 0 && i < bout-1 })
	}
	w.after((bout+pause)*time.Second, w.flap)
}

// scheduleArrival makes new chats arrive at random, so that in all an engine
// has about perEngine requests in flight.
func (w *world) scheduleArrival() {
	service := meanOutput*tokenTime + 0.1
	rate := float64(w.spec.engines) * perEngine / service * (1 - returning)
	if w.surging {
		rate *= 1 + surgeShare*(surgeFactor-1)
	}
	w.afterSeconds(w.rnd.ExpFloat64()/rate, func() {
		w.arrive(w.newChat())
		w.scheduleArrival()
	})
}

func (w *world) newChat() *chat {
	org := 0
	weight := surgeShare
	if w.surging {
		weight *= surgeFactor
		weight /= 1 + surgeShare*(surgeFactor-1)
	}
	if w.rnd.Float64() >= weight {
		// The others have unequal shares: a few are large.
		org = 1 + int(float64(organisation-1)*math.Pow(w.rnd.Float64(), 2))
	}
	n := org*prefixesEach + w.rnd.IntN(prefixesEach)
	return &chat{
		id:           w.rnd.Uint64(),
		org:          org,
		prefix:       placement.Hash(fmt.Sprintf("prefix-%d", n)),
		prefixTokens: 1000 + 100*(n%20),
	}
}

func (w *world) arrive(c *chat) {
	r := &request{
		chat:   c,
		fresh:  50 + w.rnd.IntN(200),
		output: 1 + int(w.rnd.ExpFloat64()*meanOutput),
		router: w.rnd.IntN(w.spec.routers),
		begun:  w.now,
	}
	w.policy.route(r)
}

// run has an engine serve a request; done is told when it ends. It returns
// false when the engine refuses the connection.
func (w *world) run(e *engine, r *request, done func()) bool {
	if e.down {
		return false
	}
	cached := e.cache.use(r.chat, r.output+r.fresh)
	w.figures.count(w, r, cached)
	e.change(w.now, 1)
	prefill := float64(r.prompt()-cached) / prefillRate
	w.afterSeconds(prefill+float64(r.output)*tokenTime, func() {
		e.change(w.now, -1)
		c := r.chat
		c.history += r.fresh + r.output
		c.turn++
		c.engine = e.hash
		done()
		if w.rnd.Float64() < returning {
			w.afterSeconds(w.rnd.ExpFloat64()*meanThink, func() { w.arrive(c) })
		}
	})
	return true
}
