package rollout

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The course of a roll-out, as fractions of the order's duration.
const (
	// shiftFrom is when a version that was found good gets more than the canary share:
	// faults may show some seconds after the start of a replica. shiftUntil is when it
	// has all requests.
	shiftFrom  = 0.55
	shiftUntil = 0.75
	// completeAt is when the outcome is written. The old replicas stop at once then, so
	// their last requests should have ended.
	completeAt = 0.88
)

const (
	// exposurePart is the part of the users' bound on a bad version's share that a canary
	// uses: a share is drawn for each request, and counts of different routers differ.
	exposurePart = 0.5
	// defaultExposure applies until SetExposure is called.
	defaultExposure = 0.1
	// writePatience is how long each router waits for the one before it in rank to write
	// a status, and retryPause how long after a write without an answer it tries again:
	// longer than a read of the store takes, which may show that it was written.
	writePatience = 1500 * time.Millisecond
	retryPause    = 2 * time.Second
	// maxSources bounds the reports of other routers that are kept for one roll-out.
	maxSources = 1024
)

// Phase is how far a roll-out has come, as one router sees it.
type Phase string

// The phases of an order. The last two hold also before the outcome is written.
const (
	Canary    Phase = "canary"
	Shifting  Phase = "shifting"
	Finished  Phase = "completed"
	Abandoned Phase = "rolled back"
)

// Plan says which versions of a service get its requests.
type Plan struct {
	// Version is the one that is rolled out, and Share the share of the requests that it
	// gets.
	Version string
	Share   float64
	// Excluded are versions that were rolled back, or whose roll-out was replaced before
	// its end. They get nothing while there is another one.
	Excluded []string
}

// Controller holds the roll-outs of all services as one router knows them. It is safe for
// concurrent use.
type Controller struct {
	mu       sync.Mutex
	exposure float64
	runs     map[string]*run
	changes  []Transition
}

// Transition is a change of phase, with the evidence for it.
type Transition struct {
	Service, Version string
	Phase            Phase
	Reason           string
}

// NewController returns a controller without roll-outs.
func NewController() *Controller {
	return &Controller{exposure: defaultExposure, runs: make(map[string]*run)}
}

// SetExposure sets the share of the requests that a bad version may get until its deadline.
func (c *Controller) SetExposure(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exposure = share
}

// SetRecords takes what the store holds. A service that is not listed has no order any more.
func (c *Controller) SetRecords(list []Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, r := range list {
		listed[r.Service] = true
		c.setRecord(r)
	}
	for service, known := range c.runs {
		if !listed[service] {
			known.replaceOrder(Record{Service: service})
		}
	}
}

func (c *Controller) setRecord(r Record) {
	known := c.runs[r.Service]
	if known == nil {
		known = &run{record: Record{Service: r.Service}, excluded: make(map[string]bool)}
		c.runs[r.Service] = known
	}
	if r.Order != known.record.Order {
		known.replaceOrder(r)
	}
	known.record.Status = r.Status
	if r.SeenAt.Before(known.record.SeenAt) {
		known.record.SeenAt = r.SeenAt
	}
	if r.Status.State == RolledBack && r.Status.Revision > r.Order.Revision && known.phase != Finished {
		known.excluded[r.Status.Version] = true
	}
	switch known.record.Outcome() {
	case Completed:
		c.enter(known, Finished, "outcome written")
	case RolledBack:
		c.enter(known, Abandoned, "outcome written")
	}
}

// enter changes the phase. An outcome that was written is final, and so is the verdict that
// a version is bad unless another router wrote that it is not.
func (c *Controller) enter(r *run, phase Phase, reason string) {
	if r.phase == phase || r.phase == Finished {
		return
	}
	r.phase, r.reason = phase, reason
	c.changes = append(c.changes, Transition{Service: r.record.Service, Version: r.record.Order.Version, Phase: phase, Reason: reason})
}

// Transitions returns the changes of phase since the last call.
func (c *Controller) Transitions() []Transition {
	c.mu.Lock()
	defer c.mu.Unlock()
	changes := c.changes
	c.changes = nil
	return changes
}

// Plan returns how a service's requests are divided, or false if its versions do not matter.
func (c *Controller) Plan(service string, now time.Time) (Plan, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[service]
	if r == nil || r.phase == "" && len(r.excluded) == 0 {
		return Plan{}, false
	}
	p := Plan{Version: r.record.Order.Version, Excluded: slices.Sorted(maps.Keys(r.excluded))}
	switch r.phase {
	case Canary:
		p.Share = exposurePart * c.exposure
	case Shifting:
		p.Share = c.shiftedShare(r, now)
	case Finished:
		p.Share = 1
	}
	return p, true
}

// Services returns the services whose versions matter now or did before, sorted.
func (c *Controller) Services() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.runs))
}

// shiftedShare returns the share of a version that was found good, which rises evenly.
func (c *Controller) shiftedShare(r *run, now time.Time) float64 {
	canary := exposurePart * c.exposure
	done := (r.progress(now) - shiftFrom) / (shiftUntil - shiftFrom)
	return canary + (1-canary)*min(max(done, 0), 1)
}

// Observe counts how a request of this router ended at a replica of a version.
func (c *Controller) Observe(service, route, version, replica string, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[service]
	if r == nil || r.own == nil {
		return
	}
	key := r.own.key(hash32(route))
	arms := r.own[key]
	if version == r.record.Order.Version {
		arms.New.add(hash32(replica), o)
	} else {
		arms.Old.add(hash32(replica), o)
	}
	r.own[key] = arms
}

func hash32(s string) uint32 { return uint32(xxhash.Sum64String(s)) }

// Advance judges all roll-outs by the evidence at hand.
func (c *Controller) Advance(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.runs {
		if r.phase == Canary || r.phase == Shifting {
			c.advance(r, now)
		}
	}
}

func (c *Controller) advance(r *run, now time.Time) {
	verdict, reason := judge(r.allEvidence())
	progress := r.progress(now)
	switch {
	case verdict == Bad:
		c.enter(r, Abandoned, reason)
	case verdict == Good && r.phase == Canary && progress >= shiftFrom && progress < 1:
		c.enter(r, Shifting, reason)
	case progress >= 1 && r.phase == Canary:
		c.enter(r, Abandoned, "not found good by the deadline: "+reason)
	}
}

// Pending returns the statuses that this router is to write now. rank returns how many
// routers come before this one for a service.
func (c *Controller) Pending(now time.Time, rank func(service string) int) []Write {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Write
	for service, r := range c.runs {
		state := r.wantedState(now)
		if state == "" || state == r.record.Outcome() || r.record.Outcome().Final() {
			r.wanted = ""
			continue
		}
		if state != r.wanted {
			r.wanted, r.wantedAt, r.triedAt = state, now, time.Time{}
		}
		if now.Sub(r.triedAt) < retryPause || now.Sub(r.wantedAt) < time.Duration(rank(service))*writePatience {
			continue
		}
		r.triedAt = now
		list = append(list, Write{Service: service, Version: r.record.Order.Version, State: state, Order: r.record.Order.Revision, Status: r.record.Status.Revision})
	}
	slices.SortFunc(list, func(a, b Write) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// Written records that a status was written with a revision.
func (c *Controller) Written(w Write, revision uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runs[w.Service]
	if r == nil || r.record.Order.Revision != w.Order || r.record.Status.Revision >= revision {
		return
	}
	r.record.Status = Status{Version: w.Version, State: w.State, Revision: revision}
	if w.State == Completed {
		c.enter(r, Finished, "outcome written")
	}
}
