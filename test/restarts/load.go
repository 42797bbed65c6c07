package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/platform"
)

// load is nothing but load: what callers lose who keep their connections until these are gone.
type load struct{}

// What callers send.
const (
	loadRequests = "requests"
	// loadOneVersion and loadTwoVersions: streams, of one or two software versions.
	loadOneVersion  = "streams of one version"
	loadTwoVersions = "streams of two versions"
)

const (
	loadReplicas = 6
	loadWork     = 50 * time.Millisecond
	// loadEvents is the length of a stream: most outlast a planned stop.
	loadEvents = 60
	loadBefore = 2 * time.Second
	loadAfter  = 3 * time.Second
	// loadTries is after how many tries in a row without an answer a caller gives up.
	loadTries = 4
	// probePeriod and missesOut are those of the load balancer: a router that stops is out of the
	// rotation within a quarter of its grace time.
	probePeriod = graceTime / 8
	missesOut   = 2
	// loadRetry is the pause before the next try.
	loadRetry = 50 * time.Millisecond
	// loadRequestCallers and loadStreamCallers are callers per router.
	loadRequestCallers = 6
	loadStreamCallers  = 8
)

func (load) name() string                    { return "load" }
func (load) changes() []string               { return []string{loadRequests, loadOneVersion, loadTwoVersions} }
func (load) lifetime(scenario) time.Duration { return loadEvents*eventGap + listLag }

// journey is one thing that a caller wants, over all its tries.
type journey struct {
	tries []*exchange
	// events is the length of a stream; 0 for a plain request.
	events int
}

// received is how many events of a stream came.
func (j *journey) received() int {
	n := 0
	for _, e := range j.tries {
		n += len(e.events)
	}
	return n
}

// served reports whether the caller has got everything.
func (j *journey) served() bool {
	last := j.tries[len(j.tries)-1]
	if j.events > 0 {
		return j.received() == j.events
	}
	return last.whole && last.status == http.StatusOK
}

// again reports whether a caller tries again: what was refused, and a stream that broke off.
func (j *journey) again() bool {
	vain := 0
	for _, e := range slices.Backward(j.tries) {
		if len(e.events) > 0 {
			break
		}
		vain++
	}
	last := j.tries[len(j.tries)-1]
	return !j.served() && vain < loadTries && (last.refused() || j.received() > 0)
}

// loadCaller sends one thing after another on a connection that it keeps.
type loadCaller struct {
	fleet  *fleet
	client *http.Client
	rnd    *rand.Rand
	// rotation are the routers to which new connections may go.
	rotation *atomic.Pointer[[]int]
	// at is the router that it is connected to.
	at   int
	sent []*journey
}

// run sends what next returns until ctx ends. What is under way comes to its end.
func (c *loadCaller) run(ctx context.Context, pause time.Duration, next func() (e *exchange, events int)) {
	for ctx.Err() == nil {
		e, events := next()
		j := &journey{events: events}
		c.send(j, e)
		for j.again() {
			time.Sleep(loadRetry)
			first := j.tries[0]
			e := &exchange{id: c.fleet.newID(), path: first.path, body: first.body, deadline: first.deadline}
			if n := j.received(); n > 0 {
				begun := slices.IndexFunc(j.tries, func(e *exchange) bool { return len(e.events) > 0 })
				e.resumes, e.after = j.tries[begun].id, n
			}
			c.send(j, e)
		}
		c.sent = append(c.sent, j)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// send makes one try. A caller goes to another router when nobody listens any more, or after an
// answer that was the last of its connection or did not come to its end.
func (c *loadCaller) send(j *journey, e *exchange) {
	e.client = c.client
	routers := c.fleet.routers
	for range routers {
		// An error of an earlier router says nothing of the next one.
		e.err = nil
		c.fleet.send(context.Background(), routers[c.at], e, func(seen) bool { return true })
		if !errors.Is(e.err, syscall.ECONNREFUSED) {
			break
		}
		c.move()
	}
	j.tries = append(j.tries, e)
	if e.closes || !e.whole || e.refused() {
		c.move()
	}
}

// move goes to a router to which the load balancer opens connections, another one if there is any.
func (c *loadCaller) move() {
	open := slices.DeleteFunc(slices.Clone(*c.rotation.Load()), func(n int) bool { return n == c.at })
	if len(open) > 0 {
		c.at = open[c.rnd.IntN(len(open))]
	}
}

// balance keeps the routers to which a load balancer opens connections: it probes their readiness, and
// takes out those that missed two probes in a row. It returns once ctx ends.
func (f *fleet) balance(ctx context.Context, rotation *atomic.Pointer[[]int]) {
	missed := make([]int, f.size)
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		var open []int
		for n, r := range f.routers {
			missed[n]++
			probe, cancel := context.WithTimeout(ctx, probePeriod)
			if r.ready(probe) {
				missed[n] = 0
			}
			cancel()
			if missed[n] < missesOut {
				open = append(open, n)
			}
		}
		rotation.Store(&open)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (l load) play(f *fleet) (outcome, error) {
	configuration := plainConfiguration(1, key)
	stream := streams{}.configuration(f.scenario).Routes[0]
	stream.TimeoutMS = float64((loadEvents*eventGap + listLag).Milliseconds())
	configuration.Routes = append(configuration.Routes, stream)
	f.store.Put(platform.ConfigKey, configuration)
	f.copied = f.store.Copy()
	if err := l.serve(f); err != nil {
		return outcome{}, err
	}
	if err := f.start(); err != nil {
		return outcome{}, err
	}
	callers, stop := l.begin(f)
	time.Sleep(loadBefore)
	before, ended := f.calls(), time.Now()
	err := f.endAndReturn(func() {}, func() {})
	if err == nil {
		time.Sleep(loadAfter)
	}
	stop()
	if err != nil {
		return outcome{}, err
	}
	var sent []*journey
	for _, c := range callers {
		sent = append(sent, c.sent...)
	}
	o := l.check(f, sent, ended)
	o.before, o.since = before, f.calls().since(before)
	return o, nil
}

// serve starts the replicas.
func (load) serve(f *fleet) error {
	const slots = 64
	o := standin.ReplicaOptions{Slots: slots, Work: loadWork, Version: oldVersion}
	if f.change != loadRequests {
		o.Work, o.Pieces, o.Gap = firstEvent, loadEvents, eventGap
	}
	if _, err := f.addReplicas("old", loadReplicas/2, o); err != nil {
		return err
	}
	if f.change == loadTwoVersions {
		o.Version = newVersion
	}
	_, err := f.addReplicas("new", loadReplicas/2, o)
	return err
}

// begin starts the callers. stop waits for what they have under way.
func (load) begin(f *fleet) (callers []*loadCaller, stop func()) {
	const pause = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	probing, endProbing := context.WithCancel(context.Background())
	var all, balancer sync.WaitGroup
	rotation := &atomic.Pointer[[]int]{}
	rotation.Store(&[]int{})
	balancer.Go(func() { f.balance(probing, rotation) })
	each := loadStreamCallers
	if f.change == loadRequests {
		each = loadRequestCallers
	}
	for n := range each * f.size {
		transport := &http.Transport{MaxIdleConnsPerHost: 1}
		c := &loadCaller{fleet: f, client: &http.Client{Transport: transport}, rnd: rand.New(rand.NewPCG(f.seed, uint64(n))), rotation: rotation, at: n % f.size}
		callers = append(callers, c)
		next := func() (*exchange, int) { return f.plain([]string{pathOnce, pathRepeat}[n/f.size%2]), 0 }
		if f.change != loadRequests {
			next = func() (*exchange, int) {
				id := f.newID()
				return &exchange{id: id, path: "/stream/x", body: "body " + id, deadline: loadEvents*eventGap + listLag}, loadEvents
			}
		}
		all.Go(func() {
			defer transport.CloseIdleConnections()
			if f.change != loadRequests {
				// Streams that begin together would all be young, or all be old, at an end.
				time.Sleep(time.Duration(n) * loadEvents * eventGap / time.Duration(each*f.size) / 2)
			}
			c.run(ctx, pause, next)
		})
	}
	return callers, func() {
		cancel()
		all.Wait()
		endProbing()
		balancer.Wait()
	}
}

// check counts what was sent after the first end, and what was lost. A planned stop is to cut no
// request that ends within its grace time.
func (load) check(f *fleet, sent []*journey, ended time.Time) outcome {
	var o outcome
	ran := make(map[string]int)
	for _, r := range f.runs() {
		if !r.Refused {
			ran[r.Attempt]++
		}
	}
	var first, brokenOff, wentOn, refusals, cut int
	for _, j := range sent {
		last := j.tries[len(j.tries)-1]
		if last.sent.Before(ended) && j.served() {
			continue
		}
		o.asked++
		for _, e := range j.tries {
			if e.refused() {
				refusals++
				o.slowest = max(o.slowest, e.headAfter)
				if ran[e.id] > 0 {
					o.violations = append(o.violations, fmt.Sprintf("%s was refused with %d and ran", e.id, e.status))
				}
			}
			if ran[e.id] > 1 && e.path == pathOnce {
				o.violations = append(o.violations, fmt.Sprintf("%s ran %d times", e.id, ran[e.id]))
			}
		}
		begun := slices.IndexFunc(j.tries, func(e *exchange) bool { return len(e.events) > 0 })
		switch {
		case j.events > 0 && begun >= 0 && len(j.tries[begun].events) < j.events:
			brokenOff++
			if j.served() {
				wentOn++
			}
		case j.events == 0 && !j.tries[0].refused() && !j.tries[0].whole:
			late := errors.Is(last.err, context.DeadlineExceeded)
			if late {
				o.late++
			} else {
				cut++
			}
			if f.end == endUpdate && !late {
				o.violations = append(o.violations, fmt.Sprintf("%s got no whole answer from %s after %s: status %d, %v", last.id, last.router, last.headAfter, last.status, last.err))
			}
		}
		if e := j.tries[0]; !e.whole || e.status != http.StatusOK {
			first++
		}
		switch problem := (&stream{tries: j.tries}).problem(); {
		case problem != "":
			o.broken++
			o.violations = append(o.violations, problem)
		case j.served():
			o.kept++
			if len(j.tries) > 1 {
				o.retried++
			}
		case last.refused():
			o.refused++
		default:
			o.failed++
		}
	}
	o.notes = fmt.Sprintf("%d first tries lost, %d refusals, %d connections broke before a whole answer, %d late", first, refusals, cut, o.late)
	if f.change != loadRequests {
		o.notes = fmt.Sprintf("%d first tries lost, %d refusals, %d streams broke off, %d of them went on", first, refusals, brokenOff, wentOn)
	}
	return o
}
