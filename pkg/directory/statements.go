package directory

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Statements holds what replicas said about themselves in their answers to this router.
//
//	announced its shutdown -> until the replica restarts or its entry withdraws it
//	asked for rest         -> until the requested time is over or the replica restarts
//	seen serving           -> an answer without a sign of shutting down
//
// Statements are first-hand, so a list of replicas, which may be older, ends none of
// them. Statements is safe for concurrent use.
type Statements struct {
	mu      sync.Mutex
	records map[string]*statementRecord
	// excluding are the IDs of listed replicas that announced a shutdown or asked for
	// rest.
	excluding map[string]struct{}
	pruned    time.Time
}

// Statement is what one replica said about itself.
type Statement struct {
	// DrainingSince is when the first answer arrived that announced the shutdown, or
	// zero.
	DrainingSince time.Time
	// RestUntil is the latest requested end of a rest, or zero.
	RestUntil time.Time
	// ServingAt is when the latest request was sent whose answer shows no sign of
	// shutting down.
	ServingAt time.Time
}

type statementRecord struct {
	Statement
	// startListed is when the read was sent that first listed the replica's current
	// start. Answers to earlier requests may come from the previous start. Zero means
	// that no other start is known.
	startListed time.Time
	// earlierListed is when the last read was sent that listed the previous start.
	earlierListed time.Time
	// startStated reports that the entry of the current start states its start time, so
	// that lists show each restart.
	startStated bool
	// drainingSaidTo is when the latest request was sent whose answer announced the
	// shutdown, and restSaidTo the same for rest.
	drainingSaidTo, restSaidTo time.Time
	// restSaid is the end of the rest that the answer to that request asked for.
	restSaid time.Time
	// born is the start time, by its own clock, of a replica that is no longer listed; 0
	// means unknown.
	born int64
	// missingSince is when the first read that did not list the replica was sent.
	missingSince time.Time
	// changedAt is when the record last changed.
	changedAt time.Time
}

const (
	// sameRestartWindow is the time within which a list and another router report the
	// same restart.
	sameRestartWindow = 2 * time.Second
	// statementRetention is how long statements that exclude no listed replica are kept
	// after their last change.
	statementRetention = 10 * time.Minute
	// pruneInterval is the minimum time between two calls that remove old statements.
	pruneInterval = 10 * time.Second
)

// NewStatements returns an empty set.
func NewStatements() *Statements {
	return &Statements{records: make(map[string]*statementRecord), excluding: make(map[string]struct{})}
}

// record returns the record of a replica. s.mu is held.
func (s *Statements) record(id string) *statementRecord {
	record := s.records[id]
	if record == nil {
		record = &statementRecord{}
		s.records[id] = record
	}
	return record
}

// recordFor returns the record of a replica for the answer to a request sent at the given
// time, or nil if the replica may have restarted since. s.mu is held.
func (s *Statements) recordFor(id string, sent time.Time) *statementRecord {
	record := s.record(id)
	if sent.Before(record.startListed) {
		return nil
	}
	return record
}

// MarkDraining records that the answer to a request sent at the given time announced the
// replica's shutdown, and reports whether that is new.
func (s *Statements) MarkDraining(id string, sent, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.recordFor(id, sent)
	if record == nil {
		return false
	}
	record.changedAt, record.ServingAt = now, time.Time{}
	record.drainingSaidTo = latest(record.drainingSaidTo, sent)
	if !record.DrainingSince.IsZero() {
		return false
	}
	record.DrainingSince = now
	s.excluding[id] = struct{}{}
	return true
}

// MarkResting records that the answer to a request sent at the given time asked for no
// requests until another time, and reports whether the replica was not resting before.
// The latest of several ends applies.
func (s *Statements) MarkResting(id string, sent, until, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record(id)
	until, current := record.restOfStart(sent, until)
	if !current || !until.After(now) {
		return false
	}
	news = !record.RestUntil.After(now)
	record.changedAt = now
	s.excluding[id] = struct{}{}
	record.RestUntil = latest(record.RestUntil, until)
	record.noteRest(sent, until)
	return news
}

// MarkServing records that the answer to a request sent at the given time shows no sign
// of shutting down.
func (s *Statements) MarkServing(id string, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	record := s.recordFor(id, sent)
	if record == nil || !record.DrainingSince.IsZero() || !sent.After(record.ServingAt) {
		return
	}
	record.changedAt, record.ServingAt = now, sent
}

// ForgetServing clears ServingAt of a replica, because it may be shutting down.
func (s *Statements) ForgetServing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[id]; record != nil {
		record.ServingAt = time.Time{}
	}
}

// Get returns what a replica said about itself.
func (s *Statements) Get(id string) Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[id]; record != nil {
		return record.Statement
	}
	return Statement{}
}

// eachExcluding calls visit for each statement that excludes a listed replica at the
// given time.
func (s *Statements) eachExcluding(now time.Time, visit func(id string, said Statement)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.excluding {
		record := s.records[id]
		if !record.excludes(now) {
			delete(s.excluding, id)
			continue
		}
		visit(id, record.Statement)
	}
}

// Rest is a rest that a listed replica asked for.
type Rest struct {
	ID    string
	Until time.Time
}

// Rests returns up to count rests that last at the given time, the longest ones first.
func (s *Statements) Rests(count int, now time.Time) []Rest {
	var rests []Rest
	s.eachExcluding(now, func(id string, said Statement) {
		if now.Before(said.RestUntil) {
			rests = append(rests, Rest{id, said.RestUntil})
		}
	})
	slices.SortFunc(rests, func(a, b Rest) int { return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.ID, b.ID)) })
	return rests[:min(count, len(rests))]
}

// excludes reports whether the statement excludes its replica at the given time.
func (s *Statement) excludes(now time.Time) bool {
	return !s.DrainingSince.IsZero() || now.Before(s.RestUntil)
}

// CountExcluded returns how many listed replicas announced their shutdown, and how many
// others are resting at their own request.
func (s *Statements) CountExcluded(now time.Time) (draining, resting int) {
	s.eachExcluding(now, func(_ string, said Statement) {
		if !said.DrainingSince.IsZero() {
			draining++
			return
		}
		resting++
	})
	return draining, resting
}

// withdrawShutdown ends an announced shutdown that the replica's entry withdrew in a read
// sent at the given time.
func (s *Statements) withdrawShutdown(id string, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[id]; record != nil && record.DrainingSince.Before(read) {
		record.DrainingSince = time.Time{}
	}
}

// markMissing records that a read sent at the given time no longer lists a replica.
func (s *Statements) markMissing(r *Replica, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if record := s.records[r.ID]; record != nil {
		record.born, record.missingSince = r.Born, read
		delete(s.excluding, r.ID)
	}
}

// markUnlisted records that a read sent at the given time does not list some replicas of which there
// are statements. Other routers tell of rests that they know before the first read.
func (s *Statements) markUnlisted(listed func(id string) bool, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.excluding {
		if listed(id) {
			continue
		}
		delete(s.excluding, id)
		if record := s.records[id]; record.missingSince.IsZero() {
			record.missingSince = read
		}
	}
}

// markJoined records that a read sent at the given time lists a replica that the previous
// read did not. Either its entry expired and was written again, or the replica restarted:
// the start times decide, or without them how long the entry was missing.
func (s *Statements) markJoined(r *Replica, read time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[r.ID]
	if record == nil {
		return
	}
	started := !record.missingSince.IsZero() && read.Sub(record.missingSince) > grace
	if r.Born != 0 && record.born != 0 {
		started = r.Born > record.born
	}
	record.missingSince = time.Time{}
	switch {
	case started:
		s.reset(r.ID, read, read)
	case record.excludes(read):
		s.excluding[r.ID] = struct{}{}
	}
}

// prune removes old statements that exclude no listed replica. s.mu is held.
func (s *Statements) prune(now time.Time) {
	if now.Sub(s.pruned) < pruneInterval {
		return
	}
	s.pruned = now
	for id, record := range s.records {
		listed := record.missingSince.IsZero()
		if !(listed && record.excludes(now)) && now.Sub(record.changedAt) > statementRetention {
			delete(s.records, id)
			delete(s.excluding, id)
		}
	}
}
