package admission

import "sync"

// RetryBudget is the budget of retries of one process: each first attempt earns a
// part of a retry, each retry costs one, and a few are in reserve. When a
// target pool fails, retries thus stay a part of the traffic instead of
// doubling it. It is safe for concurrent use.
//
// "Forze Resilience" stacks a rate limit outside of its retries to the same
// end; a budget in proportion needs no figure that somebody has to guess.
type RetryBudget struct {
	mu      sync.Mutex
	earned  float64
	reserve float64
	left    float64
}

// Default figures of a budget.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
)

// NewRetryBudget returns a full budget to which each first attempt adds earned, up
// to reserve.
func NewRetryBudget(earned, reserve float64) *RetryBudget {
	return &RetryBudget{earned: earned, reserve: reserve, left: reserve}
}

// Set changes the figures; what is left stays within the new reserve.
func (r *RetryBudget) Set(earned, reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.earned, r.reserve = earned, reserve
	r.left = min(r.left, reserve)
}

// Earn counts a first attempt.
func (r *RetryBudget) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.left = min(r.left+r.earned, r.reserve)
}

// Spend takes one retry from the budget and tells whether there was one.
func (r *RetryBudget) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}
