package balance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// engineFleet simulates a large fleet of routers in front of engines that cache what they
// read. An engine reads prompts one after the other and then generates tokens for all
// requests at once, more slowly the more there are.
type engineFleet struct {
	*gossipFleet
	engines map[string]*simEngine
	// everRead holds the parts that some engine has read.
	everRead   map[uint64]bool
	kinds      []requestKind
	rateFactor func(at time.Duration) float64
	stats      engineStats
	// shiftedShare is the share of callers that come to the first data centre.
	shiftedShare float64
	// breakShare is the share of requests that break at the engines with breaks set.
	breakShare float64
	// choice replaces that of the balancers, if set. ids are those of the engines, own what each
	// router runs at them.
	choice engineChoice
	ids    []string
	own    []map[string]int
	// readPerSecond is how many tokens an engine reads in a second; pause is the time
	// between two tokens of a request that runs alone, in seconds.
	readPerSecond, pause float64
}

// requestKind is one of the users' kinds of request: one of several common openings, one
// of several sessions, a prompt of its own, and an answer.
type requestKind struct {
	perSecond         float64
	openings, opening int
	sessions, session int
	prompt, tokens    int
	deadline          time.Duration
	hotFrom, hotTo    time.Duration
	hotShare          float64
}

// userKinds returns the users' three kinds of request. The constants below describe their
// engines: tokens read in a second, the pause between two tokens of a request alone and
// what each further request adds, and tokens copied in a second.
func userKinds() []requestKind {
	return []requestKind{
		{perSecond: 526, openings: 4, opening: 2520, sessions: 1790, session: 6100, prompt: 580, tokens: 52, deadline: 600 * time.Millisecond},
		{perSecond: 367, openings: 160, opening: 341, sessions: 1247, session: 1700, prompt: 360, tokens: 22, deadline: 500 * time.Millisecond},
		{perSecond: 279, openings: 160, opening: 103, sessions: 947, session: 500, prompt: 110, tokens: 280, deadline: 400 * time.Millisecond},
	}
}

const (
	readPerSecond   = 42600.0
	copiedPerSecond = 140000.0
	tokenPause      = 5.55e-3
	tokenPauseMore  = 0.029e-3
	// capFactor and capSlack are what users allow an engine above the mean.
	capFactor, capSlack = 2.0, 3.0
)

type simEngine struct {
	id      string
	centre  string
	running int
	// busyUntil is when the engine will have read all that it was given.
	busyUntil time.Time
	holds     map[uint64]bool
	// refuses: connections are refused. unlisted: no longer listed. breaks: some of its
	// requests break.
	refuses, unlisted, breaks bool
}

// engineStats counts what callers got and what it cost.
type engineStats struct {
	asked, onTime, late, failed, broken int
	// overLimit holds the times of arrivals at an engine above what users allow, arrivals
	// those of all arrivals.
	overLimit, arrivals []time.Time
	// used holds the requests of the engine at each arrival, as a share of what users allow.
	used []float64
	// read, reread and copied count tokens. openings is the part of reread that belongs
	// to openings; lost counts tokens read again since no running engine holds them any
	// more.
	read, reread, copied int
	openings, lost       int
	diverted             int
}

// centres is the number of data centres.
const centres = 5

// baselineEngines is how many engines the users' rates are for.
const baselineEngines = 240

// longPromptKinds returns the kinds of a shifted workload: fewer, longer prompts from
// more callers, for 90 engines in three data centres.
func longPromptKinds() []requestKind {
	return []requestKind{
		{perSecond: 149, openings: 4, opening: 2520, sessions: 589, session: 6100, prompt: 580, tokens: 50, deadline: 600 * time.Millisecond},
		{perSecond: 183, openings: 4, opening: 341, sessions: 184, session: 1700, prompt: 360, tokens: 25, deadline: 500 * time.Millisecond},
		{perSecond: 114, openings: 8, opening: 103, sessions: 200, session: 500, prompt: 110, tokens: 280, deadline: 400 * time.Millisecond},
	}
}

// shortRequestKinds returns the kinds of users with many short requests, for 89 fast
// engines that run two each on average.
func shortRequestKinds() []requestKind {
	return []requestKind{
		{perSecond: 346, openings: 4, opening: 2520, sessions: 505, session: 6100, prompt: 580, tokens: 52, deadline: 400 * time.Millisecond},
		{perSecond: 370, openings: 40, opening: 341, sessions: 1218, session: 1700, prompt: 360, tokens: 22, deadline: 400 * time.Millisecond},
		{perSecond: 84, openings: 80, opening: 103, sessions: 183, session: 500, prompt: 110, tokens: 280, deadline: 300 * time.Millisecond},
	}
}

// newEngineFleet scales the users' rates to the number of engines.
func newEngineFleet(seed uint64, routers, lines, engines int) *engineFleet {
	f := &engineFleet{
		gossipFleet: newGossipFleet(seed, routers, lines),
		engines:     make(map[string]*simEngine),
		everRead:    make(map[uint64]bool),
		kinds:       userKinds(),
		rateFactor:  func(time.Duration) float64 { return 1 },

		readPerSecond: readPerSecond,
		pause:         tokenPause,
	}
	for i := range f.kinds {
		f.kinds[i].perSecond *= float64(engines) / baselineEngines
		f.kinds[i].sessions = f.kinds[i].sessions * engines / baselineEngines
	}
	for range routers {
		f.own = append(f.own, make(map[string]int))
	}
	for i := range engines {
		f.ids = append(f.ids, fmt.Sprintf("e-%d", i))
		f.add(fmt.Sprintf("e-%d", i), fmt.Sprintf("dc%d", i%centres))
	}
	f.list()
	return f
}

func (f *engineFleet) add(id, centre string) {
	f.engines[id] = &simEngine{id: id, centre: centre, holds: make(map[uint64]bool)}
}

// list sends the current engines to all routers.
func (f *engineFleet) list() {
	var list []directory.Replica
	for id, e := range f.engines {
		if !e.refuses && !e.unlisted {
			list = append(list, directory.Replica{ID: id, Service: "llm", Address: id, DataCentre: e.centre, Slots: 32})
		}
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range f.routers {
		b.SetReplicas(list, f.now)
	}
}

// burst multiplies the request rate for a time.
func (f *engineFleet) burst(from, to time.Duration, times float64) {
	f.rateFactor = func(at time.Duration) float64 {
		if at >= from && at < to {
			return times
		}
		return 1
	}
}

// hot lets one session draw a share of a kind for a time.
func (f *engineFleet) hot(kind int, part float64, from, to time.Duration) {
	k := &f.kinds[kind]
	k.hotShare, k.hotFrom, k.hotTo = part, from, to
}

// shift moves a share of the callers to the routers of one data centre.
func (f *engineFleet) shift(from time.Duration, part float64) {
	f.after(from, func() { f.shiftedShare = part })
}

// crash makes one in oneIn engines refuse; the list shows it later.
func (f *engineFleet) crash(at, listed time.Duration, oneIn int) {
	f.after(at, func() {
		for i := 0; i < len(f.engines); i += oneIn {
			f.engines[fmt.Sprintf("e-%d", i)].refuses = true
		}
	})
	f.after(at+listed, f.list)
}

// loseDataCentre makes the engines of a data centre refuse; the list shows it later.
func (f *engineFleet) loseDataCentre(at, listed time.Duration, centre string) {
	f.after(at, func() {
		for _, e := range f.engines {
			e.refuses = e.refuses || e.centre == centre
		}
	})
	f.after(at+listed, f.list)
}

// release replaces some engines one after the other; each new one is listed first.
func (f *engineFleet) release(from, gap time.Duration, engines int) {
	for i := range engines {
		f.after(from+time.Duration(i)*gap, func() {
			old := f.engines[fmt.Sprintf("e-%d", i)]
			f.add(fmt.Sprintf("new-%d", i), old.centre)
			old.unlisted = true
			f.list()
		})
	}
}

// breakStreams breaks a share of the requests at a share of the engines for a time.
func (f *engineFleet) breakStreams(from, to time.Duration, engines, requests float64) {
	f.after(from, func() {
		f.breakShare = requests
		ids := slices.Sorted(maps.Keys(f.engines))
		for n, id := range ids {
			f.engines[id].breaks = float64(n) < engines*float64(len(ids))
		}
	})
	f.after(to, func() { f.breakShare = 0 })
}

// router draws a router for a request.
func (f *engineFleet) router() int {
	router := f.random.IntN(len(f.routers))
	if f.random.Float64() < f.shiftedShare {
		router -= router % centres
	}
	return router
}

// simulate runs the fleet; counting begins after the warm-up.
func (f *engineFleet) simulate(warm, length time.Duration) engineStats {
	for i := range f.kinds {
		f.after(0, func() { f.arrive(i) })
	}
	f.run(warm)
	f.stats = engineStats{}
	f.run(length)
	return f.stats
}

func (f *engineFleet) arrive(kind int) {
	k := &f.kinds[kind]
	at := f.now.Sub(start)
	f.after(time.Duration(f.random.ExpFloat64()/(k.perSecond*f.rateFactor(at))*float64(time.Second)), func() { f.arrive(kind) })
	session := f.random.IntN(k.sessions)
	if at >= k.hotFrom && at < k.hotTo && f.random.Float64() < k.hotShare {
		session = 0
	}
	parts := []Part{
		{ID: mixBits(uint64(kind+1)<<32 | uint64(session%k.openings)), Tokens: k.opening},
		{ID: mixBits(uint64(kind+1)<<40 | uint64(session)), Tokens: k.session},
		{ID: f.random.Uint64(), Tokens: k.prompt},
	}
	f.stats.asked++
	f.send(k, f.router(), parts, nil, f.now)
}

func (f *engineFleet) send(k *requestKind, router int, parts []Part, tried []string, arrived time.Time) {
	b := f.routers[router]
	choice, found := f.pick(router, parts, tried)
	if !found {
		f.stats.failed++
		return
	}
	e := f.engines[choice.Replica.ID]
	if e.refuses {
		b.RequestFailed(e.id, Refused, "", f.now)
		f.send(k, router, parts, append(tried, e.id), arrived)
		return
	}
	f.stats.arrivals = append(f.stats.arrivals, f.now)
	f.countOverLimit(e)
	if choice.PassedOver != "" {
		f.stats.diverted++
	}
	b.RequestStarted(e.id)
	e.running++
	f.own[router][e.id]++
	first := f.read(e, f.engines[choice.CopySource], parts)
	f.after(first, func() {
		if f.now.Sub(arrived) <= k.deadline {
			f.stats.onTime++
		} else {
			f.stats.late++
		}
		b.RequestSucceeded(e.id, parts, f.now)
		b.LoadReported(e.id, e.running, f.now)
	})
	made := float64(k.tokens) * f.random.ExpFloat64()
	broken := e.breaks && f.breakShare > 0 && f.random.Float64() < f.breakShare
	if broken {
		made *= f.random.Float64()
	}
	pause := f.pause + tokenPauseMore*float64(e.running)
	f.after(first+time.Duration(made*pause*float64(time.Second)), func() {
		e.running--
		f.own[router][e.id]--
		b.RequestFinished(e.id)
		if broken {
			f.stats.broken++
			b.RequestFailed(e.id, Broke, e.centre, f.now)
		}
	})
}

func (f *engineFleet) pick(router int, parts []Part, tried []string) (Choice, bool) {
	if f.choice == nil {
		return f.routers[router].Pick(Request{Service: "llm", DataCentre: fmt.Sprintf("dc%d", router%centres), Parts: parts, Tried: tried}, f.now)
	}
	return Choice{Replica: directory.Replica{ID: f.choice(f, router, parts)}}, true
}

// countOverLimit counts an arrival at an engine that has more than users allow.
func (f *engineFleet) countOverLimit(e *simEngine) {
	total, engines := 0, 0
	for _, other := range f.engines {
		if !other.refuses {
			total += other.running
			engines++
		}
	}
	used := float64(e.running) / (capFactor*float64(total)/float64(engines) + capSlack)
	f.stats.used = append(f.stats.used, used)
	if used > 1 {
		f.stats.overLimit = append(f.stats.overLimit, f.now)
	}
}

// read lets an engine copy and read what it lacks, and returns how long that takes.
func (f *engineFleet) read(e, source *simEngine, parts []Part) time.Duration {
	seconds := 0.0
	whole := true
	for i, p := range parts {
		if whole = whole && e.holds[p.ID]; whole {
			continue
		}
		shared := i < len(parts)-1
		if shared && source != nil && !source.refuses && source.holds[p.ID] {
			f.stats.copied += p.Tokens
			seconds += float64(p.Tokens) / copiedPerSecond
		} else {
			f.stats.read += p.Tokens
			seconds += float64(p.Tokens) / f.readPerSecond
			if shared && f.isHeld(p.ID) {
				f.stats.reread += p.Tokens
				if i == 0 {
					f.stats.openings += p.Tokens
				}
			} else if shared && f.everRead[p.ID] {
				f.stats.lost += p.Tokens
			}
		}
		if shared {
			e.holds[p.ID], f.everRead[p.ID] = true, true
		}
	}
	begins := f.now
	if e.busyUntil.After(begins) {
		begins = e.busyUntil
	}
	e.busyUntil = begins.Add(time.Duration(seconds * float64(time.Second)))
	return e.busyUntil.Sub(f.now) + time.Duration(math.Ceil(f.pause*float64(time.Second)))
}

// isHeld reports whether some engine holds a part.
func (f *engineFleet) isHeld(part uint64) bool {
	for _, e := range f.engines {
		if !e.refuses && e.holds[part] {
			return true
		}
	}
	return false
}
