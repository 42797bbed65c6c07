package gossip

import (
	"sync"
	"time"
)

const (
	// knowledgeRate is how much knowledge a router sends, in bytes per second: most of a
	// link of 10 Mbit/s, the narrowest that users have.
	knowledgeRate = 1 << 20
	// maxBacklog bounds the replies in transit, as time at knowledgeRate, so that the
	// last one arrives well within knowledgeTimeout.
	maxBacklog = 300 * time.Millisecond
)

// sendBudget bounds the knowledge that a router sends. When a large fleet starts, or the
// operator changes much, some hundred routers query the few that know at once. If all
// were answered over a narrow link, none would get its answer in time. So a few are
// answered at a time, and those can answer the others.
//
// It is safe for concurrent use.
type sendBudget struct {
	mu sync.Mutex
	// drained is when all replies will have left, at knowledgeRate.
	drained time.Time
}

// allow reports whether a reply of some bytes may be sent now, and counts it if so.
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

// full reports whether any reply would be refused now.
func (t *sendBudget) full(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drained.Sub(now) > maxBacklog
}

// RefusedRequests returns how many requests for knowledge were refused because too much
// was in transit.
func (g *Gossip) RefusedRequests() uint64 { return g.refused.Load() }
