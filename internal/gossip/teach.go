package gossip

import (
	"sync"
	"time"
)

const (
	// knowledgeRate is how much knowledge a router passes on, in bytes a second: most of a
	// link of 10 Mbit/s, the narrowest that the users have.
	knowledgeRate = 1 << 20
	// maxBacklog is how much may be on its way, as time at teachRate. What is answered
	// last so comes well within learnTimeout.
	maxBacklog = 300 * time.Millisecond
)

// sendBudget bounds what a router passes on. When a large fleet starts, or the operator
// changes much, some hundred ask the few that know at once. If all were answered over a
// narrow link none would have its answer in time. So a few are answered at a time, and those
// can answer the others.
//
// It is safe for concurrent use.
type sendBudget struct {
	mu sync.Mutex
	// drained is when all that was answered has left, by teachRate.
	drained time.Time
}

// allow tells whether an answer of some bytes may leave now.
func (t *sendBudget) allow(bytes int, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.drained.Sub(now) > maxBacklog {
		return false
	}
	if t.drained.Before(now) {
		t.drained = now
	}
	t.drained = t.drained.Add(time.Duration(float64(bytes) / knowledgeRate * float64(time.Second)))
	return true
}

// RefusedRequests returns how many questions for knowledge were not answered since too much was
// on its way.
func (g *Gossip) RefusedRequests() uint64 { return g.refused.Load() }
