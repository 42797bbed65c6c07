// Package rollout decides how much of a service's traffic a new version may get, and
// whether its roll-out completes or is rolled back.
//
//	ordered      the operator asks for a version within a time
//	canary       a small share of the requests goes to the new version
//	shifting     the evidence is good: the share rises to all requests
//	completed    the outcome is written, and the old replicas stop
//	rolled back  the evidence is bad, or not sufficient in time: the version gets nothing
//
// Every router counts how its own requests ended at both versions and receives the counts
// of the others, so that all judge by the requests of the whole fleet. An outcome is written
// once, by compare-and-swap; a verdict that the version is bad takes effect before that.
//
// The package does no I/O; time comes from the caller and is steady.
package rollout

import (
	"context"
	"errors"
	"time"
)

// State is the state of a roll-out as written for the operator.
type State string

// The states. The zero value means that nothing was written.
const (
	InProgress State = "in progress"
	Completed  State = "completed"
	RolledBack State = "rolled back"
)

// Final reports whether a state is an outcome, which never changes.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Order is the operator's order to move a service to a version.
type Order struct {
	Version string
	// Duration is the time from the order until its deadline.
	Duration time.Duration
	// Revision is that of the order's record: an order that is written again is a new one.
	Revision uint64
}

// Status is the record that the routers write for the operator.
type Status struct {
	Version  string
	State    State
	Revision uint64
}

// Record is what the store holds about the roll-outs of one service.
type Record struct {
	Service string
	// Order is zero if the operator has taken it away.
	Order  Order  `json:",omitzero"`
	Status Status `json:",omitzero"`
	// Elapsed is the time since the order was first seen, as of the read that lists it.
	Elapsed time.Duration `json:",omitempty"`
	// SeenAt is when the order was first seen, by this router's clock.
	SeenAt time.Time `json:"-"`
}

// Outcome returns the state that was written for the order, or "" if none was. A status
// written before the order belongs to an earlier one.
func (r *Record) Outcome() State {
	if r.Order.Revision == 0 || r.Status.Version != r.Order.Version || r.Status.Revision < r.Order.Revision {
		return ""
	}
	return r.Status.State
}

// Same reports whether two records differ in nothing but when they were seen.
func (r *Record) Same(other *Record) bool {
	return r.Service == other.Service && r.Order == other.Order && r.Status == other.Status
}

// Write is a status to be written.
type Write struct {
	Service, Version string
	State            State
	// Order and Status are the revisions of both records as last read; 0 means that there
	// is none. The write fails with ErrConflict if either has changed.
	Order, Status uint64
}

// ErrConflict means that a status was not written because its order or status has changed.
var ErrConflict = errors.New("rollout: order or status has changed")

// Writer writes a status. After an error other than ErrConflict it may have been written.
type Writer interface {
	WriteStatus(ctx context.Context, w Write) (revision uint64, err error)
}
