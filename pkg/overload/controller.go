package overload

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxServices, maxOwnReplicas and maxOwnShares bound what this router counts itself.
	// A service or replica above the bound is not counted, which refuses nothing; shares
	// above it are counted as one.
	maxServices    = 256
	maxOwnReplicas = 1024
	maxOwnShares   = 1024
	// maxPriority is the least urgent priority that is told apart: its weight is 1/32768.
	maxPriority = 15
	// serviceIdle is how long a service without requests is remembered; it is contended no
	// longer by then.
	serviceIdle = 10 * time.Second
	// sweepInterval is the time between two removals of what has decayed.
	sweepInterval = time.Second
)

// shareKey identifies a share of a service among routers.
type shareKey struct {
	service, organisation uint32
	priority              uint8
}

// service is what the controller remembers of a service from the calls about it.
type service struct {
	hash uint32
	// usable and target are from the latest call, except that a smaller target is kept for
	// one window: Report has to serve the route with the smallest one.
	usable   []Replica
	target   time.Duration
	targetAt time.Time
	lastUsed time.Time
	// periodStart is when the current usual period started.
	periodStart time.Time
	// contendedUntil is when the service counts as contended no longer.
	contendedUntil time.Time
	plan           plan
}

// Controller is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*service
	replicas map[uint32]*replicaCounter
	shares   map[shareKey]*shareCounter
	// sources is in order of arrival, so that sums are added up in the same order each time.
	sources   []*source
	sums      sums
	workTimes workTimes
	sweptAt   time.Time
}

// New returns a controller that knows nothing and admits everything. Its decisions depend
// only on seed and on the calls made to it.
func New(seed uint64) *Controller {
	return &Controller{
		random:    rand.New(rand.NewPCG(seed, seed)),
		services:  make(map[string]*service),
		replicas:  make(map[uint32]*replicaCounter),
		shares:    make(map[shareKey]*shareCounter),
		sums:      newSums(),
		workTimes: make(workTimes),
	}
}

// Arrived records a request for a service, before it is decided on.
func (c *Controller) Arrived(service string, share Share, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	s := c.service(service, now)
	if s == nil {
		return
	}
	c.endPeriod(s, now)
	key := keyOf(s, share)
	if c.shares[key] == nil && len(c.shares) >= maxOwnShares {
		key = overflowKey(key)
	}
	r := c.shares[key]
	if r == nil {
		r = &shareCounter{}
		c.shares[key] = r
	}
	r.add(now)
}

// endPeriod ends the usual period of a service if it is over.
func (c *Controller) endPeriod(s *service, now time.Time) {
	if now.Sub(s.periodStart) < usualPeriod {
		return
	}
	contended := s.contendedUntil.After(s.periodStart)
	s.periodStart = now
	for key, counter := range c.shares {
		if key.service == s.hash {
			counter.endPeriod(contended, now)
		}
	}
}

// Answered records that a replica ran a request and how long its answer took.
func (c *Controller) Answered(replica uint32, took time.Duration, now time.Time) {
	took = min(max(took, 0), maxTook)
	c.count(replica, replicaRates{answered: 1, busy: took.Seconds()}, now)
}

// Rejected records that a replica did not take a request.
func (c *Controller) Rejected(replica uint32, now time.Time) {
	c.count(replica, replicaRates{rejected: 1}, now)
}

func (c *Controller) count(replica uint32, r replicaRates, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep(now)
	counter := c.replicas[replica]
	if counter == nil {
		if len(c.replicas) >= maxOwnReplicas {
			return
		}
		counter = &replicaCounter{}
		c.replicas[replica] = counter
	}
	counter.add(r, now)
}

// service returns the entry of a service, or nil if there are too many.
func (c *Controller) service(name string, now time.Time) *service {
	s := c.services[name]
	if s == nil {
		if len(c.services) >= maxServices {
			return nil
		}
		s = &service{hash: hash32(name)}
		c.services[name] = s
	}
	s.lastUsed = now
	return s
}

// observe remembers what a caller said of a service.
func (s *service) observe(target time.Duration, usable []Replica, now time.Time) {
	if !slices.Equal(s.usable, usable) {
		s.usable = append(s.usable[:0], usable...)
		s.plan = plan{}
		// Waiting that was seen at a replica which may no longer be used refuses nothing.
		s.contendedUntil = time.Time{}
	}
	if target <= 0 {
		target = defaultTarget
	}
	if s.target == 0 || target <= s.target || now.Sub(s.targetAt) > window {
		s.target, s.targetAt = target, now
	}
}

// sweep drops what has decayed, so that memory is bounded by what was seen lately.
func (c *Controller) sweep(now time.Time) {
	if now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = now
	for _, s := range c.services {
		c.endPeriod(s, now)
	}
	maps.DeleteFunc(c.services, func(_ string, s *service) bool { return now.Sub(s.lastUsed) > serviceIdle })
	maps.DeleteFunc(c.replicas, func(_ uint32, r *replicaCounter) bool { return r.ratesAt(now).negligible() })
	maps.DeleteFunc(c.shares, func(_ shareKey, r *shareCounter) bool { return r.pending == 0 && r.ratesAt(now).negligible() })
	c.workTimes.dropIdle(now)
	c.dropExpired(now)
}

func keyOf(s *service, share Share) shareKey {
	return shareKey{s.hash, hash32(share.Organisation), uint8(min(max(share.Priority, 0), maxPriority))}
}

// overflowKey is the share that is counted for all those above maxOwnShares.
func overflowKey(key shareKey) shareKey {
	return shareKey{service: key.service, priority: key.priority}
}

func hash32(s string) uint32 { return uint32(xxhash.Sum64String(s)) }
