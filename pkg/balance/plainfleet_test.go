package balance

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/directory"
)

// plainFleet simulates a large fleet of routers in front of a plain service whose
// replicas run some requests, queue some more and turn the rest away.
type plainFleet struct {
	*gossipFleet
	replicas map[string]*plainReplica
	// perSecond returns the request rate of all callers at a time.
	perSecond func(at time.Duration) float64
	stats     plainStats
}

// The users' plain service: ten replicas with six slots and a queue of 24, and 410
// requests a second that take 60 ms on average and must be served within 300 ms.
const (
	plainSlots    = 6
	plainQueue    = 24
	plainRate     = 410.0
	plainWorkTime = 60 * time.Millisecond
	plainDeadline = 300 * time.Millisecond
	// plainSpread is the standard deviation of the logarithm of the work time.
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

// plainStats counts what callers got.
type plainStats struct {
	asked, onTime, late, refused int
	// sent counts requests sent to replicas, shed those that they turned away.
	sent, shed int
}

func newPlainFleet(seed uint64, routers, replicas int) *plainFleet {
	f := &plainFleet{
		gossipFleet: newGossipFleet(seed, routers, 16),
		replicas:    make(map[string]*plainReplica),
		perSecond:   func(time.Duration) float64 { return plainRate },
	}
	for i := range replicas {
		id := fmt.Sprintf("p-%d", i)
		f.replicas[id] = &plainReplica{id: id}
	}
	f.list()
	return f
}

// list sends the current replicas to all routers.
func (f *plainFleet) list() {
	var list []directory.Replica
	for id, r := range f.replicas {
		if !r.gone {
			list = append(list, directory.Replica{ID: id, Service: "plain", Address: id, DataCentre: fmt.Sprintf("dc%d", hashString(id)%5), Slots: plainSlots})
		}
	}
	slices.SortFunc(list, func(a, b directory.Replica) int { return cmp.Compare(a.ID, b.ID) })
	for _, b := range f.routers {
		b.SetReplicas(list, f.now)
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
	f.after(time.Duration(f.random.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	f.stats.asked++
	f.send(&plainRequest{router: f.random.IntN(len(f.routers)), arrived: f.now})
}

// send picks a replica, and another one if that is full.
func (f *plainFleet) send(r *plainRequest) {
	router := f.routers[r.router]
	choice, found := router.Pick(Request{Service: "plain", DataCentre: fmt.Sprintf("dc%d", r.router%5), Tried: r.tried}, f.now)
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
		router.RequestFailed(id, Shed, "", f.now)
		f.send(r)
		return
	}
	router.RequestStarted(id)
	replica.waiting = append(replica.waiting, r)
	f.startWork(replica)
}

// startWork starts queued requests while the replica has free slots.
func (f *plainFleet) startWork(replica *plainReplica) {
	for replica.running < plainSlots && len(replica.waiting) > 0 {
		r := replica.waiting[0]
		replica.waiting = replica.waiting[1:]
		replica.running++
		mean := plainWorkTime.Seconds() * math.Exp(-plainSpread*plainSpread/2)
		took := time.Duration(mean * math.Exp(plainSpread*f.random.NormFloat64()) * float64(time.Second))
		f.after(took, func() {
			replica.running--
			f.routers[r.router].RequestFinished(replica.id)
			f.routers[r.router].RequestSucceeded(replica.id, nil, f.now)
			if f.now.Sub(r.arrived) <= plainDeadline {
				f.stats.onTime++
			} else {
				f.stats.late++
			}
			f.startWork(replica)
		})
	}
}
