package balance

import (
	"math"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// loadReport is the load that a replica reported.
type loadReport struct {
	load float64
	// running is this router's own count when the report came.
	running int
	at      time.Time
}

// reportLifetime is how long a report is meaningful: engines report with a lag, and a
// request lasts about as long.
const reportLifetime = 400 * time.Millisecond

// load estimates how many requests of all routers a replica has.
func (b *Balancer) load(r *replica, now time.Time) float64 {
	load := float64(r.running + b.peersRun(r, now))
	if now.Sub(r.report.at) < reportLifetime {
		load = max(load, r.report.load+float64(r.running-r.report.running))
	}
	return load
}

// serviceBound is the load up to which a replica of a service gets further requests.
// Replicas that no router reaches carry no requests, so the mean is taken over the others;
// those that only this router does not reach count. The users' mean covers all replicas, including those that get nothing
// because they are evacuated or cold, and the others are held to it.
func (b *Balancer) serviceBound(service string, now time.Time) float64 {
	all := b.services[service]
	total, reached := 0.0, 0
	for _, list := range [][]*replica{all, b.evacuated[service]} {
		for _, r := range list {
			if !b.isUnreachable(r, now) || b.peersRun(r, now) > 0 {
				total += b.load(r, now)
				reached++
			}
		}
	}
	if reached == 0 {
		return b.boundAmong(all, now)
	}
	bound := b.boundForMean(total / float64(reached))
	if idle := b.idleVersionsOf(service, now); idle > 0 {
		// The users' mean counts the idle replicas too, so that the others are nearer to
		// what users allow than at the same bound in other times.
		bound -= b.boundSlack() * float64(idle) / float64(len(all))
	}
	return bound
}

// boundAmong is the bound for a set of replicas.
func (b *Balancer) boundAmong(list []*replica, now time.Time) float64 {
	return b.boundForMean(b.meanLoad(list, now))
}

// meanLoad is the mean load of a set of replicas, which is not empty.
func (b *Balancer) meanLoad(list []*replica, now time.Time) float64 {
	total := 0.0
	for _, r := range list {
		total += b.load(r, now)
	}
	return total / float64(len(list))
}

// boundForMean is the bound for a mean load.
func (b *Balancer) boundForMean(mean float64) float64 {
	if b.disabled.Has(mechanism.Bound) {
		return math.Inf(1)
	}
	part := boundFraction
	if b.largeFleet {
		part = largeBoundFraction
	}
	return max(part*b.loadFactor, minBoundFactor)*mean + b.boundSlack()
}

func (b *Balancer) boundSlack() float64 {
	if b.largeFleet {
		return largeBoundSlack
	}
	return boundSlack
}

// LoadReported records the load that a replica reported, in requests running and waiting.
func (b *Balancer) LoadReported(id string, load int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.report = loadReport{load: float64(load), running: r.running, at: now}
	}
}
