package balance

import "time"

// LineCounts is what the routers of one line run. Most replicas run at most one request
// of a line, so those with one take two bytes each.
type LineCounts struct {
	// Counts lists the replicas that run more than one request of the line.
	Counts []ReplicaCount
	// Singles holds the 16-bit hashes of the replicas that run one. Two replicas may
	// share a hash; an error of one request does no harm.
	Singles []uint16
}

// SumLine returns what all routers of this router's line run, including this one, as
// recently reported.
func (b *Balancer) SumLine(now time.Time) LineCounts {
	b.mu.Lock()
	defer b.mu.Unlock()
	sums := make(map[uint32]ReplicaCount)
	for _, p := range b.peers {
		p.addTo(sums, now)
	}
	for r := range b.busy {
		own := sums[r.shortHash]
		own.Running += r.running
		sums[r.shortHash] = own
	}
	var told LineCounts
	for short, sum := range sums {
		if sum.Running == 1 {
			told.Singles = append(told.Singles, uint16(short))
			continue
		}
		told.Counts = append(told.Counts, ReplicaCount{Replica: short, Running: sum.Running})
	}
	return told
}

// Line identifies one of the groups of routers, called lines, into which a large fleet is
// divided.
type Line struct{ Number, Total int }

// MergeLine takes the counts that a router reported for its line, with its rumors.
func (b *Balancer) MergeLine(line Line, told LineCounts, rumors Rumors, now time.Time) {
	b.mu.Lock()
	counts := newPeerCounts(told.Counts, now)
	for _, single := range told.Singles {
		for _, r := range b.byTinyHash[single] {
			counts.running[r.shortHash] = ReplicaCount{Replica: r.shortHash, Running: 1}
		}
	}
	b.lines[line] = counts
	b.peerTotalsAt = time.Time{}
	b.mergeRumors(rumors, now)
	b.unlockAndNotify()
}
