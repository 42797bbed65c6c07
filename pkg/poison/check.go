package poison

import "time"

// State tells whether and how a request may be sent.
type State uint8

// The states.
const (
	// Allowed requests may be sent.
	Allowed State = iota
	// Suspected requests are held after one more crash. They are sent by BeginRun, one at a
	// time, and not retried: each run may take down every request that runs beside it.
	Suspected
	// Held requests must not be sent.
	Held
	// Trial: the hold is over, and one router may send the request by BeginRun.
	Trial
)

// Verdict says whether a request may be sent.
type Verdict struct {
	State State
	// Crashes is how many replicas in a row crashed while they ran the request; another
	// request that ran there may be the cause.
	Crashes int
	// RetryAfter is how long the request is still held.
	RetryAfter time.Duration
}

// Check tells whether a request may be sent now.
func (m *Tracker) Check(d Digest, now time.Time) Verdict {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.find(d)
	if s == nil || m.limits.Crashes == 0 {
		return Verdict{}
	}
	s.dropExpired(now)
	v := Verdict{Crashes: len(s.crashes)}
	switch {
	case v.Crashes == 0:
	case v.Crashes >= m.crashLimit(s, now):
		v.State = Trial
		if v.RetryAfter = m.heldUntil(s, now).Sub(now); v.RetryAfter > 0 {
			v.State = Held
		}
	case v.Crashes == m.crashLimit(s, now)-1:
		v.State = Suspected
	}
	return v
}

// dropExpired removes crashes older than markLifetime.
func (s *suspect) dropExpired(now time.Time) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) > markLifetime {
		s.crashes = s.crashes[1:]
	}
}

// heldUntil returns when a held request may be tried again. The caller holds m.mu.
func (m *Tracker) heldUntil(s *suspect, now time.Time) time.Time {
	last := s.lastTrial
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	extraCrashes := max(m.crashesAfterHold(s, now), s.trials)
	if extraCrashes >= maxTrials {
		return last.Add(markLifetime)
	}
	hold := m.limits.Hold
	for range extraCrashes {
		hold *= holdGrowth
	}
	return last.Add(min(hold, markLifetime))
}

// crashesAfterHold returns how many crashes followed those that hold a request. The caller
// holds m.mu.
func (m *Tracker) crashesAfterHold(s *suspect, now time.Time) int {
	if m.policy.settleTime == 0 {
		return len(s.crashes) - m.crashLimit(s, now)
	}
	after := 0
	for _, c := range s.crashes {
		if c.at.Sub(s.heldSince) > m.policy.settleTime {
			after++
		}
	}
	return after
}

// BeginRun starts a run of a Suspected or Trial request. It returns false when this router
// already has a run of it in progress.
func (m *Tracker) BeginRun(d Digest, state State, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.find(d)
	if s == nil {
		// The marks were cleared since the check.
		return true
	}
	if s.running {
		return false
	}
	s.running = true
	if state == Trial {
		s.lastTrial = now
		s.trials++
	}
	return true
}

// EndRun ends the run that BeginRun started.
func (m *Tracker) EndRun(d Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.find(d); s != nil {
		s.running = false
	}
}
