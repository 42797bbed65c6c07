package front

import "sync"

// budget bounds repeats by the traffic: each request earns a part of one, each
// repeat costs one, and a few are in store.
//
// "Forze Resilience" stacks a rate limit outside of its retries to the same
// end; a budget in proportion needs no figure that somebody has to guess.
type budget struct {
	mu      sync.Mutex
	ratio   float64
	reserve float64
	left    float64
}

func newBudget(ratio, reserve float64) *budget {
	return &budget{ratio: ratio, reserve: reserve, left: reserve}
}

func (b *budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left = min(b.left+b.ratio, b.reserve)
}

func (b *budget) has() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left >= 1
}

func (b *budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}
