package directory

import (
	"slices"
	"time"
)

// coldUntil returns when a replica that was just listed is warm. Its entry holds the
// remaining cold time as of its writing, so the result is late rather than early.
func (d *Directory) coldUntil(r Replica) time.Time {
	if r.ColdLeft <= 0 {
		return time.Time{}
	}
	return d.readTime.Add(r.ColdLeft)
}

// updateColdUntil keeps ColdUntil of a replica or updates it from a changed entry, and
// returns the change that senders need to know, which is none if an entry only counts
// down.
func (d *Directory) updateColdUntil(r *Replica, old Replica) ChangeKind {
	r.ColdUntil = old.ColdUntil
	if r.Entry == old.Entry && r.Cold == old.Cold {
		return ""
	}
	until := d.coldUntil(*r)
	switch {
	case r.Cold && until.After(old.ColdUntil):
		r.ColdUntil = until
		return TurnedCold
	case !r.Cold && d.holdsFacts(d.readTime):
		// A restored list may be older than the change to cold.
		return ""
	case !r.Cold && (old.Cold || !old.ColdUntil.IsZero()):
		r.ColdUntil = until
		return TurnedWarm
	}
	return ""
}

// applyEvacuations sets the evacuated data centres and returns the changes. When an
// evacuation ends, replicas may have turned cold, which their entries report a little
// later.
func (d *Directory) applyEvacuations(evacuated []string) []Change {
	now := slices.Clone(evacuated)
	slices.Sort(now)
	now = slices.Compact(now)
	var changes []Change
	for _, centre := range now {
		if !slices.Contains(d.evacuated, centre) {
			changes = append(changes, Change{DataCentre: centre, Kind: Evacuated})
		}
	}
	for _, centre := range d.evacuated {
		if !slices.Contains(now, centre) {
			d.assumeCold(centre)
			changes = append(changes, Change{DataCentre: centre, Kind: EvacuationEnded})
		}
	}
	d.evacuated = now
	return changes
}

// assumeCold treats the replicas of a data centre as cold until their entries must have
// been updated.
func (d *Directory) assumeCold(centre string) {
	until := d.readTime.Add(d.gracePeriod)
	for _, e := range d.entries {
		if e.replica.DataCentre == centre && until.After(e.replica.ColdUntil) {
			e.replica.ColdUntil = until
		}
	}
}
