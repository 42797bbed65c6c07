// Package retries admits the retries of calls by one budget of all routers, and borrows from others what this
// router lacks.
//
//	budget.go  the retries of a router
//	call.go    those of one call, some admitted before they are needed
package retries

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/retry"
)

// Loans borrows retries from other routers.
type Loans interface {
	// Borrow returns what others lent of the retries at a service, within retry.BorrowTimeout.
	// The caller calls Finish.
	Borrow(ctx context.Context, s retry.Service, wanted float64) *retry.Borrowing
}

// Budget admits the retries of a router by the budget of the fleet.
type Budget struct {
	own *retry.Budget
	// loans may be nil.
	loans Loans

	mu sync.Mutex
	// pauses are until when other routers are not asked for retries at a service, since they had
	// too few.
	pauses map[string]time.Time
	// exhausted is set while the last retry that was asked for was not admitted.
	exhausted bool
}

// New returns a budget of this router's part of the fleet's retries. Without loans, which may be nil, nothing
// is borrowed.
func New(own *retry.Budget, loans Loans) *Budget { return &Budget{own: own, loans: loans} }

// Request counts a request of a service, which adds to its retries.
func (b *Budget) Request(service string, now time.Time) { b.own.Request(retry.ServiceOf(service), now) }

// Reserve admits one retry at a service, if this router may make it by itself.
func (b *Budget) Reserve(service string) *retry.Reservation {
	return b.own.Reserve(retry.ServiceOf(service), 0, steady.Now())
}

// borrow admits one retry at a service for which other routers lend what this one lacks.
func (b *Budget) borrow(ctx context.Context, service string) *retry.Reservation {
	if b.loans == nil || b.paused(service, steady.Now()) {
		return nil
	}
	key := retry.ServiceOf(service)
	lacking := min(1-b.own.Left(key, steady.Now()), 1)
	var admitted *retry.Reservation
	b.loans.Borrow(ctx, key, lacking).Finish(func(borrowed float64) bool {
		admitted = b.own.Reserve(key, borrowed, steady.Now())
		return admitted != nil
	})
	if admitted == nil {
		b.pause(service, steady.Now())
	}
	return admitted
}

// Left returns how many retries at a service this router may make by itself.
func (b *Budget) Left(service string) float64 {
	return b.own.Left(retry.ServiceOf(service), steady.Now())
}

func (b *Budget) paused(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.pauses[service])
}

func (b *Budget) pause(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pauses == nil {
		b.pauses = make(map[string]time.Time)
	}
	maps.DeleteFunc(b.pauses, func(_ string, until time.Time) bool { return !now.Before(until) })
	b.pauses[service] = now.Add(retry.BorrowPause)
}

// Exhaust records whether a retry was refused, and reports whether it is the first one of a row.
func (b *Budget) Exhaust(refused bool) (first bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first = refused && !b.exhausted
	b.exhausted = refused
	return first
}
