// Package once executes non-idempotent requests at most once per key.
//
// Each key has one record in the key-value store. Every state transition is one
// compare-and-swap on the record's revision:
//
//	absent ──> claimed(attempt) ──> done(attempt)
//	   ^            │
//	   └ released <─┘   only while no byte can have reached a target
//
// An attempt that reads a claimed record with its own id holds the claim and may
// send the request once, before its deadline. After an ambiguous failure the
// record stays claimed: no attempt sends the request again, and callers are told
// that the outcome is unknown. A record is kept far longer than the longest
// deadline, so the deadline of a paused holder passes long before its record expires.
//
// A lock with a short lease is not safe here: a holder paused past its lease
// between reading the clock and sending would run a request that another attempt
// has already run. spec/claims.pml checks both designs.
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
	// ErrHeld: another attempt holds the key; it may have run or may still run.
	ErrHeld = errors.New("once: held by another attempt")
	// ErrDone: another attempt ran to completion.
	ErrDone = errors.New("once: already ran")
	// ErrUnavailable: the claim was not taken and the store could not be reached.
	ErrUnavailable = errors.New("once: store unavailable")
	// ErrOutcomeUnknown: it is unknown whether the write took effect. If Take
	// returns it, nothing may run.
	ErrOutcomeUnknown = errors.New("once: claim outcome unknown")
	// ErrExpired: the deadline passed before the request could be sent.
	ErrExpired = errors.New("once: deadline passed")
)

// Retention is the minimum time a record is kept, and so the minimum time within
// which a repeated key is recognized.
const Retention = 24 * time.Hour

// State is the state of a record.
type State string

// States of a stored record; an absent record has none.
const (
	Claimed  State = "claimed"
	Done     State = "done"
	Released State = "released"
)

// Record is the value stored for a key.
type Record struct {
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
}

// Claims takes claims on behalf of one process. It is safe for concurrent use.
type Claims struct {
	store kv.Store
	now   func() time.Time

	mu      sync.Mutex
	lease   kv.LeaseID
	granted time.Time
}

// NewClaims returns a Claims that keeps its records in store. now must be monotonic,
// as time.Now is.
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

// maxSwapTries bounds the compare-and-swaps of one call. A further try follows a lost
// race or a lost answer.
const maxSwapTries = 8

// Take claims the key for an attempt, a random id that is never reused. The claim
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
	for range maxSwapTries {
		claim.revision, err = c.store.Swap(ctx, key, revision, encode(claim.record), lease)
		if err == nil {
			return claim, nil
		}
		unsettled = unsettled || errors.Is(err, kv.ErrUnknown)
		if !errors.Is(err, kv.ErrUnknown) && !errors.Is(err, kv.ErrConflict) {
			break
		}
		var mine bool
		revision, mine, err = c.readRecord(ctx, key, attempt)
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

// readRecord reads the key's record. It returns the revision to swap at, mine as true
// when the record is this attempt's claim, or the reason why the key cannot be
// claimed.
func (c *Claims) readRecord(ctx context.Context, key, attempt string) (revision uint64, mine bool, err error) {
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

// Peek reads the key's current state: nil when no attempt holds the key or has
// run, else ErrHeld, ErrDone, or ErrUnavailable. A refusal may state that a
// request with a key was not run only after Peek returned nil.
func (c *Claims) Peek(ctx context.Context, key string) error {
	_, _, err := c.readRecord(ctx, key, "")
	if err == nil || errors.Is(err, ErrHeld) || errors.Is(err, ErrDone) {
		return err
	}
	return fmt.Errorf("%w: %v", ErrUnavailable, err)
}

// CheckDeadline returns ErrExpired once the deadline has passed. It must be called
// just before the first byte is sent.
func (c *Claim) CheckDeadline() error {
	if !c.claims.now().Before(c.deadline) {
		return ErrExpired
	}
	return nil
}

// Release makes the key available again. The caller must be certain that no byte
// reached a target. When the outcome of the release is unknown, Release returns an
// error and the key may stay claimed, which is safe.
func (c *Claim) Release(ctx context.Context) error {
	return c.finish(ctx, Released)
}

// Done records that the request ran to completion.
func (c *Claim) Done(ctx context.Context) error {
	return c.finish(ctx, Done)
}

func (c *Claim) finish(ctx context.Context, state State) error {
	next := encode(Record{State: state, Attempt: c.record.Attempt})
	lease, err := c.claims.retentionLease(ctx)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	for range maxSwapTries {
		_, err = c.claims.store.Swap(ctx, c.key, c.revision, next, lease)
		// A conflict means that an earlier try took effect: only the holder
		// changes a claimed record.
		if err == nil || errors.Is(err, kv.ErrConflict) {
			return nil
		}
		if !errors.Is(err, kv.ErrUnknown) {
			break
		}
	}
	return fmt.Errorf("%w: %v", ErrOutcomeUnknown, err)
}

// retentionLease returns the lease that limits how long records are kept. Claims
// made within an eighth of Retention share one lease, so that a claim costs only
// two writes. The lease is never kept alive, so the records expire by themselves.
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
		// Cannot fail: Record holds two strings.
		panic(err)
	}
	return b
}

func decode(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return r, fmt.Errorf("once: cannot decode record: %w", err)
	}
	return r, nil
}
