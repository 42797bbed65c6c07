// Package retry keeps the retries of a fleet of routers within one bound.
//
// The users state what a service may get in any window of time over all routers: ratio retries
// for each request, and an allowance besides. Routers decide without agreement. Each counts its
// own requests and retries and has a part of the allowance; a retry is admitted if, in every
// span of time that ends now and fits into the window,
//
//	retries <= ratio x requests + part of the allowance
//
// The sum over the routers is then within the users' bound in every window, as long as the
// parts add up to no more than the allowance. What a router does not use it lends: a loan counts
// as retries of the lender, and as none of the borrower. The process that had this router's part
// before may just have used it, so that a process that starts at first makes no more retries in
// all than the ratio of its own requests.
//
//	Budget       the retries of one router, by service
//	Reservation  one admitted retry, until it is sent
//	Loan         retries that another router may make in place of this one
//
// The package does no I/O; time comes from the caller and is steady.
package retry

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds are what the users allow each service, over all routers.
type Bounds struct {
	// Ratio is how many retries each request allows.
	Ratio float64
	// Allowance is how many retries are allowed in each window besides.
	Allowance float64
	// Window is the length of the spans in which both hold.
	Window time.Duration
}

// Service identifies a service among routers.
type Service uint64

// ServiceOf returns the identity of the service with a name.
func ServiceOf(name string) Service { return Service(xxhash.Sum64String(name)) }

// LoanTime is for how long a router may use what it has borrowed, from when it asked. Without a
// settlement the lender counts all of the loan as used by then.
const LoanTime = 250 * time.Millisecond

// settlementTime is for how long after the end of a loan a settlement that is late is still taken.
const settlementTime = 4 * time.Second

// LoanID identifies a loan at its lender.
type LoanID uint32

// loan is what this router has lent.
type loan struct {
	account *account
	amount  float64
	until   time.Time
	// expired is set once all of it counts as used.
	expired bool
}

// Budget is one router's part of the fleet's retries. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	bounds Bounds
	// epoch is the beginning of the first slot of the accounts, and of the life of this budget.
	// partFrom is from when on the part of the allowance may be used.
	epoch, partFrom time.Time
	// routers is by how many the allowance is divided; 0 if that is not known.
	routers  float64
	accounts map[Service]*account
	loans    map[LoanID]loan
	lastLoan LoanID
}

// NewBudget returns the budget of a router that starts now. Before partFrom it uses no more than
// the ratio of its own requests.
func NewBudget(b Bounds, now, partFrom time.Time) *Budget {
	return &Budget{
		bounds: b, partFrom: partFrom, epoch: now,
		accounts: make(map[Service]*account),
		loans:    make(map[LoanID]loan),
		// Settlements of loans of the process before may still arrive.
		lastLoan: LoanID(rand.Uint32()),
	}
}

// SetBounds replaces the bounds. After a change of the window nothing is known of what was used
// in the new one, so that the part of the allowance begins one window later.
func (b *Budget) SetBounds(bounds Bounds, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bounds.Window != b.bounds.Window {
		clear(b.accounts)
		clear(b.loans)
		b.epoch = now
		if from := now.Add(max(bounds.Window, b.bounds.Window) + LoanTime); from.After(b.partFrom) {
			b.partFrom = from
		}
	}
	b.bounds = bounds
}

// SetRouters sets by how many routers the allowance is divided. Routers that this one has lost
// the contact to count: they may retry as well. Zero means that the number is not known.
func (b *Budget) SetRouters(routers float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.routers = routers
}

// Window returns the length of the spans in which the bounds hold.
func (b *Budget) Window() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bounds.Window
}

// HasPart reports whether this router may use its part of the allowance.
func (b *Budget) HasPart(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.routers > 0 && !now.Before(b.partFrom)
}

// part returns this router's part of the allowance.
func (b *Budget) part() float64 {
	if b.routers <= 0 {
		return 0
	}
	return b.bounds.Allowance / b.routers
}

// Request counts a request for a service. A request that another router counts, since it hands
// it to this one, must not be counted again.
func (b *Budget) Request(s Service, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s, now)
	if now.Sub(b.epoch) >= LoanTime {
		// Before, others may use what the process before this one lent them.
		a.add(-b.bounds.Ratio)
	}
}

// account returns the account of a service as of now.
func (b *Budget) account(s Service, now time.Time) *account {
	a := b.accounts[s]
	if a == nil {
		b.forgetIdle(now)
		a = &account{slot: b.slot(now)}
		b.accounts[s] = a
	}
	a.advance(b.slot(now))
	b.expireLoans(now)
	return a
}

// slot returns the number of the slot of a time.
func (b *Budget) slot(now time.Time) int64 {
	return int64(now.Sub(b.epoch)) / max(int64(b.bounds.Window)/slotsPerWindow, 1)
}

// forgetIdle forgets the services without requests or retries within the window.
func (b *Budget) forgetIdle(now time.Time) {
	if now.Before(b.partFrom) {
		return
	}
	oldest := b.slot(now) - slotsPerWindow
	maps.DeleteFunc(b.accounts, func(_ Service, a *account) bool { return a.slot < oldest && a.open < rounding })
}

// expireLoans counts the loans without a settlement as used, and forgets those whose settlement is
// no longer taken.
func (b *Budget) expireLoans(now time.Time) {
	for id, l := range b.loans {
		switch {
		case now.Before(l.until):
		case !l.expired:
			b.expire(l)
			l.expired = true
			b.loans[id] = l
		case now.Sub(l.until) >= settlementTime:
			delete(b.loans, id)
		}
	}
}

// expire counts all of a loan as used by its end.
func (b *Budget) expire(l loan) {
	l.account.open -= l.amount
	l.account.advance(b.slot(l.until))
	l.account.expireAt(l.amount, b.slot(l.until))
}

// left returns how many retries an account admits.
func (b *Budget) left(a *account, now time.Time) float64 {
	left := b.part() - a.excess()
	if now.Before(b.partFrom) {
		left = min(left, -a.total)
	}
	return left - a.open
}

// Left returns how many retries at a service this router may make by itself. It may be less than
// one, and less than zero after the number of routers has grown.
func (b *Budget) Left(s Service, now time.Time) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.account(s, now), now)
}

// rounding is what sums of fractions may be off by.
const rounding = 1e-6

// Reserve admits one retry at a service, of which a part may be borrowed, and returns nil if too
// little is left for the rest.
func (b *Budget) Reserve(s Service, borrowed float64, now time.Time) *Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s, now)
	own := max(1-borrowed, 0)
	if own > rounding && own > b.left(a, now)+rounding {
		return nil
	}
	a.open += own
	return &Reservation{budget: b, account: a, amount: own}
}

// Lend sets retries at a service aside for another router, as many as this one has left and at
// most as many as wanted. The amount may be zero; then there is no loan.
func (b *Budget) Lend(s Service, wanted float64, now time.Time) (id LoanID, amount float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(s, now)
	amount = min(wanted, b.left(a, now))
	if amount < rounding {
		return 0, 0
	}
	b.lastLoan++
	b.loans[b.lastLoan] = loan{account: a, amount: amount, until: now.Add(LoanTime)}
	a.open += amount
	return b.lastLoan, amount
}

// Settle ends a loan, of which the borrower has used some.
func (b *Budget) Settle(id LoanID, used float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, known := b.loans[id]
	if !known {
		return
	}
	delete(b.loans, id)
	used = min(max(used, 0), l.amount)
	if l.expired {
		l.account.expireAt(used-l.amount, b.slot(l.until))
		return
	}
	l.account.open -= l.amount
	l.account.advance(b.slot(now))
	l.account.addAt(used, b.slot(now))
}

// Reservation is one retry that was admitted. It counts as if it were made now until Use or
// Release is called. The zero value and nil are reservations of nothing.
type Reservation struct {
	budget  *Budget
	account *account
	amount  float64
}

// Use counts the retry as sent now. Later calls have no effect.
func (r *Reservation) Use(now time.Time) { r.end(now, true) }

// Release gives the retry back, unless it was used.
func (r *Reservation) Release(now time.Time) { r.end(now, false) }

func (r *Reservation) end(now time.Time, used bool) {
	if r == nil || r.budget == nil {
		return
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.account.open -= r.amount
	if used {
		r.account.advance(b.slot(now))
		r.account.add(r.amount)
	}
	r.amount = 0
}
