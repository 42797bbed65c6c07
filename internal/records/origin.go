package records

import "sync"

// Origin is the store generation and revision that a response reflects. Revisions of
// different generations can't be compared.
type Origin struct {
	// Generation increases when the store is restored from a copy; 0 if not reported.
	Generation uint64
	// At is the revision.
	At uint64
}

// originTracker tracks the latest origin seen in responses. It is safe for concurrent use.
type originTracker struct {
	mu     sync.Mutex
	latest Origin
	// How often the revision decreased within one generation, because the store was
	// restored from a copy without reporting it.
	revisionDrops uint64
	// Whether the last response lacked a generation though earlier ones had one.
	generationMissing bool
}

// current returns the latest known origin, to be read before a call is sent.
func (n *originTracker) current() Origin {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latest
}

// anomalies returns how often the revision decreased within a generation, and whether the
// last response lacked a generation though earlier ones had one.
func (n *originTracker) anomalies() (revisionDrops uint64, generationMissing bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.revisionDrops, n.generationMissing
}

// resolveGeneration returns the generation of a response. A response without one is taken
// to be of the latest known generation.
func (n *originTracker) resolveGeneration(generation uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.generationMissing = generation == 0 && n.latest.Generation != 0
	if n.generationMissing {
		return n.latest.Generation
	}
	return generation
}

// observe records the origin of a response; before is the origin known when its request
// was sent. Responses may arrive out of order, so only a revision below before's shows
// that the revision decreased.
func (n *originTracker) observe(origin, before Origin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case origin.Generation > n.latest.Generation:
		n.latest = origin
	case origin.Generation < n.latest.Generation:
	case origin.At < before.At && before.Generation == origin.Generation:
		n.latest.At = origin.At
		n.revisionDrops++
	default:
		n.latest.At = max(n.latest.At, origin.At)
	}
}
