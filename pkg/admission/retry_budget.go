package admission

import "sync"

// RetryBudget limits the retries of one process: each first attempt adds a fraction
// of a retry, each retry costs one, and a few are in reserve. When a target pool
// fails, retries stay a fraction of the traffic instead of doubling it. It is safe
// for concurrent use.
//
// "Forze Resilience" wraps its retries in a rate limit to the same end; a budget in
// proportion to the traffic needs no absolute rate that somebody has to guess.
type RetryBudget struct {
	mu        sync.Mutex
	ratio     float64
	reserve   float64
	available float64
}

// Defaults of a budget.
const (
	DefaultRetryRatio   = 0.1
	DefaultRetryReserve = 10
)

// NewRetryBudget returns a full budget. Each first attempt adds ratio to it, up to
// reserve.
func NewRetryBudget(ratio, reserve float64) *RetryBudget {
	return &RetryBudget{ratio: ratio, reserve: reserve, available: reserve}
}

// Set changes the ratio and the reserve; what is left is capped at the new reserve.
func (r *RetryBudget) Set(ratio, reserve float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.reserve = ratio, reserve
	r.available = min(r.available, reserve)
}

// Earn counts a first attempt.
func (r *RetryBudget) Earn() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.available = min(r.available+r.ratio, r.reserve)
}

// Spend takes one retry from the budget and tells whether one was left.
func (r *RetryBudget) Spend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.available < 1 {
		return false
	}
	r.available--
	return true
}
