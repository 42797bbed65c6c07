package directory

import (
	"slices"
	"time"
)

// coldUntil is when a replica that was just listed is warm. Its entry said how long
// it stays cold when it was written, so that this is rather late than early.
func (d *Directory) coldUntil(r Replica) time.Time {
	if r.ColdLeft <= 0 {
		return time.Time{}
	}
	return d.read.Add(r.ColdLeft)
}

// warmth carries over until when a replica is cold, or takes it from an entry that
// has changed, and tells what changed for those who send: nothing if an entry only
// counts down.
func (d *Directory) warmth(r *Replica, old Replica) ChangeKind {
	r.ColdUntil = old.ColdUntil
	if r.Entry == old.Entry && r.Cold == old.Cold {
		return ""
	}
	until := d.coldUntil(*r)
	switch {
	case r.Cold && until.After(old.ColdUntil):
		r.ColdUntil = until
		return TurnedCold
	case !r.Cold && d.rewound(d.read):
		// A copy may be of before it turned cold.
		return ""
	case !r.Cold && (old.Cold || !old.ColdUntil.IsZero()):
		r.ColdUntil = until
		return TurnedWarm
	}
	return ""
}

// takeCentres takes the data centres that are evacuated. The replicas of one that is
// taken back may have turned cold, and their entries tell it a little later.
func (d *Directory) takeCentres(evacuated []string) []Change {
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

// assumeCold takes the replicas of a data centre for cold until their entries must have
// said whether they are.
func (d *Directory) assumeCold(centre string) {
	until := d.read.Add(d.grace)
	for _, e := range d.entries {
		if e.replica.DataCentre == centre && until.After(e.replica.ColdUntil) {
			e.replica.ColdUntil = until
		}
	}
}
