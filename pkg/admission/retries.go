package admission

// Retries is the budget of retries of one process: each first attempt earns a
// part of a retry, each retry costs one. When a target pool fails, retries
// thus stay a tenth of the traffic instead of doubling it. It is not safe for
// concurrent use. The zero value is empty and earns as requests come.
//
// "Forze Resilience" stacks a rate limit outside of its retries to the same
// end; a budget in proportion needs no figure that somebody has to guess.
type Retries struct {
	balance float64
}

const (
	retryEarned = 0.1
	retryMost   = 10
)

// Earn counts a first attempt.
func (r *Retries) Earn() {
	r.balance = min(r.balance+retryEarned, retryMost)
}

// Spend takes one retry from the budget and tells whether there was one.
func (r *Retries) Spend() bool {
	if r.balance < 1 {
		return false
	}
	r.balance--
	return true
}
