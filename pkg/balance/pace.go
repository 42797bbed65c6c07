package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// pace is how fast a replica works, as a moving mean of one kind of time.
type pace struct {
	mean    float64
	samples int
}

const (
	// paceWeight is the weight of the newest sample.
	paceWeight = 0.25
	// minPaceSamples is how many samples it takes to judge.
	minPaceSamples = 4
	// slowFactor is how many times the median makes a replica slow.
	slowFactor = 3
	// slowPaceDecay is how much of a slow pace is forgotten with each look at it,
	// so that a replica that gets no work is tried again.
	slowPaceDecay = 0.98
)

func (p *pace) add(sample float64) {
	if p.samples == 0 {
		p.mean = sample
	}
	p.samples++
	p.mean += paceWeight * (sample - p.mean)
}

// RecordDuration notes how long a replica took for a piece of work that takes about the
// same time at each replica of its service.
func (b *Balancer) RecordDuration(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.pace.add(took.Seconds())
	}
}

// median is the median pace of a service's replicas; zero if too few of them
// have one.
type median struct {
	pace float64
	at   time.Time
}

// medianLifetime is how long a median is used again.
const medianLifetime = 100 * time.Millisecond

// medianPace returns the median pace of a service's replicas.
func (b *Balancer) medianPace(service string, now time.Time) float64 {
	if m, known := b.medians[service]; known && now.Sub(m.at) < medianLifetime && !now.Before(m.at) {
		return m.pace
	}
	const enough = 3
	var means []float64
	for _, r := range b.services[service] {
		if r.pace.samples >= minPaceSamples {
			means = append(means, r.pace.mean)
		}
	}
	m := median{at: now}
	if len(means) >= enough {
		slices.Sort(means)
		m.pace = means[len(means)/2]
	}
	b.medians[service] = m
	return m.pace
}

// isSlow tells whether a replica is far slower than the median of its service.
func (b *Balancer) isSlow(r *replica, now time.Time) bool {
	if r.pace.samples < minPaceSamples || b.disabled.Has(mechanism.Pace) {
		return false
	}
	middle := b.medianPace(r.Service, now)
	if middle == 0 || r.pace.mean <= slowFactor*middle {
		return false
	}
	r.pace.mean *= slowPaceDecay
	return true
}
