// Package once runs a request that must not be repeated at most once.
//
// One record in the key-value service decides for each key. Every step is one
// compare-and-swap on the record's revision:
//
//	absent ──> claimed(attempt) ──> done(attempt)
//	   ^            │
//	   └ released <─┘   only while no byte can have reached a target
//
// Whoever reads claimed with its own attempt holds the claim and may send the
// request once, before its own deadline. After an ambiguous failure the record
// stays claimed: nobody sends again, and callers are told that the outcome is
// not known. A record outlives the longest deadline by far, so a holder that
// was paused finds its own deadline passed long before its record is gone.
//
// The alternative, a lock with a short lease, was ruled out: a holder that is
// paused past its lease between looking at the clock and sending would run a
// request that another has run. spec/claims.pml checks both.
package once

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/croftyard/croftyard/pkg/kv"
)

// Errors of this package.
var (
	// ErrHeld: another attempt holds the key; it may have run or may yet run.
	ErrHeld = errors.New("once: held by another attempt")
	// ErrDone: another attempt ran to its end.
	ErrDone = errors.New("once: already ran")
	// ErrUnavailable: the claim was not taken and the service could not be asked.
	ErrUnavailable = errors.New("once: service unavailable")
	// ErrOutcomeUnknown: it is not known whether the claim was taken. Nothing runs.
	ErrOutcomeUnknown = errors.New("once: claim not settled")
	// ErrExpired: the deadline passed before the request could be sent.
	ErrExpired = errors.New("once: deadline passed")
)

// Retention is how long a record is kept at least. It bounds the time within
// which a repeated key is recognized.
const Retention = 24 * time.Hour

// State of a record.
type State string

// The states; an absent record has none.
const (
	Claimed  State = "claimed"
	Done     State = "done"
	Released State = "released"
)

// Record is what the service holds for a key.
type Record struct {
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
}

// Claims takes claims for one process. It is safe for concurrent use.
type Claims struct {
	store kv.Store
	now   func() time.Time

	mu      sync.Mutex
	lease   kv.LeaseID
	granted time.Time
}

// NewClaims returns claims in the store. now must be monotonic, as time.Now is.
func NewClaims(store kv.Store, now func() time.Time) *Claims {
	return &Claims{store: store, now: now}
}

// Claim is the right to send a request once.
type Claim struct {
	claims   *Claims
	key      string
	record   Record
	revision uint64
	deadline time.Time
}

// tries bounds the steps of one settling: each loses a race or an answer.
const tries = 8

// Take claims the key for an attempt, a random id never used before. The claim
// may be used until deadline, which must be well within Retention.
func (c *Claims) Take(ctx context.Context, key, attempt string, deadline time.Time) (*Claim, error) {
	lease, err := c.retentionLease(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	claim := &Claim{claims: c, key: key, record: Record{State: Claimed, Attempt: attempt}, deadline: deadline}
	// Most keys are new, so the first step writes without reading.
	revision := uint64(0)
	unsettled := false
	for range tries {
		claim.revision, err = c.store.Swap(ctx, key, revision, encode(claim.record), lease)
		if err == nil {
			return claim, nil
		}
		unsettled = unsettled || errors.Is(err, kv.ErrUnknown)
		if !errors.Is(err, kv.ErrUnknown) && !errors.Is(err, kv.ErrConflict) {
			break
		}
		var mine bool
		revision, mine, err = c.look(ctx, key, attempt)
		if mine {
			claim.revision = revision
			return claim, nil
		}
		if err != nil {
			break
		}
	}
	return nil, takeError(err, unsettled)
}

// look reads a record back. It returns the revision to swap at, or mine when
// the record is this attempt's claim, or why the key cannot be claimed.
func (c *Claims) look(ctx context.Context, key, attempt string) (revision uint64, mine bool, err error) {
	entry, err := c.store.Get(ctx, key)
	if err != nil {
		return 0, false, err
	}
	if entry.Revision == 0 {
		return 0, false, nil
	}
	record, err := decode(entry.Value)
	switch {
	case err != nil:
		return 0, false, err
	case record.State == Claimed && record.Attempt == attempt:
		return entry.Revision, true, nil
	case record.State == Released:
		return entry.Revision, false, nil
	case record.State == Done:
		return 0, false, ErrDone
	}
	return 0, false, ErrHeld
}

func takeError(err error, unsettled bool) error {
	switch {
	case errors.Is(err, ErrDone), errors.Is(err, ErrHeld):
		return err
	case unsettled:
		return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// Peek tells what the record says now: nil when no attempt holds the key or
// ran, ErrHeld, ErrDone, or ErrUnavailable. A refusal may say that a request
// with a key was not run only after Peek returned nil.
func (c *Claims) Peek(ctx context.Context, key string) error {
	_, _, err := c.look(ctx, key, "")
	if err == nil || errors.Is(err, ErrHeld) || errors.Is(err, ErrDone) {
		return err
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// CheckDeadline must be asked just before the first byte is sent.
func (c *Claim) CheckDeadline() error {
	if !c.claims.now().Before(c.deadline) {
		return ErrExpired
	}
	return nil
}

// Release gives the key back. The caller must be certain that no byte reached
// a target. When the release's own outcome is unknown the key may stay claimed,
// which is safe; the returned error tells.
func (c *Claim) Release(ctx context.Context) error {
	return c.finish(ctx, Released)
}

// Done records that the request ran to its end.
func (c *Claim) Done(ctx context.Context) error {
	return c.finish(ctx, Done)
}

func (c *Claim) finish(ctx context.Context, state State) error {
	next := encode(Record{State: state, Attempt: c.record.Attempt})
	lease, err := c.claims.retentionLease(ctx)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	for range tries {
		_, err = c.claims.store.Swap(ctx, c.key, c.revision, next, lease)
		// A conflict means that an earlier try took effect: only the holder moves
		// a claimed record.
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		if !errors.Is(err, kv.ErrUnknown) {
			break
		}
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// retentionLease returns the lease that bounds how long records are kept. One
// lease serves all claims of a part of the retention, so that a claim costs
// two writes and no more; it is never kept alive, so the records go by themselves.
func (c *Claims) retentionLease(ctx context.Context) (kv.LeaseID, error) {
	const renewals = 8
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lease != kv.NoLease && c.now().Sub(c.granted) < Retention/renewals {
		return c.lease, nil
	}
	lease, err := c.store.Grant(ctx, Retention+Retention/renewals)
	if err != nil {
		return kv.NoLease, err
	}
	c.lease = lease
	c.granted = c.now()
	return lease, nil
}

func encode(r Record) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		// Record holds two strings.
		panic(err)
	}
	return b
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("once: record not readable: %w", err)
	}
	return r, nil
}
