package directory

import (
	"cmp"
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A list may be lost and restored from a copy that is some seconds old. It is then
// outdated until its writers have written again.
//
//	known to drain or left -> receives nothing, whatever the copy says, until it restarts
//	                          or the hold period is over
//	known to be evacuated  -> stays evacuated until the hold period is over
//	not in the copy        -> stays unconfirmed for the grace period, as after an outage
//	evacuated in the copy  -> evacuated, because the operator may have requested it again
//
// Routers pass on what they knew as facts, so that a router that started after the
// restore, and knows nothing, applies them too.

// holdGracePeriods is how many grace periods facts apply. The grace period is the two
// heartbeats within which a live replica has written again, and the entry of one that is
// gone expires after three. With four, no entry is trusted that nobody writes any more.
const holdGracePeriods = 2

const (
	// departureRetention is how long departed replicas are remembered: copies are some
	// seconds old.
	departureRetention = 30 * time.Second
	// maxDepartures bounds the remembered departures. It exceeds the number of replicas
	// that a release replaces within departureRetention.
	maxDepartures = 4096
)

// Fact is what was known about a replica before the list was restored from a copy: it
// drains, or it is gone. It applies to the start that it names and to earlier ones.
type Fact struct {
	ID   string
	Born int64 `json:",omitempty"`
	Gone bool  `json:",omitempty"`
}

// Facts is what is known to be outdated in a list that was restored from a copy.
type Facts struct {
	Replicas  []Fact   `json:",omitempty"`
	Evacuated []string `json:",omitempty"`
	// Left is how long the facts still apply.
	Left time.Duration
}

// heldFacts are the facts that override the list. The zero value holds none.
type heldFacts struct {
	until     time.Time
	replicas  map[string]Fact
	evacuated []string
}

// GracePeriod returns how long entries may lag behind the state that they describe.
func (d *Directory) GracePeriod() time.Duration { return d.gracePeriod }

// HoldPeriod returns how long facts override a restored list.
func (d *Directory) HoldPeriod() time.Duration { return holdGracePeriods * d.gracePeriod }

// departure is the start and the time of a replica that left.
type departure struct {
	born int64
	at   time.Time
	// revision is that of the read that lacked the replica.
	revision uint64
}

// NoteRewind records that the list was restored from a copy, at the given time at the
// latest. Everything known so far overrides the list for the hold period.
func (d *Directory) NoteRewind(by time.Time, hold time.Duration) {
	d.extendHold(by, hold)
	d.SetRevision(0)
	for id, e := range d.entries {
		if e.replica.State == Draining {
			d.heldFacts.add(Fact{ID: id, Born: e.replica.Born})
		}
	}
	for id, left := range d.departures {
		if by.Sub(left.at) <= departureRetention {
			d.heldFacts.add(Fact{ID: id, Born: left.born, Gone: true})
		}
	}
	d.heldFacts.addEvacuated(d.evacuated)
}

// extendHold starts holding facts at the given time, or extends a hold that is not over.
func (d *Directory) extendHold(at time.Time, left time.Duration) {
	if !d.holdsFacts(at) {
		d.heldFacts = heldFacts{replicas: make(map[string]Fact)}
	}
	if until := at.Add(left); until.After(d.heldFacts.until) {
		d.heldFacts.until = until
	}
}

// Facts returns the facts that override the list at the given time, or false if none are
// held.
func (d *Directory) Facts(now time.Time) (Facts, bool) {
	if !d.holdsFacts(now) {
		return Facts{}, false
	}
	f := Facts{Evacuated: slices.Clone(d.heldFacts.evacuated), Left: d.heldFacts.until.Sub(now)}
	for _, id := range slices.Sorted(maps.Keys(d.heldFacts.replicas)) {
		f.Replicas = append(f.Replicas, d.heldFacts.replicas[id])
	}
	return f, true
}

// goneState stands for the state of a replica that is gone in the hash of facts.
const goneState = 0xff

// FactsHash returns a hash of what Facts returns, or 0 if no facts are held.
func (d *Directory) FactsHash(now time.Time) uint32 {
	f, held := d.Facts(now)
	if !held {
		return 0
	}
	sum := xxhash.New()
	for _, r := range f.Replicas {
		state := byte(Draining)
		if r.Gone {
			state = goneState
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

// ApplyFacts applies the facts that another router held at the given time and returns the
// changes.
func (d *Directory) ApplyFacts(f Facts, at time.Time) []Change {
	d.extendHold(at, min(f.Left, d.HoldPeriod()))
	for _, r := range f.Replicas {
		d.heldFacts.add(r)
	}
	d.heldFacts.addEvacuated(f.Evacuated)
	if d.readTime.IsZero() || !d.holdsFacts(d.readTime) {
		return nil
	}
	return d.Apply(d.Listing(), d.readTime)
}

// add adds a fact. Of two facts about one replica, the later start takes precedence, and
// gone over draining.
func (w *heldFacts) add(f Fact) {
	old, known := w.replicas[f.ID]
	if known && (old.Born > f.Born || old.Born == f.Born && old.Gone) {
		return
	}
	w.replicas[f.ID] = f
}

func (w *heldFacts) addEvacuated(centres []string) {
	w.evacuated = append(w.evacuated, centres...)
	slices.Sort(w.evacuated)
	w.evacuated = slices.Compact(w.evacuated)
}

// holdsFacts reports whether facts override a list read at the given time.
func (d *Directory) holdsFacts(read time.Time) bool { return read.Before(d.heldFacts.until) }

// applyFacts returns a list read at the given time with the held facts applied. Once the
// hold period is over, it drops the facts and returns the list unchanged.
func (d *Directory) applyFacts(l Listing, read time.Time) Listing {
	if !d.holdsFacts(read) {
		d.heldFacts = heldFacts{}
		return l
	}
	filtered := Listing{Replicas: make([]Replica, 0, len(l.Replicas)), Evacuated: slices.Concat(l.Evacuated, d.heldFacts.evacuated), Rollouts: l.Rollouts}
	for _, r := range l.Replicas {
		fact, known := d.factFor(&r)
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

// factFor returns the fact about a replica if the replica has not restarted since.
func (d *Directory) factFor(r *Replica) (f Fact, known bool) {
	f, known = d.heldFacts.replicas[r.ID]
	return f, known && (r.Born == 0 || r.Born <= f.Born)
}

// recordDeparture records that a replica left.
func (d *Directory) recordDeparture(r *Replica) {
	if len(d.departures) >= maxDepartures {
		d.pruneDepartures()
	}
	d.departures[r.ID] = departure{born: r.Born, at: d.readTime, revision: d.revision}
	d.statements.markMissing(r, d.readTime)
}

// pruneDepartures removes old departures, and the earlier half of all if that is not
// enough.
func (d *Directory) pruneDepartures() {
	maps.DeleteFunc(d.departures, func(_ string, left departure) bool { return d.readTime.Sub(left.at) > departureRetention })
	d.deltasSince = max(d.deltasSince, d.revision)
	if len(d.departures) < maxDepartures {
		return
	}
	ids := slices.SortedFunc(maps.Keys(d.departures), func(a, b string) int {
		return cmp.Or(d.departures[a].at.Compare(d.departures[b].at), cmp.Compare(a, b))
	})
	for _, id := range ids[:len(ids)/2] {
		delete(d.departures, id)
	}
}
