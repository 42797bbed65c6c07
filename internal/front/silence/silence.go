// Package silence watches attempts whose replicas send nothing for longer than usual.
package silence

import (
	"sync"
	"time"
)

// Recheck is the pause between two looks whether a silent attempt has a successor.
const Recheck = 100 * time.Millisecond

// Timer watches an attempt for silence. It reports the replica as hung once and, until the
// replica sends something, fails over as soon as another one can take the request.
type Timer struct {
	limit    time.Duration
	report   func()
	failover func() bool

	mu    sync.Mutex
	timer *time.Timer
	// fired is set while the replica is silent for longer than the limit, keep while its answer
	// could not go on elsewhere.
	fired, keep, stopped bool
}

// Start starts a watch. After limit it calls report once and then failover, until failover reports that it
// did or the replica sends something.
func Start(limit time.Duration, report func(), failover func() bool) *Timer {
	s := &Timer{limit: limit, report: report, failover: failover}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(limit, s.fire)
	return s
}

func (s *Timer) fire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if !s.fired {
		s.fired = true
		s.report()
	}
	if s.keep || !s.failover() {
		s.timer.Reset(Recheck)
	}
}

// Reset starts the time anew after the replica sent something. keep is set if the answer could not
// go on elsewhere after it.
func (s *Timer) Reset(keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fired, s.keep = false, keep
	s.timer.Reset(s.limit)
}

// SetFailover replaces the function that fails over.
func (s *Timer) SetFailover(failover func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failover = failover
}

// Stop ends the watch and reports whether the replica has not been silent for too long.
func (s *Timer) Stop() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return !s.fired
}
