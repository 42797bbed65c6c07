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

// engineFleet plays a large fleet of routers before engines that keep what they read.
// An engine reads prompts one after the other and then makes tokens for all requests at
// once, the slower the more there are.
type engineFleet struct {
	*tellingFleet
	engines map[string]*simEngine
	// once are the parts that some engine has read.
	once  map[uint64]bool
	kinds []requestKind
	times func(at time.Duration) float64
	stats engineStats
	// shifted is the part of the callers that come to the first data centre.
	shifted float64
	// breaking is the part of the requests that break at the engines that do so.
	breaking float64
	// readPerSecond and pause are the engines' tokens read in a second, and the seconds
	// between two tokens of one that is alone.
	readPerSecond, pause float64
}

// requestKind is one of the users' kinds of request: a common opening, one of so many
// sessions, a prompt of its own, and an answer.
type requestKind struct {
	perSecond         float64
	openings, opening int
	sessions, session int
	prompt, tokens    int
	aim               time.Duration
	hotFrom, hotTo    time.Duration
	hotPart           float64
}

// The users' three kinds, and their engines: tokens read in a second, the pause between
// two tokens alone and what each further request adds, and the tokens that are copied
// in a second.
func userKinds() []requestKind {
	return []requestKind{
		{perSecond: 526, openings: 4, opening: 2520, sessions: 1790, session: 6100, prompt: 580, tokens: 52, aim: 600 * time.Millisecond},
		{perSecond: 367, openings: 160, opening: 341, sessions: 1247, session: 1700, prompt: 360, tokens: 22, aim: 500 * time.Millisecond},
		{perSecond: 279, openings: 160, opening: 103, sessions: 947, session: 500, prompt: 110, tokens: 280, aim: 400 * time.Millisecond},
	}
}

const (
	readPerSecond   = 42600.0
	copiedPerSecond = 140000.0
	tokenPause      = 5.55e-3
	tokenPauseMore  = 0.029e-3
	// capFactor and capSlack are what the users allow an engine above the mean.
	capFactor, capSlack = 2.0, 3.0
)

type simEngine struct {
	id      string
	centre  string
	running int
	// reading is until when it reads what it was given.
	reading time.Time
	keeps   map[uint64]bool
	// gone: it refuses. drains: it is listed no more. breaks: some of what it runs breaks.
	gone, drains, breaks bool
}

// engineStats are what callers got and what it took.
type engineStats struct {
	asked, inAim, late, failed, broken int
	// over are when requests arrived at an engine above what the users allow, arrivals
	// when any did.
	over, arrivals []time.Time
	// read, again and copied are tokens; of again, openings are those of openings, and
	// lost those that no engine holds any more which once read them.
	read, again, copied int
	openings, lost      int
	diverted            int
}

// centres is how many data centres there are.
const centres = 5

// usualEngines is how many engines the users' kinds of request are for.
const usualEngines = 240

// shiftedKinds are the users' whose work has shifted: fewer, longer prompts of more callers
// before 90 engines in three data centres.
func shiftedKinds() []requestKind {
	return []requestKind{
		{perSecond: 149, openings: 4, opening: 2520, sessions: 589, session: 6100, prompt: 580, tokens: 50, aim: 600 * time.Millisecond},
		{perSecond: 183, openings: 4, opening: 341, sessions: 184, session: 1700, prompt: 360, tokens: 25, aim: 500 * time.Millisecond},
		{perSecond: 114, openings: 8, opening: 103, sessions: 200, session: 500, prompt: 110, tokens: 280, aim: 400 * time.Millisecond},
	}
}

// palletKinds are those of users with many short requests, at 89 fast engines that run two
// each in the mean.
func palletKinds() []requestKind {
	return []requestKind{
		{perSecond: 346, openings: 4, opening: 2520, sessions: 505, session: 6100, prompt: 580, tokens: 52, aim: 400 * time.Millisecond},
		{perSecond: 370, openings: 40, opening: 341, sessions: 1218, session: 1700, prompt: 360, tokens: 22, aim: 400 * time.Millisecond},
		{perSecond: 84, openings: 80, opening: 103, sessions: 183, session: 500, prompt: 110, tokens: 280, aim: 300 * time.Millisecond},
	}
}

// newEngineFleet has so much asked of the engines as the users ask of theirs.
func newEngineFleet(seed uint64, routers, lines, engines int) *engineFleet {
	f := &engineFleet{
		tellingFleet: newTellingFleet(seed, routers, lines),
		engines:      make(map[string]*simEngine),
		once:         make(map[uint64]bool),
		kinds:        userKinds(),
		times:        func(time.Duration) float64 { return 1 },

		readPerSecond: readPerSecond,
		pause:         tokenPause,
	}
	for i := range f.kinds {
		f.kinds[i].perSecond *= float64(engines) / usualEngines
		f.kinds[i].sessions = f.kinds[i].sessions * engines / usualEngines
	}
	for i := range engines {
		f.add(fmt.Sprintf("e-%d", i), fmt.Sprintf("dc%d", i%centres))
	}
	f.list()
	return f
}

func (f *engineFleet) add(id, centre string) {
	f.engines[id] = &simEngine{id: id, centre: centre, keeps: make(map[uint64]bool)}
}

// list gives all routers the engines that are there.
func (f *engineFleet) list() {
	var list []directory.Replica
	for id, e := range f.engines {
		if !e.gone && !e.drains {
			list = append(list, directory.Replica{ID: id, Service: "llm", Address: id, DataCentre: e.centre, Slots: 32})
		}
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range f.routers {
		b.SetReplicas(list, f.now)
	}
}

// burst multiplies what is asked for a time.
func (f *engineFleet) burst(from, to time.Duration, times float64) {
	f.times = func(at time.Duration) float64 {
		if at >= from && at < to {
			return times
		}
		return 1
	}
}

// hot has one session draw a part of a kind for a time.
func (f *engineFleet) hot(kind int, part float64, from, to time.Duration) {
	k := &f.kinds[kind]
	k.hotPart, k.hotFrom, k.hotTo = part, from, to
}

// shift has a part of the callers come to the routers of one data centre from a time on.
func (f *engineFleet) shift(from time.Duration, part float64) {
	f.after(from, func() { f.shifted = part })
}

// crash has one in so many engines refuse from a time on; the list tells later.
func (f *engineFleet) crash(at, listed time.Duration, oneIn int) {
	f.after(at, func() {
		for i := 0; i < len(f.engines); i += oneIn {
			f.engines[fmt.Sprintf("e-%d", i)].gone = true
		}
	})
	f.after(at+listed, f.list)
}

// lose has the engines of a data centre refuse from a time on; the list tells later.
func (f *engineFleet) lose(at, listed time.Duration, centre string) {
	f.after(at, func() {
		for _, e := range f.engines {
			e.gone = e.gone || e.centre == centre
		}
	})
	f.after(at+listed, f.list)
}

// release replaces some engines from a time on, one after the other: the new one is listed
// first.
func (f *engineFleet) release(from, gap time.Duration, engines int) {
	for i := range engines {
		f.after(from+time.Duration(i)*gap, func() {
			old := f.engines[fmt.Sprintf("e-%d", i)]
			f.add(fmt.Sprintf("new-%d", i), old.centre)
			old.drains = true
			f.list()
		})
	}
}

// breakOff has a part of the requests break at a part of the engines for a time.
func (f *engineFleet) breakOff(from, to time.Duration, engines, requests float64) {
	f.after(from, func() {
		f.breaking = requests
		ids := slices.Sorted(maps.Keys(f.engines))
		for n, id := range ids {
			f.engines[id].breaks = float64(n) < engines*float64(len(ids))
		}
	})
	f.after(to, func() { f.breaking = 0 })
}

// router draws one for a request.
func (f *engineFleet) router() int {
	router := f.random.IntN(len(f.routers))
	if f.random.Float64() < f.shifted {
		router -= router % centres
	}
	return router
}

// play plays for a time; what is counted begins after the first part of it.
func (f *engineFleet) play(warm, length time.Duration) engineStats {
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
	f.after(time.Duration(f.random.ExpFloat64()/(k.perSecond*f.times(at))*float64(time.Second)), func() { f.arrive(kind) })
	session := f.random.IntN(k.sessions)
	if at >= k.hotFrom && at < k.hotTo && f.random.Float64() < k.hotPart {
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
	choice, found := b.Pick(Request{Service: "llm", DataCentre: fmt.Sprintf("dc%d", router%centres), Parts: parts, Tried: tried}, f.now)
	if !found {
		f.stats.failed++
		return
	}
	e := f.engines[choice.Replica.ID]
	if e.gone {
		b.RequestFailed(e.id, Refused, "", f.now)
		f.send(k, router, parts, append(tried, e.id), arrived)
		return
	}
	f.stats.arrivals = append(f.stats.arrivals, f.now)
	f.look(e)
	if choice.PassedOver != "" {
		f.stats.diverted++
	}
	b.RequestStarted(e.id)
	e.running++
	first := f.read(e, f.engines[choice.CopySource], parts)
	f.after(first, func() {
		if f.now.Sub(arrived) <= k.aim {
			f.stats.inAim++
		} else {
			f.stats.late++
		}
		b.RequestSucceeded(e.id, parts, f.now)
		b.LoadReported(e.id, e.running, f.now)
	})
	made := float64(k.tokens) * f.random.ExpFloat64()
	broken := e.breaks && f.breaking > 0 && f.random.Float64() < f.breaking
	if broken {
		made *= f.random.Float64()
	}
	pause := f.pause + tokenPauseMore*float64(e.running)
	f.after(first+time.Duration(made*pause*float64(time.Second)), func() {
		e.running--
		b.RequestFinished(e.id)
		if broken {
			f.stats.broken++
			b.RequestFailed(e.id, Broke, e.centre, f.now)
		}
	})
}

// look counts an arrival at an engine that holds more than the users allow.
func (f *engineFleet) look(e *simEngine) {
	total, engines := 0, 0
	for _, other := range f.engines {
		if !other.gone {
			total += other.running
			engines++
		}
	}
	if float64(e.running) > capFactor*float64(total)/float64(engines)+capSlack {
		f.stats.over = append(f.stats.over, f.now)
	}
}

// read has an engine copy and read what it lacks, and returns how long that takes.
func (f *engineFleet) read(e, source *simEngine, parts []Part) time.Duration {
	seconds := 0.0
	whole := true
	for i, p := range parts {
		if whole = whole && e.keeps[p.ID]; whole {
			continue
		}
		shared := i < len(parts)-1
		if shared && source != nil && !source.gone && source.keeps[p.ID] {
			f.stats.copied += p.Tokens
			seconds += float64(p.Tokens) / copiedPerSecond
		} else {
			f.stats.read += p.Tokens
			seconds += float64(p.Tokens) / f.readPerSecond
			if shared && f.kept(p.ID) {
				f.stats.again += p.Tokens
				if i == 0 {
					f.stats.openings += p.Tokens
				}
			} else if shared && f.once[p.ID] {
				f.stats.lost += p.Tokens
			}
		}
		if shared {
			e.keeps[p.ID], f.once[p.ID] = true, true
		}
	}
	begins := f.now
	if e.reading.After(begins) {
		begins = e.reading
	}
	e.reading = begins.Add(time.Duration(seconds * float64(time.Second)))
	return e.reading.Sub(f.now) + time.Duration(math.Ceil(f.pause*float64(time.Second)))
}

// kept tells whether some engine keeps a part.
func (f *engineFleet) kept(part uint64) bool {
	for _, e := range f.engines {
		if !e.gone && e.keeps[part] {
			return true
		}
	}
	return false
}

// worstOver returns the greatest share of arrivals above what the users allow in any
// five seconds.
func (s *engineStats) worstOver() float64 {
	const window = 5 * time.Second
	worst := 0.0
	for i, from := range s.over {
		to := from.Add(window)
		over, _ := slices.BinarySearchFunc(s.over, to, time.Time.Compare)
		first, _ := slices.BinarySearchFunc(s.arrivals, from, time.Time.Compare)
		last, _ := slices.BinarySearchFunc(s.arrivals, to, time.Time.Compare)
		// What came before the window's end only.
		if last < len(s.arrivals) {
			worst = max(worst, float64(over-i)/float64(last-first))
		}
	}
	return worst
}
