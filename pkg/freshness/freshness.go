// Package freshness keeps the newest configuration that a router knows together
// with the proof of how new it is.
//
// A proof is the steady time at which a read was sent that was answered by the
// newest state there was: whatever was accepted before that time is known. A
// watch proves nothing, since it may be silent, and neither does a stale read. Nor does
// a read of a copy that came in the place of what was lost, until the operator has
// written again what was accepted and is not in it.
// Proofs cross routers as ages, so that no two clocks are compared: the asker's
// proof dates from the time it asked, less the age that it was told.
package freshness

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/pkg/route"
)

// State is what is known at one moment. It is immutable.
type State struct {
	// Table is nil before the first configuration.
	Table *route.Table
	// ProvenAt is the steady time at which Table was the newest.
	ProvenAt time.Time
	// LastReadAt is when a read was sent last that found nothing newer, which may prove nothing.
	LastReadAt time.Time
}

// ProofAge returns how old the proof is.
func (s *State) ProofAge(now time.Time) time.Duration { return now.Sub(s.ProvenAt) }

// Holder holds the newest state. It is safe for concurrent use.
type Holder struct {
	mu    sync.Mutex
	state atomic.Pointer[State]
	// doubted is until when reads must have been sent that prove nothing.
	doubted time.Time
}

// NewHolder returns a holder that knows nothing.
func NewHolder() *Holder {
	h := &Holder{}
	h.state.Store(&State{})
	return h
}

// Current returns the newest state.
func (h *Holder) Current() *State { return h.state.Load() }

// Update takes a table with its proof and tells whether the table is newer than
// the one held. An older version changes nothing: what it proves is that its
// sender was behind.
func (h *Holder) Update(table *route.Table, proven time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	if old.Table == nil || table.Version() > old.Table.Version() {
		// A proof for an older version says nothing of this one's age, so the
		// new version's own proof counts.
		h.state.Store(h.after(old, table, proven))
		return true
	}
	if table.Version() == old.Table.Version() {
		h.state.Store(h.after(old, old.Table, proven))
	}
	return false
}

// after returns the state after a read that was sent at a time and found a table. h.mu is
// held.
func (h *Holder) after(old *State, table *route.Table, sent time.Time) *State {
	s := &State{Table: table, ProvenAt: old.ProvenAt, LastReadAt: later(old.LastReadAt, sent)}
	if !sent.Before(h.doubted) {
		s.ProvenAt = later(old.ProvenAt, sent)
	}
	return s
}

// DistrustReadsBefore has reads prove nothing that are sent before a time: what was accepted may be
// lost, and is written again until then.
func (h *Holder) DistrustReadsBefore(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.doubted = later(h.doubted, until)
}

// DistrustsRead tells whether a read that is sent at a time would prove nothing.
func (h *Holder) DistrustsRead(sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sent.Before(h.doubted)
}

// ConfirmVersion notes that the version held was still the newest at a time.
func (h *Holder) ConfirmVersion(version uint64, proven time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	if old.Table == nil || old.Table.Version() != version {
		return false
	}
	h.state.Store(h.after(old, old.Table, proven))
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
