package retries

import (
	"context"
	"sync"
	"time"

	"github.com/croftyard/croftyard/internal/front/silence"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/retry"
)

// Call is the retries of one call.
type Call struct {
	mu sync.Mutex
	// next was admitted for the next attempt. It counts as made when that is written.
	next *retry.Reservation
	// ahead was admitted while an attempt is silent, claimed is set once the attempt was ended for
	// it. borrowing is set while other routers are asked for it, over once the call has ended.
	ahead                    *retry.Reservation
	claimed, borrowing, over bool
}

// Admission says how a retry was admitted.
type Admission uint8

const (
	// Refused: it was not.
	Refused Admission = iota
	// Ahead: before it was needed.
	Ahead
	// Own: by this router's part.
	Own
	// Borrowed: with what other routers lent.
	Borrowed
)

// Admit admits a retry at a service by the budget, and waits for other routers to lend what it lacks.
func (r *Call) Admit(ctx context.Context, b *Budget, service string) Admission {
	if r.useAhead() {
		return Ahead
	}
	admission, admitted := Own, b.Reserve(service)
	if admitted == nil {
		admission, admitted = Borrowed, b.borrow(ctx, service)
	}
	if admitted == nil {
		return Refused
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next = admitted
	return admission
}

// useAhead makes what was admitted ahead the next retry, and reports whether there is one.
func (r *Call) useAhead() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		// The attempt that it was admitted for was not written.
		return true
	}
	r.next, r.ahead, r.claimed = r.ahead, nil, false
	return r.next != nil
}

// Claim admits a retry for an attempt that is silent, which is ended for it. If other routers have
// to be asked, until ctx ends, a later claim succeeds.
func (r *Call) Claim(ctx context.Context, b *Budget, service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.claimed || r.over {
		return false
	}
	if r.ahead == nil {
		r.ahead = b.Reserve(service)
	}
	if r.ahead == nil {
		r.borrowAhead(ctx, b, service)
		return false
	}
	r.claimed = true
	return true
}

// aheadTime is how long a borrowed retry is kept for a silent attempt, which is looked at again
// meanwhile.
const aheadTime = 3 * silence.Recheck

// borrowAhead asks other routers for a retry. r.mu is held.
func (r *Call) borrowAhead(ctx context.Context, b *Budget, service string) {
	if r.borrowing {
		return
	}
	r.borrowing = true
	go func() {
		admitted := b.borrow(ctx, service)
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
func (r *Call) drop(admitted *retry.Reservation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ahead == admitted && !r.claimed {
		r.ahead = nil
		admitted.Release(steady.Now())
	}
}

// Written counts the next retry as made.
func (r *Call) Written(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next.Use(now)
	r.next = nil
}

// End gives back what was not used.
func (r *Call) End(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.over = true
	r.next.Release(now)
	r.ahead.Release(now)
	r.next, r.ahead = nil, nil
}
