package balance

import "time"

// LineTold is what the routers of one line run. Named are the replicas that run
// more than one request of the line, Rest is the number of requests at all others:
// what stands out is told exactly, and the rest by its mean.
type LineTold struct {
	Named []Count
	Rest  int
}

// namedFrom is how many requests of a line a replica runs to be named.
const namedFrom = 2

// TellLine returns what all routers of this one's line run, as they told it
// lately, this one included.
func (b *Balancer) TellLine(now time.Time) LineTold {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[uint32]Count)
	for _, p := range b.peers {
		p.addTo(sums, now)
	}
	for _, r := range b.replicas {
		if r.running > 0 {
			own := sums[r.short]
			own.Running += r.running
			sums[r.short] = own
		}
	}
	var told LineTold
	for short, sum := range sums {
		if sum.Running < namedFrom {
			told.Rest += sum.Running
			continue
		}
		told.Named = append(told.Named, Count{Replica: short, Running: sum.Running})
	}
	return told
}

// Line names a line of a fleet that is divided into a number of them.
type Line struct{ Number, Of int }

// MergeLine takes what a router told of its line, with its rumors.
func (b *Balancer) MergeLine(line Line, told LineTold, rumors Rumors, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := newPeerCounts(told.Named, now)
	if unnamed := len(b.replicas) - len(told.Named); unnamed > 0 {
		counts.rest = float64(told.Rest) / float64(unnamed)
	}
	b.lines[line] = counts
	b.totals = nil
	b.mergeRumors(rumors, now)
}
