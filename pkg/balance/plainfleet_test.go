package balance

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/overload"
)

// plainFleet simulates a large fleet of routers in front of a plain service whose
// replicas run some requests, queue some more and turn the rest away.
type plainFleet struct {
	*gossipFleet
	replicas map[string]*plainReplica
	// perSecond returns the request rate of all callers at a time.
	perSecond func(at time.Duration) float64
	stats     plainStats
	// arrivals draws what callers do, so that it does not depend on what routers decide.
	arrivals *rand.Rand
	// ask sets what the callers of a request are, if they differ.
	ask func(r *plainRequest)
	// relays is how many other routers a request is handed to if this one has no part of the
	// replicas' room left.
	relays    int
	addresses []string
	// knows returns the routers that a router may hand requests to.
	knows func(router int) []string
	// ended is called when a request was answered or finally refused.
	ended func(r *plainRequest, served bool)
	// centres is the number of data centres.
	centres int
	// admission: controllers decide on requests. Without, they only estimate.
	admission bool
	// timed: routers record how long requests take.
	timed bool
	// slowdown returns the multiple of its usual time that a replica takes now.
	slowdown func(id string) float64
	// queue returns how many requests a replica lets wait now.
	queue func() int
	// answered is called with each answer of a replica, taken or turned away.
	answered func(router int, id string, taken bool)
	// choice replaces that of the balancers, if set. ids are those of the replicas, own what each
	// router runs at them.
	choice plainChoice
	ids    []string
	own    []map[string]int
	// at draws the router that a call reaches.
	at func(random *rand.Rand) int
	// away are routers that take no connections.
	away map[int]bool
	// handsOn: requests of a router that lost the path to the service, or opened no connection to two
	// replicas, go to others, which are not simulated. failedDials counts such connections, by router.
	handsOn     bool
	failedDials map[int]int
	// isolated is the data centre that is cut off from the others; -1 for none.
	isolated int
}

// The users' plain service: ten replicas with six slots and a queue of 24, and 410
// requests a second that take 60 ms on average and must be served within 300 ms.
const (
	plainSlots    = 6
	plainQueue    = 24
	plainRate     = 410.0
	plainWorkTime = 60 * time.Millisecond
	plainDeadline = 300 * time.Millisecond
	// plainPatience is how long callers wait, and plainConnectTimeout how long a router
	// waits for a connection.
	plainPatience       = 4 * time.Second
	plainConnectTimeout = 300 * time.Millisecond
	// plainUnopened is after how many replicas that take no connection another router is asked.
	plainUnopened = 2
	// shedRetryAfter is what a caller is told if replicas did not take the request.
	shedRetryAfter = 50 * time.Millisecond
	// plainSpread is the standard deviation of the logarithm of the work time.
	plainSpread = 0.47
)

type plainReplica struct {
	id      string
	running int
	waiting []func()
	gone    bool
}

type plainRequest struct {
	router int
	// from is the router that the caller reached, which may have handed it on.
	from    int
	arrived time.Time
	tried   []string
	// work is how long it takes at a replica, in seconds; 0 if that is drawn when it starts.
	work float64
	// attempts is how many replicas it may be sent to.
	attempts int
	// organisation asks; it repeats at once, this often, or once after Retry-After.
	organisation, repeats int
	impatient             bool
	// unopened is how many replicas took no connection.
	unopened int
}

// plainStats counts what callers got.
type plainStats struct {
	asked, onTime, late, refused int
	// limited counts refusals of controllers, also of requests that came back.
	limited int
	// sent counts requests sent to replicas, shed those that they turned away.
	sent, shed int
}

func newPlainFleet(seed uint64, routers, lines, replicas int) *plainFleet {
	f := &plainFleet{
		gossipFleet: newGossipFleet(seed, routers, lines),
		replicas:    make(map[string]*plainReplica),
		perSecond:   func(time.Duration) float64 { return plainRate },
		ask:         func(*plainRequest) {},
		ended:       func(*plainRequest, bool) {},
		centres:     5,
		slowdown:    func(string) float64 { return 1 },
		isolated:    -1,
		queue:       func() int { return plainQueue },
		answered:    func(int, string, bool) {},
		away:        make(map[int]bool),
		failedDials: make(map[int]int),
	}
	f.knows = func(int) []string { return f.addresses }
	f.arrivals = f.random
	f.at = func(random *rand.Rand) int { return random.IntN(routers) }
	for range routers {
		f.own = append(f.own, make(map[string]int))
	}
	f.connected = func(a, b int) bool { return f.sameSide(a%f.centres, b%f.centres) }
	for i := range replicas {
		id := fmt.Sprintf("p-%d", i)
		f.replicas[id] = &plainReplica{id: id}
		f.ids = append(f.ids, id)
	}
	f.list()
	return f
}

// list sends the current replicas to all routers.
func (f *plainFleet) list() {
	list := f.listed()
	for _, b := range f.routers {
		b.SetReplicas(list, f.now)
	}
}

func (f *plainFleet) listed() []directory.Replica {
	var list []directory.Replica
	for id, r := range f.replicas {
		if !r.gone {
			list = append(list, directory.Replica{ID: id, Service: "plain", Address: id, DataCentre: fmt.Sprintf("dc%d", f.centreOf(id)), Slots: plainSlots})
		}
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// centreOf returns the data centre of a replica.
func (f *plainFleet) centreOf(id string) int {
	if f.centres == 5 {
		return int(hashString(id) % 5)
	}
	return int(id[len(id)-1]-'0') % f.centres
}

// sameSide tells whether two data centres reach each other.
func (f *plainFleet) sameSide(a, b int) bool { return (a == f.isolated) == (b == f.isolated) }

// burst multiplies the rate for a time.
func (f *plainFleet) burst(from, to time.Duration, times float64) {
	f.perSecond = func(at time.Duration) float64 {
		if at >= from && at < to {
			return times * plainRate
		}
		return plainRate
	}
}

// replace removes a replica and, unless fresh is empty, adds another one.
func (f *plainFleet) replace(old, fresh string) {
	f.replicas[old].gone = true
	if fresh != "" {
		f.replicas[fresh] = &plainReplica{id: fresh}
	}
	f.list()
}

// simulate runs the fleet and returns what callers got.
func (f *plainFleet) simulate(length time.Duration) plainStats {
	f.after(0, f.arrive)
	f.run(length)
	return f.stats
}

func (f *plainFleet) arrive() {
	rate := f.perSecond(f.now.Sub(start))
	f.after(time.Duration(f.arrivals.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	f.stats.asked++
	r := &plainRequest{arrived: f.now, attempts: 2}
	f.ask(r)
	r.router = f.at(f.arrivals)
	if f.away[r.router] {
		f.refuse(r, shedRetryAfter)
		return
	}
	f.decide(r)
}

// decide sends a request to a replica unless the router's controller refuses it.
func (f *plainFleet) decide(r *plainRequest) {
	if f.controllers != nil {
		c, share := f.controllers[r.router], overload.Share{Organisation: fmt.Sprint(r.organisation)}
		c.Arrived("plain", share, f.now)
		q := overload.Request{Service: "plain", Share: share, Target: plainDeadline, Left: r.arrived.Add(plainPatience).Sub(f.now)}
		q.Usable = f.routers[r.router].UsableReplicas("plain", nil, f.now)
		if d := c.Decide(q, f.now); f.admission && !d.Admitted {
			f.stats.limited++
			f.refuse(r, d.RetryAfter)
			return
		}
	}
	f.send(r)
}

// refuse ends a request, or lets its caller come back through another router.
func (f *plainFleet) refuse(r *plainRequest, retryAfter time.Duration) {
	if r.repeats == 0 {
		f.stats.refused++
		f.ended(r, false)
		return
	}
	r.repeats--
	if r.impatient {
		retryAfter = time.Millisecond
	}
	f.after(min(retryAfter, r.arrived.Add(plainPatience).Sub(f.now)/3), func() {
		r.tried = nil
		r.router = f.random.IntN(len(f.routers))
		f.decide(r)
	})
}

// send picks a replica, and another one if that is full.
func (f *plainFleet) send(r *plainRequest) {
	pick := func() (Choice, bool) {
		if f.choice != nil {
			id, found := f.choice(f, r.router, r.tried)
			return Choice{Replica: directory.Replica{ID: id}}, found
		}
		return f.routers[r.router].Pick(Request{Service: "plain", DataCentre: fmt.Sprintf("dc%d", r.router%f.centres), Tried: r.tried, Target: plainDeadline}, f.now)
	}
	r.from = r.router
	choice, found := pick()
	for range f.relays {
		if found || !f.routers[r.router].ShareUsed("plain", f.now) {
			break
		}
		other, knows := f.ownerOfRoom(r.router)
		if !knows {
			break
		}
		r.router = other
		choice, found = pick()
	}
	router, centre := f.routers[r.router], r.router%f.centres
	if !found || len(r.tried) == r.attempts {
		f.refuse(r, shedRetryAfter)
		return
	}
	if f.handsOn && (choice.PathLost || choice.Unreachable || r.unopened == plainUnopened) {
		f.ended(r, true)
		return
	}
	id := choice.Replica.ID
	if !f.sameSide(centre, f.centreOf(id)) {
		// Nothing was sent, so it is not an attempt.
		f.failedDials[r.router]++
		r.unopened++
		f.after(plainConnectTimeout, func() {
			router.RequestFailed(id, Unreachable, fmt.Sprintf("dc%d", centre), f.now)
			f.send(r)
		})
		return
	}
	r.tried = append(r.tried, id)
	f.stats.sent++
	replica := f.replicas[id]
	if replica.gone || replica.running == plainSlots && len(replica.waiting) >= f.queue() {
		f.stats.shed++
		if !replica.gone {
			f.answered(r.router, id, false)
			f.answered(r.from, id, true)
		}
		if f.controllers != nil && !replica.gone {
			f.controllers[r.router].Rejected(ReplicaHash(id), f.now)
		}
		router.RequestFailed(id, Shed, "", f.now)
		f.send(r)
		return
	}
	router.RequestStarted(id)
	f.own[r.router][id]++
	replica.waiting = append(replica.waiting, f.runOf(r, replica))
	f.startWork(replica)
}

// ownerOfRoom draws one of the routers that a router knows to have room at replicas.
func (f *plainFleet) ownerOfRoom(router int) (other int, found bool) {
	owns, known := f.routers[router].OwnsRoom("plain"), f.knows(router)
	if len(known) == 0 {
		return 0, false
	}
	first := f.random.IntN(len(known))
	for i := range known {
		address := known[(first+i)%len(known)]
		if other = slices.Index(f.addresses, address); owns(address) && !f.away[other] {
			return other, true
		}
	}
	return 0, false
}

// runOf returns what a replica does for a request: it starts the work.
func (f *plainFleet) runOf(r *plainRequest, replica *plainReplica) func() {
	sentAt, balancer := f.now, f.routers[r.router]
	var controller *overload.Controller
	if f.controllers != nil {
		controller = f.controllers[r.router]
	}
	return func() {
		if r.work == 0 {
			r.work = drawWork(f.random)
		}
		f.after(time.Duration(r.work*f.slowdown(replica.id)*float64(time.Second)), func() {
			replica.running--
			if balancer != f.routers[r.router] {
				// The router has ended, and the caller's connection with it.
				f.startWork(replica)
				return
			}
			balancer.RequestFinished(replica.id)
			f.own[r.router][replica.id]--
			balancer.RequestSucceeded(replica.id, nil, f.now)
			f.answered(r.router, replica.id, true)
			f.answered(r.from, replica.id, true)
			if f.timed {
				balancer.RecordDuration(replica.id, f.now.Sub(sentAt))
			}
			if controller != nil {
				controller.Answered(ReplicaHash(replica.id), f.now.Sub(sentAt), f.now)
			}
			if f.now.Sub(r.arrived) <= plainDeadline {
				f.stats.onTime++
			} else {
				f.stats.late++
			}
			f.ended(r, true)
			f.startWork(replica)
		})
	}
}

// drawWork draws how long a request takes, in seconds.
func drawWork(random *rand.Rand) float64 {
	mean := plainWorkTime.Seconds() * math.Exp(-plainSpread*plainSpread/2)
	return mean * math.Exp(plainSpread*random.NormFloat64())
}

// startWork starts queued requests while the replica has free slots.
func (f *plainFleet) startWork(replica *plainReplica) {
	for replica.running < plainSlots && len(replica.waiting) > 0 {
		run := replica.waiting[0]
		replica.waiting = replica.waiting[1:]
		replica.running++
		run()
	}
}
