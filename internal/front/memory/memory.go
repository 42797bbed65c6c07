// Package memory bounds the bytes that a router holds for all its callers together.
package memory

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/pkg/membudget"
)

const (
	// smallBody is the largest body, in bytes, that may use the part of the budget which
	// large ones leave free. It is well above the size of plain requests.
	smallBody = 16 << 10
	// firstStep is the first allocation for a body of unknown length; each further one
	// doubles it.
	firstStep = 4 << 10
)

// ErrFull means that a body does not fit in the memory budget.
var ErrFull = errors.New("front: not enough memory")

// Pool is the memory for all callers.
type Pool struct {
	budget membudget.Budget
	// full is set from the first refusal for lack of memory until there is room again.
	full atomic.Bool
	log  *event.Log
}

// NewPool returns a pool without a limit.
func NewPool(log *event.Log) *Pool { return &Pool{log: log} }

// Budget returns the budget of the bytes that are held.
func (p *Pool) Budget() *membudget.Budget { return &p.budget }

// SetLimit sets the maximum of the bytes held; zero means none.
func (p *Pool) SetLimit(n int64) {
	p.budget.SetLimit(n)
	p.logRoom()
}

// Account is what one call holds.
type Account struct {
	pool *Pool
	// request is the id of the call's request, for logs.
	request string
	// held is in bytes.
	held int64
}

// Account returns an empty account for a request.
func (p *Pool) Account(request string) Account { return Account{pool: p, request: request} }

// reserve charges n more bytes of the body to the call, whose body then has the given size.
func (a *Account) reserve(n, size int64) bool {
	take := a.pool.budget.ReserveLarge
	if size <= smallBody {
		take = a.pool.budget.Reserve
	}
	if take(n) {
		a.held += n
		return true
	}
	p := a.pool
	if !p.full.Swap(true) {
		p.log.Write(event.MemoryFull, event.F("request", a.request), event.F("wanted", n), event.F("used", p.budget.Used()), event.F("limit", p.budget.Limit()))
	}
	return false
}

// Charge adds n bytes that the call holds already, or returns them if n is negative. What
// exceeds the budget is refused to later calls: an answer does not end for lack of memory.
func (a *Account) Charge(n int) {
	a.pool.budget.Charge(int64(n))
	a.held += int64(n)
	if n < 0 {
		a.pool.logRoom()
	}
}

// IsScarce reports whether more than half of the budget is used.
func (a *Account) IsScarce() bool {
	limit := a.pool.budget.Limit()
	return limit > 0 && a.pool.budget.Used() > limit/2
}

// Release returns what the call has reserved and charged.
func (a *Account) Release() {
	if a.held == 0 {
		return
	}
	a.pool.budget.Release(a.held)
	a.held = 0
	a.pool.logRoom()
}

// logRoom logs once that there is room again after a refusal. Half of the limit must be
// free, so that a budget that is nearly full does not log with each call.
func (p *Pool) logRoom() {
	used, limit := p.budget.Used(), p.budget.Limit()
	if p.full.Load() && (limit == 0 || used <= limit/2) && p.full.CompareAndSwap(true, false) {
		p.log.Write(event.MemoryFree, event.F("used", used), event.F("limit", limit), event.F("rejected", p.budget.Rejected()))
	}
}

// Read reads a body, charging it to the call: before reading if its length is known, and
// otherwise before each step of growth. limit is the largest size of a body, or 0.
func (a *Account) Read(reader io.Reader, length, limit int64) ([]byte, error) {
	if length == 0 {
		return nil, nil
	}
	if length > 0 && !a.reserve(length, length) {
		return nil, ErrFull
	}
	most := length
	if length < 0 && limit > 0 {
		// One byte more than the limit shows whether the body ends there.
		most = limit + 1
	}
	var body []byte
	if length > 0 && (length <= smallBody || a.pool.budget.Limit() > 0) {
		body = make([]byte, length)
		n, err := io.ReadFull(reader, body)
		return body[:n], err
	}
	for {
		if len(body) == cap(body) {
			grown, err := a.grow(body, most, length > 0)
			if err != nil {
				return nil, err
			}
			body = grown
		}
		n, err := reader.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow returns a copy of a body with more capacity, up to most if that is not reached. Both are
// charged while both exist, unless the whole length is charged already.
func (a *Account) grow(body []byte, most int64, charged bool) ([]byte, error) {
	old := int64(cap(body))
	size := max(2*old, firstStep)
	if old < most {
		size = min(size, most)
	}
	if !charged && !a.reserve(size, size) {
		return nil, ErrFull
	}
	grown := make([]byte, len(body), size)
	copy(grown, body)
	if !charged {
		a.pool.budget.Release(old)
		a.held -= old
	}
	return grown, nil
}
