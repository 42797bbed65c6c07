package retry

import "time"

const (
	// minLenders and maxLenders bound how many routers are asked for a loan.
	minLenders = 4
	maxLenders = 12
	// BorrowTimeout bounds the wait for their answers, which take some ms. The caller waits
	// meanwhile.
	BorrowTimeout = 50 * time.Millisecond
	// BorrowPause is for how long no router is asked after those that were had too little.
	BorrowPause = 100 * time.Millisecond
)

// Lenders returns how many routers to ask for a loan. With small parts each of them has little
// left.
func (b *Budget) Lenders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int(min(max(maxLenders/max(b.part(), 1), minLenders), maxLenders))
}

// surplus is asked for besides, since amounts are rounded on their way.
const surplus = 1e-4

// Borrowing collects the loans for one retry. It is not safe for concurrent use.
type Borrowing struct {
	wanted   float64
	asked    time.Time
	expected int
	answers  int
	total    float64
	loans    []borrowed
	ended    bool
}

// borrowed is one loan; settle reports to its lender what was used of it.
type borrowed struct {
	amount float64
	settle func(used float64)
}

// NewBorrowing returns a collection of as many retries as wanted, for which a number of routers
// is asked at a time.
func NewBorrowing(wanted float64, expected int, asked time.Time) *Borrowing {
	return &Borrowing{wanted: wanted, expected: expected, asked: asked}
}

// Wanted returns how much to ask for.
func (b *Borrowing) Wanted() float64 { return b.wanted + surplus }

// Ended reports whether Finish was called.
func (b *Borrowing) Ended() bool { return b.ended }

// Add adds the answer of a router, and reports whether no further one is needed. What comes
// after the end is given back.
func (b *Borrowing) Add(amount float64, settle func(used float64), now time.Time) bool {
	b.answers++
	if amount < rounding {
		return b.answers == b.expected
	}
	if b.ended || now.Sub(b.asked) >= LoanTime {
		settle(0)
		return false
	}
	b.total += amount
	b.loans = append(b.loans, borrowed{amount, settle})
	return b.total >= b.wanted || b.answers == b.expected
}

// Finish uses what was borrowed if that admits a retry, and settles with the lenders.
func (b *Borrowing) Finish(use func(borrowed float64) bool) bool {
	b.ended = true
	left := 0.0
	used := use(min(b.total, b.wanted, 1))
	if used {
		left = min(b.total, b.wanted, 1)
	}
	for _, l := range b.loans {
		part := min(l.amount, left)
		left -= part
		l.settle(part)
	}
	return used
}
