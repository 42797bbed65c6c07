// Package orders elects the one router of the fleet that may send orders to
// targets: to load an adapter, a model or a version, or to change role.
//
// The holder owns a lease in the key-value store, and its fencing token is larger
// than that of every earlier holder:
//
//	holder record {holder, token}: kept; a new holder swaps in token + 1
//	alive key: bound to the lease; present while the lease may be held
//	target that checks tokens: refuses a token smaller than the largest it has seen
//	target that does not:      gets orders only well inside the lease, and a new
//	                           holder first waits for the old lease and a margin
//
// A holder paused past its lease may still act as if it held it. A target that
// checks tokens refuses its orders. For other targets, the holder reads its
// monotonic clock just before sending, and the margin covers the time from that
// reading to the order's arrival. An order states the desired state, so it is
// idempotent.
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

// HolderKey is the key of the holder record in the store.
const HolderKey = "croftyard/orders/holder"

// Errors of this package.
var (
	// ErrHeld: another router holds the lease.
	ErrHeld = errors.New("orders: lease held by another router")
	// ErrNotNow: the order must wait for the margin or for the weight store.
	ErrNotNow = errors.New("orders: not now")
	// ErrLost: the lease is, or may be, no longer held.
	ErrLost = errors.New("orders: lease lost")
	// ErrUnavailable: the store could not be used.
	ErrUnavailable = errors.New("orders: store unavailable")
)

// Terms are the lease times and the load rate that a holder observes.
type Terms struct {
	// TTL is the duration of the lease. Targets that do not check tokens get
	// no orders within Margin before the lease's end or after it, so a delay of up
	// to twice the margin between reading the clock and an order's arrival, clock
	// drift included, is safe.
	TTL    time.Duration
	Margin time.Duration
	// Loads is the number of loads per second that the weight store can serve.
	Loads float64
}

// record is the value stored under HolderKey.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// Holder acquires and renews the lease for one process. It is not safe for
// concurrent use.
type Holder struct {
	store kv.Store
	now   func() time.Time
	name  string
	terms Terms
	loads *rate.Limiter

	lease kv.LeaseID
	token uint64
	// until is the earliest end of the lease by this process's clock: counted from
	// before the store was asked.
	until time.Time
	// uncheckedFrom is the time from which targets that do not check tokens may get
	// orders.
	uncheckedFrom time.Time
}

// NewHolder returns a Holder that does not yet hold the lease. now must be
// monotonic, as time.Now is.
func NewHolder(store kv.Store, name string, terms Terms, now func() time.Time) *Holder {
	return &Holder{
		store: store, now: now, name: name, terms: terms,
		loads: rate.NewLimiter(rate.Limit(terms.Loads), 1),
	}
}

// Held reports whether the lease is held, as far as this process knows.
func (h *Holder) Held() bool {
	return h.token > 0 && h.now().Before(h.until)
}

// Hold acquires or renews the lease. The caller must call it several times within
// the TTL. It returns nil after it has acquired or renewed the lease.
func (h *Holder) Hold(ctx context.Context) error {
	if h.token > 0 {
		return h.renew(ctx)
	}
	return h.acquire(ctx)
}

func (h *Holder) renew(ctx context.Context) error {
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
	// The lease stays valid until its last known end.
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

func (h *Holder) drop() {
	h.token = 0
	h.lease = kv.NoLease
}

func (h *Holder) acquire(ctx context.Context) error {
	entry, err := h.store.Get(ctx, HolderKey)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	old, err := decode(entry.Value)
	if err != nil {
		return err
	}
	if entry.Revision != 0 && old.Holder != "" {
		if held, err := h.aliveKeyExists(ctx); err != nil || held {
			return errors.Join(ErrHeld, err)
		}
	}
	return h.writeHolder(ctx, entry.Revision, old.Token+1)
}

// aliveKey is bound to the holder's lease. The holder record itself is kept, since
// the token must always increase.
const aliveKey = HolderKey + "/alive"

func (h *Holder) aliveKeyExists(ctx context.Context) (bool, error) {
	alive, err := h.store.Get(ctx, aliveKey)
	if err != nil {
		return false, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	return alive.Revision != 0, nil
}

// writeHolder first creates the alive key under a new lease, which only one router
// can do, then writes the larger token. A step whose answer was lost leaves an
// alive key that expires by itself.
func (h *Holder) writeHolder(ctx context.Context, revision, token uint64) error {
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
	// The previous holder may have sent orders until its lease's end, which is past;
	// these arrive within the margin.
	h.uncheckedFrom = h.now().Add(h.terms.Margin)
	return nil
}

// Order is the permission to send one order now.
type Order struct {
	// Token must be sent with the order.
	Token uint64
	// Before is the latest time to send the first byte.
	Before time.Time
}

// Authorize grants permission to send one order and must be called just before
// sending it. checks means that the target refuses smaller tokens, load that the
// order reads from the weight store.
func (h *Holder) Authorize(checks, load bool) (Order, error) {
	now := h.now()
	before := h.until.Add(-h.terms.Margin)
	switch {
	case h.token == 0 || !now.Before(h.until):
		return Order{}, ErrLost
	case !checks && !now.Before(before):
		return Order{}, fmt.Errorf("%w: the lease is near its end", ErrNotNow)
	case !checks && now.Before(h.uncheckedFrom):
		return Order{}, fmt.Errorf("%w: orders of the previous holder may still arrive", ErrNotNow)
	case load && !h.loads.AllowN(now, 1):
		return Order{}, fmt.Errorf("%w: the weight store's rate", ErrNotNow)
	}
	return Order{Token: h.token, Before: before}, nil
}

func encode(r record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// Cannot fail: record holds a string and a number.
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
		return r, fmt.Errorf("%w: cannot decode record: %v", ErrUnavailable, err)
	}
	return r, nil
}
