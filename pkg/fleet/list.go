package fleet

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a version of the list by its content: the sum of its rows' hashes.
// Routers with the same rows have the same fingerprint; that of the empty list is 0.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a list, which does not depend on its order.
func FingerprintOf(list []Instance) Fingerprint {
	sum := uint64(0)
	for _, i := range list {
		sum += xxhash.Sum64String(fmt.Sprintf("%+v", i))
	}
	return Fingerprint(sum)
}

// ListDelta is the difference between two versions of the list.
type ListDelta struct {
	Put     []Instance `json:"put,omitempty"`
	Removed []string   `json:"removed,omitempty"`
}

// DeltaOf returns the delta that turns before into after.
func DeltaOf(before, after []Instance) ListDelta {
	old := byName(before)
	var d ListDelta
	for _, i := range after {
		if was, known := old[i.Name]; !known || !sameRow(was, i) {
			d.Put = append(d.Put, i)
		}
		delete(old, i.Name)
	}
	for name := range old {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}

// Apply returns list with the delta applied, and leaves list unchanged.
func (d ListDelta) Apply(list []Instance) []Instance {
	rows := byName(list)
	for _, name := range d.Removed {
		delete(rows, name)
	}
	for _, i := range d.Put {
		rows[i.Name] = i
	}
	next := make([]Instance, 0, len(rows))
	for _, i := range rows {
		next = append(next, i)
	}
	return next
}

func byName(list []Instance) map[string]Instance {
	rows := make(map[string]Instance, len(list))
	for _, i := range list {
		rows[i.Name] = i
	}
	return rows
}

func sameRow(a, b Instance) bool {
	lists := slices.Equal(a.Models, b.Models) && slices.Equal(a.Adapters, b.Adapters)
	a.Models, b.Models, a.Adapters, b.Adapters = nil, nil, nil, nil
	return lists && fmt.Sprintf("%+v", a) == fmt.Sprintf("%+v", b)
}

// maxHistorySteps is how many changes of the list are kept. A router that polls every second
// or two is never that far behind; one that is gets the complete list.
const maxHistorySteps = 64

// ListHistory holds a list and its last changes, so that a peer with an earlier version gets
// only the difference. Most routers read the list from a peer: the list is long and changes
// often, but each change is short. It is not safe for concurrent use.
type ListHistory struct {
	list  []Instance
	mark  Fingerprint
	steps []listStep
}

type listStep struct {
	from  Fingerprint
	delta ListDelta
}

// List returns the newest list, which the caller must not modify.
func (h *ListHistory) List() []Instance { return h.list }

// Fingerprint returns the fingerprint of the newest list.
func (h *ListHistory) Fingerprint() Fingerprint { return h.mark }

// Update stores a newer list and reports whether it differs from the previous one.
func (h *ListHistory) Update(list []Instance) bool {
	mark := FingerprintOf(list)
	if mark == h.mark {
		return false
	}
	h.steps = append(h.steps, listStep{from: h.mark, delta: DeltaOf(h.list, list)})
	if extra := len(h.steps) - maxHistorySteps; extra > 0 {
		h.steps = slices.Delete(h.steps, 0, extra)
	}
	h.list = list
	h.mark = mark
	return true
}

// DeltaSince returns the delta from an earlier version to the newest. known is false if that
// version is no longer kept, in which case the complete list is needed.
func (h *ListHistory) DeltaSince(mark Fingerprint) (d ListDelta, known bool) {
	if mark == h.mark {
		return ListDelta{}, true
	}
	// The last step from this version, since the list may have had it more than once.
	first := -1
	for i, step := range h.steps {
		if step.from == mark {
			first = i
		}
	}
	if first < 0 {
		return ListDelta{}, false
	}
	return compose(h.steps[first:]), true
}

// compose merges steps into one delta.
func compose(steps []listStep) ListDelta {
	put := make(map[string]Instance)
	removed := make(map[string]bool)
	for _, step := range steps {
		for _, name := range step.delta.Removed {
			delete(put, name)
			removed[name] = true
		}
		for _, i := range step.delta.Put {
			delete(removed, i.Name)
			put[i.Name] = i
		}
	}
	var d ListDelta
	for _, i := range put {
		d.Put = append(d.Put, i)
	}
	for name := range removed {
		d.Removed = append(d.Removed, name)
	}
	slices.Sort(d.Removed)
	return d
}
