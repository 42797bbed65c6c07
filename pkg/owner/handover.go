package owner

import "time"

// Handover keeps, through a change of owners, which router owned an engine before, so
// that both owners can tell each other their requests there.
//
// For some seconds after a change of the fleet two routers believe that they own an
// engine: one has seen the change, the other has not. Each would fill the engine to its
// bound. So each router with requests at an engine sends its count to the engine's owner
// and, for a while, to the previous owner, directly; once views agree again nothing more
// is sent.
type Handover struct {
	current  map[uint64]uint64
	previous map[uint64]previousOwner
}

type previousOwner struct {
	owner uint64
	until time.Time
}

// handoverTime is how long the previous owner gets counts. It covers the delay of the
// platform's list.
const handoverTime = 8 * time.Second

// NewHandover returns a Handover without engines.
func NewHandover() *Handover {
	return &Handover{current: make(map[uint64]uint64), previous: make(map[uint64]previousOwner)}
}

// SetOwner records the owner of an engine in the newest layout. It returns true if owner
// self has gained the engine, and so does not know its requests.
func (h *Handover) SetOwner(engine, owner, self uint64, now time.Time) (gained bool) {
	before, known := h.current[engine]
	if known && before == owner {
		return false
	}
	if known {
		h.previous[engine] = previousOwner{owner: before, until: now.Add(handoverTime)}
	}
	h.current[engine] = owner
	return owner == self
}

// Forget removes an engine that is gone.
func (h *Handover) Forget(engine uint64) {
	delete(h.current, engine)
	delete(h.previous, engine)
}

// NotifyOwners calls notify for each other router that needs the number of self's requests
// at the engine.
func (h *Handover) NotifyOwners(engine, self uint64, now time.Time, notify func(router uint64)) {
	owner, known := h.current[engine]
	if known && owner != self {
		notify(owner)
	}
	before, changed := h.previous[engine]
	if !changed {
		return
	}
	if now.After(before.until) {
		delete(h.previous, engine)
		return
	}
	if before.owner != self && before.owner != owner {
		notify(before.owner)
	}
}
