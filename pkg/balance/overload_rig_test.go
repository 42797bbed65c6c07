package balance

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/overload"
)

// The deployment of docs/overload-brief.md: 143 routers in three data centres and a plain
// service of three replicas, which run 300 requests a second at most.
const (
	overloadRouters = 143
	// overloadLines is the number of lines; 12 give a router 22 partners.
	overloadLines         = 12
	overloadReplicaCount  = 3
	overloadOrganisations = 24
	// overloadRate is the demand in calm times, in requests a second, and
	// repeatableFraction the part of it that may be sent to two replicas.
	overloadRate       = 100.0
	repeatableFraction = 0.29
	// longWork is the multiple of the usual work that 1 in 100 requests take.
	longWork = 5.0
	// overloadFrom and overloadTo are the time in which the load is unusual. What arrives
	// in it is counted.
	overloadFrom, overloadTo = 5 * time.Second, 35 * time.Second
	// smallFleet is the largest fleet in which each router tells every other one of its load.
	smallFleet = 12
	// silenceNoticed is how long the routers of a data centre are silent before it counts
	// as unreachable: 1.3 gossip rounds.
	silenceNoticed = 780 * time.Millisecond
)

// overloadLoad is what happens at the service, and who takes part in it.
type overloadLoad struct {
	// times returns the multiple of its usual rate at which an organisation sends a kind
	// of call; nil for 1.
	times func(organisation int, repeatable bool) float64
	// impatient: callers above their usual rate repeat at once, three times.
	impatient bool
	// change alters the fleet at overloadFrom.
	change func(f *overloadFleet)
	// capacity is the multiple of the usual capacity that is left; 0 for 1.
	capacity float64
	// routers is how many there are; 0 for overloadRouters.
	routers int
}

func (l overloadLoad) timesOf(organisation int, repeatable bool) float64 {
	if l.times == nil {
		return 1
	}
	return l.times(organisation, repeatable)
}

// overloadFleet is the fleet in front of a service that organisations share.
type overloadFleet struct {
	*plainFleet
	seed  uint64
	load  overloadLoad
	rates bool
	// weights are the organisations' parts of the usual demand.
	weights []float64
	got     overloadResult
}

// overloadResult counts what callers got that arrived while the load was unusual.
type overloadResult struct {
	stats plainStats
	// asked and served count by organisation.
	asked, served [overloadOrganisations]int
	refused       int
	// usual counts the requests of those who did nothing unusual, with the time until their
	// answers.
	usual struct {
		asked, served, onTime int
		took                  []time.Duration
	}
	onTime int
}

// newOverloadFleet returns a fleet with or without controllers that admit, and with or
// without placement by rate.
func newOverloadFleet(seed uint64, load overloadLoad, admission, rates bool) *overloadFleet {
	routers := cmp.Or(load.routers, overloadRouters)
	f := &overloadFleet{plainFleet: newPlainFleet(seed, routers, min(overloadLines, routers), 0), seed: seed, load: load, rates: rates}
	f.centres, f.timed, f.admission = 3, true, admission
	f.arrivals = rand.New(rand.NewPCG(seed, seed+1))
	for i := range overloadReplicaCount {
		f.replicas[fmt.Sprintf("p-%d", i)] = &plainReplica{id: fmt.Sprintf("p-%d", i)}
	}
	f.list()
	if admission || rates {
		f.controllers = make([]*overload.Controller, routers)
		for i := range f.controllers {
			f.restart(i)
		}
	}
	total := 0.0
	for i := range overloadOrganisations {
		f.weights = append(f.weights, 1/float64(i+1))
		total += f.weights[i]
	}
	for i := range f.weights {
		f.weights[i] /= total
	}
	f.perSecond = func(at time.Duration) float64 { return f.demand(at, -1) }
	f.ask, f.ended = f.askAs, f.count
	return f
}

// restart replaces a router by one that knows the replicas only.
func (f *overloadFleet) restart(router int) {
	b := New(f.seed + uint64(router) + uint64(f.now.Sub(start)))
	b.SetLargeFleet(len(f.routers) > smallFleet)
	b.SetReplicas(f.listed(), f.now)
	f.routers[router] = b
	if f.controllers != nil {
		f.controllers[router] = overload.New(f.seed + uint64(router))
		if f.rates {
			b.SetEstimator(f.controllers[router])
		}
	}
}

// demand returns the request rate of an organisation, or of all for -1.
func (f *overloadFleet) demand(at time.Duration, organisation int) float64 {
	total := 0.0
	for i, weight := range f.weights {
		if organisation >= 0 && i != organisation {
			continue
		}
		if at < overloadFrom || at >= overloadTo {
			total += weight * overloadRate
			continue
		}
		total += weight * overloadRate * (repeatableFraction*f.load.timesOf(i, true) + (1-repeatableFraction)*f.load.timesOf(i, false))
	}
	return total
}

// askAs draws who sends a request, and what it is.
func (f *overloadFleet) askAs(r *plainRequest) {
	at := f.now.Sub(start)
	point := f.arrivals.Float64() * f.demand(at, -1)
	for point -= f.demand(at, 0); point >= 0 && r.organisation < overloadOrganisations-1; point -= f.demand(at, r.organisation) {
		r.organisation++
	}
	during := at >= overloadFrom && at < overloadTo
	repeatable, once := repeatableFraction, 1-repeatableFraction
	if during {
		repeatable *= f.load.timesOf(r.organisation, true)
		once *= f.load.timesOf(r.organisation, false)
	}
	r.attempts, r.repeats = 1, 1
	if f.arrivals.Float64()*(repeatable+once) < repeatable {
		r.attempts = 2
	}
	if f.load.impatient && f.unusual(r) {
		r.impatient, r.repeats = true, 3
	}
	r.work = drawWork(f.arrivals) / (1 + 0.01*(longWork-1))
	if f.arrivals.IntN(100) == 0 {
		r.work *= longWork
	}
	if !during {
		return
	}
	f.got.asked[r.organisation]++
	if !f.unusual(r) {
		f.got.usual.asked++
	}
}

// unusual tells whether a request belongs to those that are sent more often than usual.
func (f *overloadFleet) unusual(r *plainRequest) bool {
	return f.load.timesOf(r.organisation, r.attempts == 2) > 1
}

// count records how a request ended.
func (f *overloadFleet) count(r *plainRequest, served bool) {
	if at := r.arrived.Sub(start); at < overloadFrom || at >= overloadTo {
		return
	}
	if !served {
		f.got.refused++
		return
	}
	took := f.now.Sub(r.arrived)
	f.got.served[r.organisation]++
	if took <= plainDeadline {
		f.got.onTime++
	}
	if f.unusual(r) {
		return
	}
	f.got.usual.served++
	f.got.usual.took = append(f.got.usual.took, took)
	if took <= plainDeadline {
		f.got.usual.onTime++
	}
}

// playOverload runs a load and returns what callers got.
func playOverload(seed uint64, load overloadLoad, admission, rates bool) overloadResult {
	f := newOverloadFleet(seed, load, admission, rates)
	if load.change != nil {
		f.after(overloadFrom, func() { load.change(f) })
	}
	f.got.stats = f.simulate(overloadTo + plainPatience)
	slices.Sort(f.got.usual.took)
	return f.got
}

func (g overloadResult) askedInAll() int {
	total := 0
	for _, n := range g.asked {
		total += n
	}
	return total
}

// usualServed is the part of the usual requests that is answered.
func (g overloadResult) usualServed() float64 {
	return float64(g.usual.served) / float64(max(g.usual.asked, 1))
}

// usualP95 is the time in which 95 in 100 answers to usual requests come.
func (g overloadResult) usualP95() time.Duration {
	if len(g.usual.took) == 0 {
		return 0
	}
	return g.usual.took[len(g.usual.took)*95/100]
}

func (g overloadResult) String() string {
	return fmt.Sprintf("usual: asked %d served %.3f in time %.3f p95 %v; all: asked %d in time %.3f refused %d, refusals by routers %d, by replicas %d",
		g.usual.asked, g.usualServed(), float64(g.usual.onTime)/float64(max(g.usual.asked, 1)), g.usualP95().Round(time.Millisecond),
		g.askedInAll(), float64(g.onTime)/float64(g.askedInAll()), g.refused, g.stats.limited, g.stats.shed)
}

// fairParts divides what can be served among organisations by max-min fairness.
func fairParts(asked [overloadOrganisations]int, room float64) [overloadOrganisations]float64 {
	var parts [overloadOrganisations]float64
	order := make([]int, overloadOrganisations)
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(asked[a], asked[b]) })
	for i, organisation := range order {
		parts[organisation] = min(float64(asked[organisation]), room/float64(len(order)-i))
		room -= parts[organisation]
	}
	return parts
}

// isolate cuts data centre 0 off. Routers notice the silence later.
func isolate(f *overloadFleet) {
	f.isolated = 0
	f.after(silenceNoticed, func() {
		for i, b := range f.routers {
			for centre := range f.centres {
				if !f.sameSide(i%f.centres, centre) {
					b.SetCentreSilent(fmt.Sprintf("dc%d", centre), true)
				}
			}
		}
	})
}

// firstAt returns the demand while the largest organisation sends a multiple of its usual.
func firstAt(times float64) func(int, bool) float64 {
	return func(organisation int, _ bool) float64 {
		if organisation == 0 {
			return times
		}
		return 1
	}
}

func allAt(times float64) func(int, bool) float64 {
	return func(int, bool) float64 { return times }
}

// onceAt returns the demand while the route of calls that may be sent to one replica only
// is called a multiple of its usual.
func onceAt(times float64) func(int, bool) float64 {
	return func(_ int, repeatable bool) float64 {
		if repeatable {
			return 1
		}
		return times
	}
}

func loseOne(f *overloadFleet) { f.replace("p-0", "") }

func restartHalf(f *overloadFleet) { f.restartEach(2) }

func restartAll(f *overloadFleet) { f.restartEach(1) }

// restartEach restarts one router of so many.
func (f *overloadFleet) restartEach(n int) {
	for i := 0; i < len(f.routers); i += n {
		f.restart(i)
	}
}

// slowForAThird makes a replica take 2.5 times as long for 0.6 s of each 1.8 s.
func slowForAThird(f *overloadFleet) {
	f.slowdown = func(id string) float64 {
		if id == "p-0" && f.now.Sub(start)%(1800*time.Millisecond) < 600*time.Millisecond {
			return 2.5
		}
		return 1
	}
}
