package balance

import (
	"slices"
	"time"

	"github.com/croftyard/croftyard/pkg/mechanism"
)

// pace is how fast a replica works: a moving average of durations of one kind.
type pace struct {
	mean    float64
	samples int
}

const (
	// paceWeight is the weight of the newest sample.
	paceWeight = 0.25
	// minPaceSamples is how many samples are needed to judge a replica.
	minPaceSamples = 4
	// slowFactor is the multiple of the median pace above which a replica is slow.
	slowFactor = 3
	// slowPaceDecay shrinks a slow pace each time it is checked, so that a replica that
	// gets no work is tried again.
	slowPaceDecay = 0.98
)

func (p *pace) add(sample float64) {
	if p.samples == 0 {
		p.mean = sample
	}
	p.samples++
	p.mean += paceWeight * (sample - p.mean)
}

// RecordDuration records how long a replica took for work that takes about the same time
// at each replica of its service.
func (b *Balancer) RecordDuration(id string, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.replicas[id]; r != nil {
		r.pace.add(took.Seconds())
	}
}

// median is the median pace of a service's replicas; 0 if too few of them have one.
type median struct {
	pace float64
	at   time.Time
}

// medianLifetime is how long a median is reused.
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

// isSlow reports whether a replica is far slower than the median of its service.
func (b *Balancer) isSlow(r *replica, now time.Time) bool {
	if r.pace.samples < minPaceSamples || b.disabled.Has(mechanism.Pace) {
		return false
	}
	servicePace := b.medianPace(r.Service, now)
	if servicePace == 0 || r.pace.mean <= slowFactor*servicePace {
		return false
	}
	r.pace.mean *= slowPaceDecay
	return true
}
