// Package freshness keeps the newest configuration that a router knows and the proof
// of how recent it is.
//
// A proof is the monotonic time at which a read was sent that returned the newest
// state: the router knows every change accepted before that time. A watch proves
// nothing, since it may be silent, and neither does a stale read. Nor does a read of a
// backup that replaced a lost store, until the operator has written again the accepted
// changes that the backup lacks.
// Routers exchange proofs as ages, so that clocks are never compared: the asking
// router's proof dates from when it asked, less the age in the answer.
package freshness

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/pkg/route"
)

// State is a configuration with its proof. It is immutable.
type State struct {
	// Table is nil before the first configuration.
	Table *route.Table
	// ProvenAt is the latest monotonic time at which Table is proven to be the newest.
	ProvenAt time.Time
	// LastReadAt is when the last read that found nothing newer was sent, whether or not
	// that read proves anything.
	LastReadAt time.Time
}

// ProofAge returns the age of the proof.
func (s *State) ProofAge(now time.Time) time.Duration { return now.Sub(s.ProvenAt) }

// Holder holds the newest state. It is safe for concurrent use.
type Holder struct {
	mu    sync.Mutex
	state atomic.Pointer[State]
	// distrustedUntil is the time before which reads that were sent prove nothing.
	distrustedUntil time.Time
}

// NewHolder returns a holder without a configuration.
func NewHolder() *Holder {
	h := &Holder{}
	h.state.Store(&State{})
	return h
}

// Current returns the newest state.
func (h *Holder) Current() *State { return h.state.Load() }

// Update takes a table with its proof and tells whether the table is newer than
// the one held. An older version changes nothing: it only proves that its sender
// was behind.
func (h *Holder) Update(table *route.Table, proven time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	if old.Table == nil || table.Version() > old.Table.Version() {
		// A proof for an older version says nothing of this one's age, so the
		// new version's own proof counts.
		h.state.Store(h.afterRead(old, table, proven))
		return true
	}
	if table.Version() == old.Table.Version() {
		h.state.Store(h.afterRead(old, old.Table, proven))
	}
	return false
}

// afterRead returns the state after a read that was sent at a time and returned a table.
// The caller holds h.mu.
func (h *Holder) afterRead(old *State, table *route.Table, sent time.Time) *State {
	s := &State{Table: table, ProvenAt: old.ProvenAt, LastReadAt: later(old.LastReadAt, sent)}
	if !sent.Before(h.distrustedUntil) {
		s.ProvenAt = later(old.ProvenAt, sent)
	}
	return s
}

// DistrustReadsBefore makes reads sent before a time prove nothing: accepted changes may
// be lost, and the operator writes them again until then.
func (h *Holder) DistrustReadsBefore(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.distrustedUntil = later(h.distrustedUntil, until)
}

// DistrustsRead tells whether a read sent at a time would prove nothing.
func (h *Holder) DistrustsRead(sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sent.Before(h.distrustedUntil)
}

// ConfirmVersion records that the version held was still the newest at a time. It
// returns false for any other version.
func (h *Holder) ConfirmVersion(version uint64, proven time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	if old.Table == nil || old.Table.Version() != version {
		return false
	}
	h.state.Store(h.afterRead(old, old.Table, proven))
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
