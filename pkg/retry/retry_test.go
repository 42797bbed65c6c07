package retry

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The verdict is the same in each run. A check plays few steps, so there are many.
func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "4000")
}

var begin = time.Unix(1000, 0)

// single returns the budget of a fleet of one router.
func single(ratio, allowance float64) *Budget {
	b := NewBudget(Bounds{ratio, allowance, testWindow}, begin.Add(-LoanTime), begin)
	b.SetRouters(1)
	return b
}

// spend makes retries until none is admitted, at most limit, and returns how many.
func spend(b *Budget, s Service, now time.Time, limit int) int {
	for n := range limit {
		r := b.Reserve(s, 0, now)
		if r == nil {
			return n
		}
		r.Use(now)
	}
	return limit
}

func request(b *Budget, s Service, now time.Time, n int) {
	for range n {
		b.Request(s, now)
	}
}

func TestBudget(t *testing.T) {
	const few = 1000
	after := func(d time.Duration) time.Time { return begin.Add(d) }
	tests := map[string]struct {
		play func(b *Budget) int
		want int
	}{
		"the allowance": {func(b *Budget) int { return spend(b, 1, begin, few) }, 5},
		"the ratio of the requests besides": {func(b *Budget) int {
			request(b, 1, begin, 20)
			return spend(b, 1, begin, few)
		}, 5},
		"requests after retries pay for more": {func(b *Budget) int {
			spend(b, 1, begin, few)
			request(b, 1, begin, 20)
			return spend(b, 1, begin, few)
		}, 4},
		"not the requests of another service": {func(b *Budget) int {
			spend(b, 1, begin, few)
			request(b, 2, begin, 100)
			return spend(b, 1, begin, few)
		}, 0},
		"the allowance once in a window": {func(b *Budget) int {
			spend(b, 1, begin, few)
			return spend(b, 1, after(testWindow), few)
		}, 0},
		"the allowance again in the next": {func(b *Budget) int {
			spend(b, 1, begin, few)
			return spend(b, 1, after(testWindow+testWindow/slotsPerWindow), few)
		}, 5},
		"what is reserved is used": {func(b *Budget) int {
			b.Reserve(1, 0, begin)
			return spend(b, 1, after(2*testWindow), few)
		}, 4},
		"what is released is not": {func(b *Budget) int {
			r := b.Reserve(1, 0, begin)
			r.Release(begin)
			r.Use(begin)
			return spend(b, 1, begin, few)
		}, 5},
		"a retry counts from when it is sent": {func(b *Budget) int {
			b.Reserve(1, 0, begin).Use(after(testWindow))
			return spend(b, 1, after(2*testWindow), few)
		}, 4},
		"what is borrowed counts at the lender": {func(b *Budget) int {
			for range 3 {
				b.Reserve(1, 1, begin).Use(begin)
			}
			return spend(b, 1, begin, few)
		}, 5},
		"what is lent counts": {func(b *Budget) int {
			b.Lend(1, 2, begin)
			return spend(b, 1, begin, few)
		}, 3},
		"what is lent and not settled counts for a window": {func(b *Budget) int {
			b.Lend(1, 2, begin)
			return spend(b, 1, after(testWindow), few)
		}, 3},
		"what is given back does not": {func(b *Budget) int {
			id, _ := b.Lend(1, 2, begin)
			b.Settle(id, 0.5, begin)
			b.Settle(id, 0, begin)
			return spend(b, 1, begin, few)
		}, 4},
		"what is given back late counts no more": {func(b *Budget) int {
			id, _ := b.Lend(1, 2, begin)
			spent := spend(b, 1, after(LoanTime), few)
			b.Settle(id, 0, after(LoanTime+time.Second))
			return spent + spend(b, 1, after(LoanTime+time.Second), few)
		}, 5},
		"what was used counts after a late settlement": {func(b *Budget) int {
			id, _ := b.Lend(1, 2, begin)
			b.Left(1, after(LoanTime))
			b.Settle(id, 0.5, after(LoanTime+time.Second))
			b.Settle(id, 0, after(LoanTime+time.Second))
			return spend(b, 1, after(LoanTime+time.Second), few)
		}, 4},
		"a late settlement returns nothing of later retries": {func(b *Budget) int {
			id, _ := b.Lend(1, 2, begin)
			b.Left(1, after(LoanTime))
			request(b, 1, after(LoanTime), 100)
			spent := spend(b, 1, after(2*LoanTime), few)
			b.Settle(id, 0, after(2*LoanTime))
			return spent + spend(b, 1, after(2*LoanTime), few)
		}, 5},
		"what is given back too late counts": {func(b *Budget) int {
			id, _ := b.Lend(1, 2, begin)
			b.Left(1, after(LoanTime))
			b.Left(1, after(LoanTime+settlementTime))
			b.Settle(id, 0, after(LoanTime+settlementTime))
			return spend(b, 1, after(LoanTime+settlementTime), few)
		}, 3},
		"no more is lent than is left": {func(b *Budget) int {
			_, amount := b.Lend(1, 100, begin)
			return int(amount)
		}, 5},
		"a part of the allowance": {func(b *Budget) int {
			b.SetRouters(2)
			return spend(b, 1, begin, few)
		}, 2},
		"no part where the routers are not known": {func(b *Budget) int {
			b.SetRouters(0)
			return spend(b, 1, begin, few)
		}, 0},
		"less after a router has joined": {func(b *Budget) int {
			spend(b, 1, begin, 3)
			b.SetRouters(2)
			return spend(b, 1, begin, few)
		}, 0},
		"nothing for a window after it has changed": {func(b *Budget) int {
			spend(b, 1, begin, few)
			b.SetBounds(Bounds{0.2, 5, testWindow / 2}, begin)
			return spend(b, 1, after(testWindow-1), few)
		}, 0},
		"a new allowance at once": {func(b *Budget) int {
			spend(b, 1, begin, few)
			b.SetBounds(Bounds{0.2, 7, testWindow}, begin)
			return spend(b, 1, begin, few)
		}, 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { assert.Equal(t, test.want, test.play(single(0.2, 5))) })
	}
}

// Guards against a process that uses the allowance which the one before it has just used.
func TestRouterThatStartsUsesNoAllowance(t *testing.T) {
	from := begin.Add(testWindow + LoanTime)
	b := NewBudget(Bounds{0.2, 5, testWindow}, begin, from)
	b.SetRouters(1)
	request(b, 1, begin, 100)
	assert.False(t, b.HasPart(begin))
	assert.Zero(t, spend(b, 1, begin, 10), "others may use what the process before has lent")
	assert.NotNil(t, b.Reserve(1, 1, begin), "it may borrow")
	request(b, 1, begin.Add(LoanTime), 20)
	_, lent := b.Lend(1, 1, begin.Add(LoanTime))
	assert.Equal(t, 1.0, lent)
	assert.Equal(t, 3, spend(b, 1, begin.Add(LoanTime), 10), "a ratio of its own requests")
	assert.True(t, b.HasPart(from))
	assert.Equal(t, 5, spend(b, 1, from.Add(testWindow), 10))
}

func TestIdleServicesAreForgotten(t *testing.T) {
	b := single(0.2, 5)
	for n := range 100 {
		request(b, Service(n), begin.Add(time.Duration(n)*testWindow), 1)
	}
	assert.LessOrEqual(t, len(b.accounts), 3)
}

func TestBorrowing(t *testing.T) {
	type answer struct {
		amount float64
		after  time.Duration
	}
	tests := map[string]struct {
		answers []answer
		enough  bool
		used    []float64
	}{
		"of one":                     {[]answer{{0.6, 0}}, true, []float64{0.6}},
		"parts of several":           {[]answer{{0.2, 0}, {0, 0}, {0.3, 0}, {0.4, 0}}, true, []float64{0.2, 0.3, 0.1}},
		"too little":                 {[]answer{{0.2, 0}, {0.3, 0}}, false, []float64{0, 0}},
		"a loan that comes too late": {[]answer{{0.6, LoanTime}}, false, []float64{0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := NewBorrowing(0.6, len(test.answers), begin)
			var used []float64
			for _, a := range test.answers {
				at := len(used)
				if a.amount > 0 {
					used = append(used, -1)
				}
				b.Add(a.amount, func(part float64) { used[at] = part }, begin.Add(a.after))
			}
			assert.Equal(t, test.enough, b.Finish(func(borrowed float64) bool { return borrowed >= 0.6 }))
			assert.InDeltaSlice(t, test.used, used, rounding)
			late := -1.0
			b.Add(0.5, func(part float64) { late = part }, begin)
			assert.Zero(t, late, "given back")
		})
	}
}

// randomFleet is some routers on which random steps are played.
type randomFleet struct {
	t                 *rapid.T
	bounds            Bounds
	now               time.Time
	budgets           []*Budget
	open              []*Reservation
	unsettled         []randomLoan
	requests, retries []time.Time
}

// randomLoan is a loan of which some was used. Its settlement may come late or never.
type randomLoan struct {
	lender *Budget
	id     LoanID
	used   float64
}

func (f *randomFleet) router() *Budget {
	return f.budgets[rapid.IntRange(0, len(f.budgets)-1).Draw(f.t, "router")]
}

func (f *randomFleet) steps() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"requests": func(t *rapid.T) {
			b := f.router()
			for range rapid.IntRange(1, 20).Draw(t, "requests") {
				f.requests = append(f.requests, f.now)
				b.Request(1, f.now)
			}
		},
		"retries": func(t *rapid.T) {
			for range rapid.IntRange(1, 10).Draw(t, "retries") {
				if r := f.router().Reserve(1, 0, f.now); r != nil {
					f.open = append(f.open, r)
				}
			}
		},
		"send": func(t *rapid.T) { f.endFirst(func(r *Reservation) { f.use(r) }) },
		"give up": func(t *rapid.T) {
			f.endFirst(func(r *Reservation) { r.Release(f.now) })
		},
		"borrow": func(t *rapid.T) {
			for range rapid.IntRange(1, 10).Draw(t, "retries") {
				f.borrow(rapid.Bool().Draw(t, "settled"))
			}
		},
		"settle late": func(t *rapid.T) {
			for _, l := range f.unsettled {
				l.lender.Settle(l.id, l.used, f.now)
			}
			f.unsettled = nil
		},
		"restart": func(t *rapid.T) {
			n := rapid.IntRange(0, len(f.budgets)-1).Draw(t, "router")
			b := NewBudget(f.bounds, f.now, f.now.Add(testWindow+LoanTime))
			b.SetRouters(float64(len(f.budgets)))
			f.open = slices.DeleteFunc(f.open, func(r *Reservation) bool { return r.budget == f.budgets[n] })
			f.budgets[n] = b
		},
	}
}

// borrow makes a retry of one router with loans of the others.
func (f *randomFleet) borrow(settled bool) {
	b, total := f.router(), 0.0
	var loans []randomLoan
	for _, lender := range f.budgets {
		if lender == b {
			continue
		}
		if id, amount := lender.Lend(1, 1-total, f.now); amount > 0 {
			loans = append(loans, randomLoan{lender, id, amount})
			total += amount
		}
	}
	r := b.Reserve(1, total, f.now)
	if r != nil {
		f.use(r)
	}
	for _, l := range loans {
		if r == nil {
			l.used = 0
		}
		if !settled {
			f.unsettled = append(f.unsettled, l)
			continue
		}
		l.lender.Settle(l.id, l.used, f.now)
	}
}

func (f *randomFleet) endFirst(end func(*Reservation)) {
	if len(f.open) > 0 {
		end(f.open[0])
		f.open = f.open[1:]
	}
}

func (f *randomFleet) use(r *Reservation) {
	r.Use(f.now)
	f.retries = append(f.retries, f.now)
}

// check checks the bound in all windows that begin at a retry or end at one.
func (f *randomFleet) check() {
	within := func(times []time.Time, from time.Time) (n float64) {
		for _, at := range times {
			if !at.Before(from) && !at.After(from.Add(f.bounds.Window)) {
				n++
			}
		}
		return n
	}
	for _, at := range f.retries {
		for _, from := range []time.Time{at, at.Add(-f.bounds.Window)} {
			allowed := f.bounds.Ratio*within(f.requests, from) + f.bounds.Allowance
			require.LessOrEqual(f.t, within(f.retries, from), allowed+rounding)
		}
	}
}

// Guards against any order of requests, retries, loans and restarts in which the routers together
// retry more than the users allow.
func TestRandomFleetStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 5).Draw(t, "routers")
		f := &randomFleet{t: t, now: begin, bounds: Bounds{
			Ratio: rapid.Float64Range(0, 0.5).Draw(t, "ratio"), Allowance: rapid.Float64Range(0, 9).Draw(t, "allowance"), Window: testWindow}}
		for range routers {
			b := NewBudget(f.bounds, begin.Add(-LoanTime), begin)
			b.SetRouters(float64(routers))
			f.budgets = append(f.budgets, b)
		}
		t.Repeat(f.steps())
		f.check()
	})
}
