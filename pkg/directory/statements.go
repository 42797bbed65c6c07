package directory

import (
	"sync"
	"time"
)

// Statements are what replicas said of themselves in their answers to this router.
//
//	announced its shutdown -> until the replica starts again, or its entry takes it back
//	asked for rest         -> until the time that it asked for is over, or it starts again
//	seen serving           -> an answer without a sign of leaving
//
// They are first-hand, so a list of replicas, which may be older, ends none of them. They
// are safe for concurrent use.
type Statements struct {
	mu sync.Mutex
	of map[string]*statement
	// bind are the ids of listed replicas that announced a shutdown or asked for a rest.
	bind   map[string]struct{}
	pruned time.Time
}

// Statement is what one replica said.
type Statement struct {
	// DrainingSince is when the first answer came that announced the shutdown; zero: none.
	DrainingSince time.Time
	// RestUntil is the latest end of a rest that was asked for; zero: none.
	RestUntil time.Time
	// ServingAt is when the latest request was sent whose answer shows no sign of leaving.
	ServingAt time.Time
}

type statement struct {
	Statement
	// startListed is when the read was sent that first listed the replica's present start.
	// Answers to earlier requests may be of the start before; zero: no other is known.
	startListed time.Time
	// born is when a replica started that is listed no more, in its own words; 0: not known.
	born int64
	// missingSince is when the first read was sent that did not list it.
	missingSince time.Time
	// changed is when anything was last noted.
	changed time.Time
}

const (
	// sameRestart is within what time a list and another router report one restart.
	sameRestart = 2 * time.Second
	// statementKept is for how long statements of a replica are kept that is listed no more.
	statementKept = 10 * time.Minute
	// prunePause is the least time between two searches for statements to forget.
	prunePause = 10 * time.Second
)

// NewStatements returns an empty set.
func NewStatements() *Statements {
	return &Statements{of: make(map[string]*statement), bind: make(map[string]struct{})}
}

// statement returns that of a replica, for a request sent at a time; nil if the replica
// may have started again since. s.mu is held.
func (s *Statements) statement(id string, sent time.Time) *statement {
	one := s.of[id]
	if one == nil {
		one = &statement{}
		s.of[id] = one
	}
	if sent.Before(one.startListed) {
		return nil
	}
	return one
}

// MarkDraining records that the answer to a request sent at a time announced the
// replica's shutdown, and tells whether that is news.
func (s *Statements) MarkDraining(id string, sent, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.statement(id, sent)
	if one == nil {
		return false
	}
	one.changed, one.ServingAt = now, time.Time{}
	if !one.DrainingSince.IsZero() {
		return false
	}
	one.DrainingSince = now
	s.bind[id] = struct{}{}
	return true
}

// MarkResting records that the answer to a request sent at a time asked for no requests
// until another, and tells whether the replica was not at rest before. Of several ends
// the latest holds.
func (s *Statements) MarkResting(id string, sent, until, now time.Time) (news bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.statement(id, sent)
	if one == nil {
		return false
	}
	news = !one.RestUntil.After(now)
	one.changed = now
	s.bind[id] = struct{}{}
	if until.After(one.RestUntil) {
		one.RestUntil = until
	}
	return news
}

// MarkServing records that the answer to a request sent at a time shows no sign of
// leaving.
func (s *Statements) MarkServing(id string, sent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prune(now)
	one := s.statement(id, sent)
	if one == nil || !one.DrainingSince.IsZero() || !sent.After(one.ServingAt) {
		return
	}
	one.changed, one.ServingAt = now, sent
}

// ForgetServing removes that a replica was seen serving: it may be leaving.
func (s *Statements) ForgetServing(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.of[id]; one != nil {
		one.ServingAt = time.Time{}
	}
}

// Get returns what a replica said.
func (s *Statements) Get(id string) Statement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.of[id]; one != nil {
		return one.Statement
	}
	return Statement{}
}

// eachBinding calls visit for the statements that exclude listed replicas at a time.
func (s *Statements) eachBinding(now time.Time, visit func(id string, said Statement)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.bind {
		one := s.of[id]
		if !one.binds(now) {
			delete(s.bind, id)
			continue
		}
		visit(id, one.Statement)
	}
}

// binds reports whether a statement excludes its replica at a time.
func (s *Statement) binds(now time.Time) bool {
	return !s.DrainingSince.IsZero() || now.Before(s.RestUntil)
}

// CountExcluded returns how many listed replicas announced their shutdown, and how many more are
// at a rest that they asked for.
func (s *Statements) CountExcluded(now time.Time) (draining, resting int) {
	s.eachBinding(now, func(_ string, said Statement) {
		if !said.DrainingSince.IsZero() {
			draining++
			return
		}
		resting++
	})
	return draining, resting
}

// MarkRestarted ends all statements of a replica that started again, as another router reported
// at a time. A restart that a list has just shown is not counted twice.
func (s *Statements) MarkRestarted(id string, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.of[id]; one != nil && at.Sub(one.startListed) < sameRestart {
		return
	}
	s.started(id, at)
}

// listedStart ends all statements of a replica: a read sent at a time is the first to list
// a later start.
func (s *Statements) listedStart(id string, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started(id, read)
}

// started begins the statements of a replica anew. s.mu is held.
func (s *Statements) started(id string, at time.Time) {
	s.of[id] = &statement{startListed: at, changed: at}
	delete(s.bind, id)
}

// withdrawn ends an announced shutdown that the replica's entry took back, in a read sent
// at a time.
func (s *Statements) withdrawn(id string, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.of[id]; one != nil && one.DrainingSince.Before(read) {
		one.DrainingSince = time.Time{}
	}
}

// missing notes that a read sent at a time does not list a replica any more.
func (s *Statements) missing(r *Replica, read time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if one := s.of[r.ID]; one != nil {
		one.born, one.missingSince = r.Born, read
		delete(s.bind, r.ID)
	}
}

// joined notes that a read sent at a time lists a replica that the one before did not.
// Its entry may have lapsed and come back, or it started again: by when it says that it
// started, else by how long it was missing.
func (s *Statements) joined(r *Replica, read time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.of[r.ID]
	if one == nil {
		return
	}
	started := !one.missingSince.IsZero() && read.Sub(one.missingSince) > grace
	if r.Born != 0 && one.born != 0 {
		started = r.Born > one.born
	}
	one.missingSince = time.Time{}
	switch {
	case started:
		s.started(r.ID, read)
	case one.binds(read):
		s.bind[r.ID] = struct{}{}
	}
}

// prune removes old statements that exclude no listed replica. s.mu is held.
func (s *Statements) prune(now time.Time) {
	if now.Sub(s.pruned) < prunePause {
		return
	}
	s.pruned = now
	for id, one := range s.of {
		listed := one.missingSince.IsZero()
		if !(listed && one.binds(now)) && now.Sub(one.changed) > statementKept {
			delete(s.of, id)
			delete(s.bind, id)
		}
	}
}
