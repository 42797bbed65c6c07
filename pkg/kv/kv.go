// Package kv is the narrow face of the platform's key-value service that the
// other packages need: read, compare-and-swap, lease and watch.
//
// It is an interface because three things stand behind it: the daemon's HTTP
// client, the in-memory store of this package for tests and embedders, and the
// fault-injecting wrappers of the tests.
//
// What the service promises, and all that is relied upon: a swap is atomic on
// one key; revisions of a key only grow; an entry bound to a lease vanishes
// after the lease has lapsed. What it does not promise: that an answer arrives.
package kv

import (
	"context"
	"errors"
	"time"
)

// MaxValue is the largest value that the service holds, in bytes.
const MaxValue = 1 << 20

// Errors of a store. Everything below it is turned into one of these.
var (
	// ErrConflict: the key's revision was another one; nothing was written.
	ErrConflict = errors.New("kv: revision conflict")
	// ErrUnknown: the request may or may not have taken effect.
	ErrUnknown = errors.New("kv: outcome unknown")
	// ErrUnavailable: nothing took effect; the service could not be asked.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrLease: the lease has lapsed or never was.
	ErrLease = errors.New("kv: lease not held")
	// ErrTooLarge: the value is larger than MaxValue; nothing was written.
	ErrTooLarge = errors.New("kv: value too large")
)

// Entry is a key's value at a revision. Revision 0 means that the key is absent.
type Entry struct {
	Value    []byte
	Revision uint64
}

// LeaseID names a lease. NoLease binds an entry to none: it stays.
type LeaseID uint64

// NoLease is the absence of a lease.
const NoLease LeaseID = 0

// Store is the service.
type Store interface {
	// Get returns the key's entry; an absent key is an Entry of revision 0.
	Get(ctx context.Context, key string) (Entry, error)
	// Swap writes value if the key's revision is still the given one (0: absent)
	// and returns the new revision. After ErrUnknown, Get tells what happened.
	Swap(ctx context.Context, key string, revision uint64, value []byte, lease LeaseID) (uint64, error)
	// Watch returns as soon as the key's revision is not after, or with the
	// unchanged entry when the service ends the wait.
	Watch(ctx context.Context, key string, after uint64) (Entry, error)
	// Grant makes a lease that lapses after ttl unless it is kept alive.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends the lease by its ttl from now.
	KeepAlive(ctx context.Context, lease LeaseID) error
}
