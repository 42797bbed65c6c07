package fleet

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a version of the list by its content: the sum of its rows' hashes.
// Two routers with the same rows have the same mark; the empty list has 0.
type Fingerprint uint64

// FingerprintOf returns the mark of a list, whatever its order.
func FingerprintOf(list []Instance) Fingerprint {
	sum := uint64(0)
	for _, i := range list {
		sum += xxhash.Sum64String(fmt.Sprintf("%+v", i))
	}
	return Fingerprint(sum)
}

// ListDelta leads from one version of the list to another.
type ListDelta struct {
	Put     []Instance `json:"put,omitempty"`
	Removed []string   `json:"removed,omitempty"`
}

// DeltaOf returns what leads from before to after.
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

// Apply returns the list after the delta; the list given is not changed.
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

// historySteps is how many changes of the list are kept. A router that asks
// every second or two is never that far behind; one that is gets the whole list.
const historySteps = 64

// ListHistory holds a list and its last changes, so that a peer that holds an
// earlier version is told only what changed. It is not safe for concurrent use.
//
//	Most routers read the list from a peer: the whole is long and changes often,
//	a change is short.
type ListHistory struct {
	list  []Instance
	mark  Fingerprint
	steps []listStep
}

type listStep struct {
	from  Fingerprint
	delta ListDelta
}

// List returns the newest list, not to be changed.
func (h *ListHistory) List() []Instance { return h.list }

// Fingerprint returns the newest list's mark.
func (h *ListHistory) Fingerprint() Fingerprint { return h.mark }

// Update enters a newer list and tells whether it differs from the last.
func (h *ListHistory) Update(list []Instance) bool {
	mark := FingerprintOf(list)
	if mark == h.mark {
		return false
	}
	h.steps = append(h.steps, listStep{from: h.mark, delta: DeltaOf(h.list, list)})
	if extra := len(h.steps) - historySteps; extra > 0 {
		h.steps = slices.Delete(h.steps, 0, extra)
	}
	h.list = list
	h.mark = mark
	return true
}

// DeltaSince returns what leads from an earlier version to the newest. known is
// false when that version is not kept; the whole list is then needed.
func (h *ListHistory) DeltaSince(mark Fingerprint) (d ListDelta, known bool) {
	if mark == h.mark {
		return ListDelta{}, true
	}
	// The last step from this version, should the list have been the same twice.
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

// compose joins steps into one delta.
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
