package records

import "sync"

// Origin is what an answer is of. Revisions of two generations can't be compared.
type Origin struct {
	// Generation rises when the store comes back from a copy; 0: it does not say.
	Generation uint64
	At         uint64
}

// newest is what answers were of at the latest. It is safe for concurrent use.
type newest struct {
	mu sync.Mutex
	of Origin
	// falls counts how often the revision fell within one generation: the store came
	// back from a copy and did not say so.
	falls uint64
	// untold: the last answer told no generation, though earlier ones did.
	untold bool
}

// before returns what is known before a call is sent.
func (n *newest) before() Origin {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.of
}

// doubts returns how often the revision fell, and whether the last answer told no
// generation though earlier ones did.
func (n *newest) doubts() (falls uint64, untold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.falls, n.untold
}

// named returns the generation of an answer: one that tells none is of the newest known.
func (n *newest) named(generation uint64) uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.untold = generation == 0 && n.of.Generation != 0
	if n.untold {
		return n.of.Generation
	}
	return generation
}

// take notes what an answer is of that was asked for when before was known. Answers may
// come out of their order, so only what was known when it was sent tells that one fell.
func (n *newest) take(of, before Origin) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case of.Generation > n.of.Generation:
		n.of = of
	case of.Generation < n.of.Generation:
	case of.At < before.At && before.Generation == of.Generation:
		n.of.At = of.At
		n.falls++
	default:
		n.of.At = max(n.of.At, of.At)
	}
}
