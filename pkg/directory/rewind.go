package directory

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A list may be lost and come back from a copy that is some seconds old: then it shows
// the past until its writers have written again.
//
//	known to drain, or gone   -> gets nothing, whatever the copy says, until it started
//	                             again or the hold is over
//	known to be evacuated     -> stays so until the hold is over
//	not in the copy           -> keeps its work for the grace, as after an outage
//	evacuated in the copy     -> evacuated: the operator may have asked again
//
// What one router knew reaches the others as facts, so that one that started after the
// copy, and knows nothing, applies them too.

// holdGraces is for how many graces facts hold: the grace is the two heartbeats within
// which a replica that lives has written again, and the entry of one that is gone lapses
// after three, so with four none is believed that nobody writes any more.
const holdGraces = 2

const (
	// goneKept is for how long it is remembered who left: copies are some seconds old.
	goneKept = 30 * time.Second
	// maxGone bounds those that are remembered: more than a release replaces in goneKept.
	maxGone = 4096
)

// Fact is what was known of a replica before the list came back from a copy: it drains,
// or is gone. It holds for the start that it names and for earlier ones.
type Fact struct {
	ID   string
	Born int64 `json:",omitempty"`
	Gone bool  `json:",omitempty"`
}

// Facts are what is known against a list that came back from a copy.
type Facts struct {
	Replicas  []Fact   `json:",omitempty"`
	Evacuated []string `json:",omitempty"`
	// Left is for how long they hold on.
	Left time.Duration
}

// rewind is what is known against the list; the zero value is nothing.
type rewind struct {
	until     time.Time
	replicas  map[string]Fact
	evacuated []string
}

// GracePeriod is for how long entries may lag behind what they tell.
func (d *Directory) GracePeriod() time.Duration { return d.grace }

// HoldPeriod is for how long what was known holds against a copy.
func (d *Directory) HoldPeriod() time.Duration { return holdGraces * d.grace }

// departed is who left.
type departed struct {
	born int64
	at   time.Time
}

// NoteRewind notes that the list came back from a copy by a time at the latest. What is known
// so far holds against it for a time.
func (d *Directory) NoteRewind(by time.Time, hold time.Duration) {
	d.hold(by, hold)
	for id, e := range d.entries {
		if e.replica.State == Draining {
			d.rewind.add(Fact{ID: id, Born: e.replica.Born})
		}
	}
	for id, left := range d.departed {
		if by.Sub(left.at) <= goneKept {
			d.rewind.add(Fact{ID: id, Born: left.born, Gone: true})
		}
	}
	d.rewind.evacuate(d.evacuated)
}

// hold begins a hold at a time, or makes one that is not over last longer.
func (d *Directory) hold(at time.Time, left time.Duration) {
	if !d.rewound(at) {
		d.rewind = rewind{replicas: make(map[string]Fact)}
	}
	if until := at.Add(left); until.After(d.rewind.until) {
		d.rewind.until = until
	}
}

// Facts returns what is known against the list at a time; false if nothing is to be.
func (d *Directory) Facts(now time.Time) (Facts, bool) {
	if !d.rewound(now) {
		return Facts{}, false
	}
	f := Facts{Evacuated: slices.Clone(d.rewind.evacuated), Left: d.rewind.until.Sub(now)}
	for _, id := range slices.Sorted(maps.Keys(d.rewind.replicas)) {
		f.Replicas = append(f.Replicas, d.rewind.replicas[id])
	}
	return f, true
}

// gone stands in a sum of facts where a state does else.
const gone = 0xff

// FactsHash names what Facts returns by its content: 0 for nothing.
func (d *Directory) FactsHash(now time.Time) uint32 {
	f, held := d.Facts(now)
	if !held {
		return 0
	}
	sum := xxhash.New()
	for _, r := range f.Replicas {
		state := byte(Draining)
		if r.Gone {
			state = gone
		}
		// A hash's Write returns no error.
		_, _ = sum.WriteString(r.ID)
		_, _ = sum.Write(binary.LittleEndian.AppendUint64([]byte{0, state}, uint64(r.Born)))
	}
	for _, centre := range f.Evacuated {
		_, _ = sum.WriteString("\x01" + centre)
	}
	return max(uint32(sum.Sum64()), 1)
}

// ApplyFacts takes what another router knew at a time against the list, and returns what
// changes by it.
func (d *Directory) ApplyFacts(f Facts, at time.Time) []Change {
	d.hold(at, min(f.Left, d.HoldPeriod()))
	for _, r := range f.Replicas {
		d.rewind.add(r)
	}
	d.rewind.evacuate(f.Evacuated)
	if d.read.IsZero() || !d.rewound(d.read) {
		return nil
	}
	return d.Apply(d.Listing(), d.read)
}

// add adds a fact. Of two of a replica that which tells more holds: the later start, and
// that it is gone.
func (w *rewind) add(f Fact) {
	old, known := w.replicas[f.ID]
	if known && (old.Born > f.Born || old.Born == f.Born && old.Gone) {
		return
	}
	w.replicas[f.ID] = f
}

func (w *rewind) evacuate(centres []string) {
	w.evacuated = append(w.evacuated, centres...)
	slices.Sort(w.evacuated)
	w.evacuated = slices.Compact(w.evacuated)
}

// rewound tells whether facts are held against a list that was read at a time.
func (d *Directory) rewound(read time.Time) bool { return read.Before(d.rewind.until) }

// applyFacts returns a list that was read at a time as it is in the light of what was known,
// or as it is once the hold is over.
func (d *Directory) applyFacts(l Listing, read time.Time) Listing {
	if !d.rewound(read) {
		d.rewind = rewind{}
		return l
	}
	filtered := Listing{Replicas: make([]Replica, 0, len(l.Replicas)), Evacuated: slices.Concat(l.Evacuated, d.rewind.evacuated)}
	for _, r := range l.Replicas {
		fact, known := d.fact(&r)
		if known && fact.Gone {
			continue
		}
		if known && r.State == Ready {
			r.State = Draining
		}
		filtered.Replicas = append(filtered.Replicas, r)
	}
	return filtered
}

// fact returns what is known of a replica that has not started again since.
func (d *Directory) fact(r *Replica) (f Fact, known bool) {
	f, known = d.rewind.replicas[r.ID]
	return f, known && (r.Born == 0 || r.Born <= f.Born)
}

// noteDeparted notes who left.
func (d *Directory) noteDeparted(r *Replica) {
	if len(d.departed) >= maxGone {
		d.forgetDeparted()
	}
	d.departed[r.ID] = departed{born: r.Born, at: d.read}
	d.statements.missing(r, d.read)
}

// forgetDeparted forgets who left long ago, and the earlier half of all if that is not
// enough.
func (d *Directory) forgetDeparted() {
	maps.DeleteFunc(d.departed, func(_ string, left departed) bool { return d.read.Sub(left.at) > goneKept })
	if len(d.departed) < maxGone {
		return
	}
	ids := slices.SortedFunc(maps.Keys(d.departed), func(a, b string) int {
		return cmp.Or(d.departed[a].at.Compare(d.departed[b].at), cmp.Compare(a, b))
	})
	for _, id := range ids[:len(ids)/2] {
		delete(d.departed, id)
	}
}
