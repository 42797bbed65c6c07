package front

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/silence"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/retry"
)

// Loans borrows retries from other routers.
type Loans interface {
	// Borrow returns what others lent of the retries at a service, within retry.BorrowTimeout.
	// The caller calls Finish.
	Borrow(ctx context.Context, s retry.Service, wanted float64) *retry.Borrowing
}

// retries admits retries by the budget of the fleet.
type retries struct {
	budget *retry.Budget
	// loans may be nil.
	loans Loans

	mu sync.Mutex
	// pauses are until when other routers are not asked for retries at a service, since they had
	// too few.
	pauses map[string]time.Time
	// exhausted is set while the last retry that was asked for was not admitted.
	exhausted bool
}

// reserve admits one retry at a service, if this router may make it by itself.
func (r *retries) reserve(service string) *retry.Reservation {
	return r.budget.Reserve(retry.ServiceOf(service), 0, steady.Now())
}

// borrow admits one retry at a service for which other routers lend what this one lacks.
func (r *retries) borrow(ctx context.Context, service string) *retry.Reservation {
	if r.loans == nil || r.paused(service, steady.Now()) {
		return nil
	}
	key := retry.ServiceOf(service)
	lacking := min(1-r.budget.Left(key, steady.Now()), 1)
	var admitted *retry.Reservation
	r.loans.Borrow(ctx, key, lacking).Finish(func(borrowed float64) bool {
		admitted = r.budget.Reserve(key, borrowed, steady.Now())
		return admitted != nil
	})
	if admitted == nil {
		r.pause(service, steady.Now())
	}
	return admitted
}

// left returns how many retries at a service this router may make by itself.
func (r *retries) left(service string) float64 {
	return r.budget.Left(retry.ServiceOf(service), steady.Now())
}

func (r *retries) paused(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Before(r.pauses[service])
}

func (r *retries) pause(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pauses == nil {
		r.pauses = make(map[string]time.Time)
	}
	maps.DeleteFunc(r.pauses, func(_ string, until time.Time) bool { return !now.Before(until) })
	r.pauses[service] = now.Add(retry.BorrowPause)
}

// exhaust records whether a retry was refused, and reports whether it is the first one of a row.
func (r *retries) exhaust(refused bool) (first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	first = refused && !r.exhausted
	r.exhausted = refused
	return first
}

// callRetries are the retries of one call.
type callRetries struct {
	mu sync.Mutex
	// next was admitted for the next attempt. It counts as made when that is written.
	next *retry.Reservation
	// ahead was admitted while an attempt is silent, claimed is set once the attempt was ended for
	// it. borrowing is set while other routers are asked for it, over once the call has ended.
	ahead                    *retry.Reservation
	claimed, borrowing, over bool
}

// admitRetry admits a retry by the budget, and waits for other routers to lend what it lacks.
func (c *call) admitRetry(ctx context.Context) bool {
	r := &c.retries
	if r.useAhead() {
		return true
	}
	f := &c.front.retries
	admitted := f.reserve(c.service.Name)
	if admitted == nil {
		if admitted = f.borrow(ctx, c.service.Name); admitted != nil {
			c.front.metrics.RetriesBorrowed.Inc(1)
		}
	}
	c.front.logExhausted(c.id, c.service.Name, admitted == nil)
	if admitted == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = admitted
	return true
}

// useAhead makes what was admitted ahead the next retry, and reports whether there is one.
func (r *callRetries) useAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		// The attempt that it was admitted for was not written.
		return true
	}
	r.next, r.ahead, r.claimed = r.ahead, nil, false
	return r.next != nil
}

// claimRetry admits a retry for an attempt that is silent, which is ended for it. If other routers have
// to be asked, a later claim succeeds.
func (c *call) claimRetry(service string) bool {
	r := &c.retries
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed || r.over {
		return false
	}
	if r.ahead == nil {
		r.ahead = c.front.retries.reserve(service)
	}
	if r.ahead == nil {
		c.borrowAhead(service)
		return false
	}
	r.claimed = true
	return true
}

// aheadTime is how long a borrowed retry is kept for a silent attempt, which is looked at again
// meanwhile.
const aheadTime = 3 * silence.Recheck

// borrowAhead asks other routers for a retry. c.retries.mu is held.
func (c *call) borrowAhead(service string) {
	r := &c.retries
	if r.borrowing {
		return
	}
	r.borrowing = true
	go func() {
		admitted := c.front.retries.borrow(c.front.cutting, service)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.borrowing = false
		switch {
		case admitted == nil:
		case r.over || r.ahead != nil:
			admitted.Release(steady.Now())
		default:
			r.ahead = admitted
			time.AfterFunc(aheadTime, func() { r.drop(admitted) })
		}
	}()
}

// drop gives back what was admitted ahead, unless the attempt was ended for it.
func (r *callRetries) drop(admitted *retry.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ahead == admitted && !r.claimed {
		r.ahead = nil
		admitted.Release(steady.Now())
	}
}

// written counts the next retry as made.
func (r *callRetries) written(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Use(now)
	r.next = nil
}

// end gives back what was not used.
func (r *callRetries) end(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	r.next.Release(now)
	r.ahead.Release(now)
	r.next, r.ahead = nil, nil
}

// logExhausted logs the first of a row of retries that were not admitted.
func (f *Front) logExhausted(request, service string, refused bool) {
	if f.retries.exhaust(refused) {
		f.log.Write(event.BudgetSpent, event.F("request", request), event.F("service", service), event.F("left", f.retries.left(service)))
	}
}
