package directory

import "time"

// listsEarlierStart reports whether an entry belongs to an earlier start than the known
// one, because a write of it may arrive late. The current process writes its next entry
// within the grace period. If it does not, the clock was set back before this start.
func (d *Directory) listsEarlierStart(r *Replica, known *entry) bool {
	if r.Born == 0 || r.Born >= known.replica.Born {
		known.earlierStartSince = time.Time{}
		return false
	}
	if known.earlierStartSince.IsZero() {
		known.earlierStartSince = d.readTime
	}
	return d.readTime.Sub(known.earlierStartSince) < d.gracePeriod
}

// keepLaterStart returns the known replica updated from an entry of an earlier start.
// Only draining is taken over: if the clock was set back, the entry is the replica's own
// and applies before the grace period is over, and otherwise the replica's next entry
// corrects it.
func keepLaterStart(entry, known Replica) Replica {
	if entry.State == Draining {
		known.State = Draining
	}
	return known
}

// restarted reports whether a replica restarted between two of its entries: its start
// times differ or, without start times, its sequence number started over. An earlier
// sequence number in a list restored from a copy is no restart.
func (d *Directory) restarted(r, old *Replica) bool {
	if r.Born != 0 && old.Born != 0 {
		return r.Born != old.Born
	}
	return r.NextSequence != 0 && r.NextSequence < old.NextSequence && !d.holdsFacts(d.readTime)
}

// maxUncertainRest is how long a rest lasts that either the earlier or the later process may have
// asked for. It counts from when the request was sent whose answer asked for it. The replica is then
// sent a request and may ask again.
const maxUncertainRest = 4 * time.Second

// MarkRestarted discards all statements of a replica that another router reported as
// restarted at the given time. It does not count a restart twice that a list has just
// shown.
func (s *Statements) MarkRestarted(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[id]; record != nil && (record.startStated || at.Sub(record.startListed) < sameRestartWindow) {
		return
	}
	s.reset(id, at, at)
}

// markListedStart discards the statements of a replica's earlier process when a read sent at
// the given time is the first to list a later start. before is when the last read that listed the
// earlier start was sent.
//
//	request sent no later than before -> answered by the earlier process, as far as is known
//	sent between before and read      -> answered by either: a rest is kept for a short time
//	sent since read                   -> answered by the later process: all is kept
func (s *Statements) markListedStart(r *Replica, before, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.records[r.ID]
	record := s.reset(r.ID, before, read)
	record.startStated = r.Born != 0
	if old == nil {
		return
	}
	if !old.drainingSaidTo.Before(read) {
		record.drainingSaidTo = old.drainingSaidTo
		record.DrainingSince = latest(old.DrainingSince, old.drainingSaidTo)
	}
	if !old.ServingAt.Before(read) {
		record.ServingAt = old.ServingAt
	}
	if until, current := record.restOfStart(old.restSaidTo, old.restSaid); current {
		record.RestUntil = until
		record.noteRest(old.restSaidTo, until)
	}
	if record.excludes(read) {
		s.excluding[r.ID] = struct{}{}
	}
}

// restOfStart returns the end of a rest that the answer to a request sent at the given time asked
// for, limited if the earlier process may have answered. It reports false if that process did.
func (r *statementRecord) restOfStart(sent, until time.Time) (limited time.Time, current bool) {
	if !sent.Before(r.startListed) {
		return until, true
	}
	if limit := sent.Add(maxUncertainRest); until.After(limit) {
		until = limit
	}
	return until, sent.After(r.earlierListed)
}

// noteRest records a rest that the answer to a request sent at the given time asked for, if it
// is the latest such request.
func (r *statementRecord) noteRest(sent, until time.Time) {
	switch {
	case sent.After(r.restSaidTo):
		r.restSaidTo, r.restSaid = sent, until
	case sent.Equal(r.restSaidTo):
		r.restSaid = latest(r.restSaid, until)
	}
}

// reset replaces the record of a replica with an empty one. s.mu is held.
func (s *Statements) reset(id string, earlierListed, startListed time.Time) *statementRecord {
	record := &statementRecord{earlierListed: earlierListed, startListed: startListed, changedAt: startListed}
	s.records[id] = record
	delete(s.excluding, id)
	return record
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
