// Package orders gives targets orders that only one router of the fleet may
// give at a time: to load an adapter, a model, a version, or to change role.
//
// The right to give them is a lease in the key-value service, and each holder
// has a token larger than every earlier one:
//
//	record {holder, token} bound to a lease; a new holder swaps in token + 1
//	target that checks:   refuses a smaller token than it has seen
//	target that does not: gets orders only well inside the lease, and a new
//	                      holder waits the old lease out, and a margin, first
//
// A holder that was paused past its lease may act as if it held it still. A
// target that checks refuses it; for one that does not, the holder looks at its
// monotonic clock just before sending, and the margin covers the time from that
// look to the order's arrival. Orders state the wanted end, so one that is
// repeated does no harm.
package orders

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/time/rate"

	"github.com/croftyard/croftyard/pkg/kv"
)

// HolderKey is where the record stands in the service.
const HolderKey = "croftyard/orders/holder"

// Errors of this package.
var (
	// ErrHeld: another router holds the lease.
	ErrHeld = errors.New("orders: held by another")
	// ErrNotNow: the order must wait: for the margin, or for the weight store.
	ErrNotNow = errors.New("orders: not now")
	// ErrLost: the lease is, or may be, no longer held.
	ErrLost = errors.New("orders: lease lost")
	// ErrUnavailable: the service could not be asked.
	ErrUnavailable = errors.New("orders: service unavailable")
)

// Terms are the times and rates of the right to give orders.
type Terms struct {
	// TTL is the lease's length. Margin is kept free before the lease's end and
	// again after it, so a pause between the look at the clock and an order's
	// arrival does no harm up to twice the margin, clock drift included.
	TTL    time.Duration
	Margin time.Duration
	// Loads is the loads a second that the weight store bears.
	Loads float64
}

// record is what the service holds.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// Holder tries to hold the right for one process. It is not safe for
// concurrent use.
type Holder struct {
	store kv.Store
	now   func() time.Time
	name  string
	terms Terms
	loads *rate.Limiter

	lease kv.LeaseID
	token uint64
	// until is when the lease ends at the earliest, by this process's clock:
	// counted from before the service was asked.
	until time.Time
	// unchecked is when targets that do not check tokens may get orders.
	unchecked time.Time
}

// NewHolder returns a holder that does not hold the right. now must be
// monotonic, as time.Now is.
func NewHolder(store kv.Store, name string, terms Terms, now func() time.Time) *Holder {
	return &Holder{
		store: store, now: now, name: name, terms: terms,
		loads: rate.NewLimiter(rate.Limit(terms.Loads), 1),
	}
}

// Held tells whether the right is held, as far as this process knows.
func (h *Holder) Held() bool {
	return h.token > 0 && h.now().Before(h.until)
}

// Hold takes the right or keeps it. It is to be called several times within
// the TTL. It returns nil while the right is held.
func (h *Holder) Hold(ctx context.Context) error {
	if h.token > 0 {
		return h.keep(ctx)
	}
	return h.take(ctx)
}

func (h *Holder) keep(ctx context.Context) error {
	asked := h.now()
	err := h.store.KeepAlive(ctx, h.lease)
	switch {
	case err == nil:
		h.until = asked.Add(h.terms.TTL)
		return nil
	case errors.Is(err, kv.ErrLease):
		h.drop()
		return fmt.Errorf("%w: %v", ErrLost, err)
	}
	// The lease runs on as far as it is known to.
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func (h *Holder) drop() {
	h.token = 0
	h.lease = kv.NoLease
}

func (h *Holder) take(ctx context.Context) error {
	entry, err := h.store.Get(ctx, HolderKey)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	old, err := decode(entry.Value)
	if err != nil {
		return err
	}
	if entry.Revision != 0 && old.Holder != "" {
		if held, err := h.stillHeld(ctx); err != nil || held {
			return errors.Join(ErrHeld, err)
		}
	}
	return h.swap(ctx, entry.Revision, old.Token+1)
}

// aliveKey is bound to the holder's lease; the record itself stays, since the
// token must grow for ever.
const aliveKey = HolderKey + "/alive"

func (h *Holder) stillHeld(ctx context.Context) (bool, error) {
	alive, err := h.store.Get(ctx, aliveKey)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return alive.Revision != 0, nil
}

// swap takes the right: first the alive key under a new lease, which only one
// router can create, then the larger token. A step whose answer was lost leaves
// an alive key that lapses by itself.
func (h *Holder) swap(ctx context.Context, revision, token uint64) error {
	asked := h.now()
	lease, err := h.store.Grant(ctx, h.terms.TTL)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if _, err := h.store.Swap(ctx, aliveKey, 0, []byte(h.name), lease); err != nil {
		return fmt.Errorf("%w: %v", ErrHeld, err)
	}
	if _, err := h.store.Swap(ctx, HolderKey, revision, encode(record{Holder: h.name, Token: token}), kv.NoLease); err != nil {
		return fmt.Errorf("%w: %v", ErrHeld, err)
	}
	h.lease = lease
	h.token = token
	h.until = asked.Add(h.terms.TTL)
	// Whoever held the right before may believe so until its lease's end, which
	// is past; what it sent then arrives within the margin.
	h.unchecked = h.now().Add(h.terms.Margin)
	return nil
}

// Order is leave to send one order now.
type Order struct {
	// Token is to be sent with the order.
	Token uint64
	// Before is the latest moment to send the first byte.
	Before time.Time
}

// Authorize asks for leave to give an order, just before sending it. checks tells
// that the target refuses smaller tokens; load that the order draws on the
// weight store.
func (h *Holder) Authorize(checks, load bool) (Order, error) {
	now := h.now()
	before := h.until.Add(-h.terms.Margin)
	switch {
	case h.token == 0 || !now.Before(h.until):
		return Order{}, ErrLost
	case !checks && !now.Before(before):
		return Order{}, fmt.Errorf("%w: the lease is near its end", ErrNotNow)
	case !checks && now.Before(h.unchecked):
		return Order{}, fmt.Errorf("%w: the last holder's orders may still arrive", ErrNotNow)
	case load && !h.loads.AllowN(now, 1):
		return Order{}, fmt.Errorf("%w: the weight store's rate", ErrNotNow)
	}
	return Order{Token: h.token, Before: before}, nil
}

func encode(r record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// record holds a string and a number.
		panic(err)
	}
	return b
}

func decode(value []byte) (record, error) {
	var r record
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("%w: record not readable: %v", ErrUnavailable, err)
	}
	return r, nil
}
