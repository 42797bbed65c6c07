package directory

import (
	"maps"
	"slices"
	"time"
)

// All routers hold states of one list, whose revision orders them. A router that holds an
// earlier state needs only what was written or deleted since:
//
//	entries that a later read changed     -> changed
//	departures that a later read noticed  -> removed
//
// The hash of the list shows whether the result is the same list. Revisions are compared
// only within one generation of the list's store.

// Delta is the difference between two states of the list.
type Delta struct {
	// Listing holds the changed replicas, and all evacuations and roll-outs.
	Listing
	// Removed are the IDs of the replicas that are not listed any more.
	Removed []string
}

// Revision returns the revision of the store that the list reflects at least, or 0 if it is
// unknown.
func (d *Directory) Revision() uint64 { return d.revision }

// SetRevision records that the list reflects a revision, or that the read which is applied
// next does. A lower one than that known is ignored, unless it is 0.
func (d *Directory) SetRevision(revision uint64) {
	if revision == 0 {
		d.revision, d.deltasSince = 0, 0
		return
	}
	if d.deltasSince == 0 {
		d.deltasSince = revision
	}
	d.revision = max(d.revision, revision)
}

// ReplaceRevision records that the list is replaced by one that reflects a revision, which
// may be lower than that known.
func (d *Directory) ReplaceRevision(revision uint64) {
	d.revision = 0
	if revision == 0 || revision < d.deltasSince {
		d.deltasSince = 0
	}
	d.SetRevision(revision)
}

// Delta returns what has changed since a revision, or false if that is not known.
func (d *Directory) Delta(since uint64) (Delta, bool) {
	if since == 0 || since < d.deltasSince || since > d.revision {
		return Delta{}, false
	}
	x := Delta{Listing: Listing{Evacuated: slices.Clone(d.evacuated), Rollouts: d.ListedRollouts()}}
	x.Replicas = d.listed(func(e *entry) bool { return e.changedAt > since })
	for id, left := range d.departures {
		if left.revision > since {
			x.Removed = append(x.Removed, id)
		}
	}
	x.Removed = slices.AppendSeq(x.Removed, maps.Keys(d.unconfirmed))
	slices.Sort(x.Removed)
	return x, true
}

// ApplyDelta is Apply for a read that differs from the last one by a delta. Its cost grows
// with the delta, and little with the list.
func (d *Directory) ApplyDelta(x Delta, sent time.Time) []Change {
	removed := make(map[string]bool, len(x.Removed))
	for _, id := range x.Removed {
		removed[id] = true
	}
	for _, r := range x.Replicas {
		delete(removed, r.ID)
	}
	if len(d.unconfirmed) > 0 || d.holdsFacts(sent) {
		// Both need the whole list.
		return d.Apply(d.mergeDelta(x, removed), sent)
	}
	if sent.Before(d.readTime) {
		return nil
	}
	d.heldFacts = heldFacts{}
	missing := make(map[string]*entry)
	for id := range removed {
		if e := d.entries[id]; e != nil {
			missing[id] = e
		}
	}
	changes := d.applyReplicas(x.Replicas, sent, missing)
	changes = append(d.applyEvacuations(x.Evacuated), changes...)
	return append(changes, d.applyRollouts(x.Rollouts)...)
}

// mergeDelta returns the last read with a delta applied.
func (d *Directory) mergeDelta(x Delta, removed map[string]bool) Listing {
	changed := make(map[string]bool, len(x.Replicas))
	for _, r := range x.Replicas {
		changed[r.ID] = true
	}
	own := d.listed(func(e *entry) bool { return !changed[e.replica.ID] && !removed[e.replica.ID] })
	return Listing{Replicas: append(own, x.Replicas...), Evacuated: x.Evacuated, Rollouts: x.Rollouts}
}
