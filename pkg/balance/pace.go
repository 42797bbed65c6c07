package balance

import (
	"slices"
	"time"
)

// pace is how fast a replica works, as a moving mean of one kind of time.
type pace struct {
	mean    float64
	samples int
}

const (
	// paceWeight is the weight of the newest sample.
	paceWeight = 0.25
	// paceSamples is how many samples it takes to judge.
	paceSamples = 4
	// slowFactor is how many times the median makes a replica slow.
	slowFactor = 3
	// paceForgets is how much of a slow pace is forgotten with each look at it,
	// so that a replica that gets no work is tried again.
	paceForgets = 0.98
)

func (p *pace) note(sample float64) {
	if p.samples == 0 {
		p.mean = sample
	}
	p.samples++
	p.mean += paceWeight * (sample - p.mean)
}

// Paced notes how long a replica took for a piece of work that takes about the
// same time at each replica of its service.
func (b *Balancer) Paced(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.pace.note(took.Seconds())
	}
}

// slow tells whether a replica is far slower than the median of its service.
func (b *Balancer) slow(r *replica) bool {
	if r.pace.samples < paceSamples {
		return false
	}
	const enough = 3
	means := make([]float64, 0, len(b.services[r.Service]))
	for _, other := range b.services[r.Service] {
		if other.pace.samples >= paceSamples {
			means = append(means, other.pace.mean)
		}
	}
	if len(means) < enough {
		return false
	}
	slices.Sort(means)
	if r.pace.mean <= slowFactor*means[len(means)/2] {
		return false
	}
	r.pace.mean *= paceForgets
	return true
}
