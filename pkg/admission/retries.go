package admission

// Retries is the budget of retries of one process: each first attempt earns a
// part of a retry, each retry costs one, and a few are in reserve. When a
// target pool fails, retries thus stay a tenth of the traffic instead of
// doubling it. It is not safe for concurrent use. The zero value is full.
//
// "Forze Resilience" stacks a rate limit outside of its retries to the same
// end; a budget in proportion needs no figure that somebody has to guess.
type Retries struct {
	used float64
}

const (
	retryEarned  = 0.1
	retryReserve = 10
)

// Earn counts a first attempt.
func (r *Retries) Earn() {
	r.used = max(r.used-retryEarned, 0)
}

// Spend takes one retry from the budget and tells whether there was one.
func (r *Retries) Spend() bool {
	if r.used+1 > retryReserve {
		return false
	}
	r.used++
	return true
}
