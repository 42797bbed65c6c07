package poison

import "time"

// State is how far a request is suspected.
type State uint8

// The states.
const (
	// Allowed: it may be sent.
	Allowed State = iota
	// Suspected: one more crash has it held. It is sent by Begin, once at a time, and not
	// repeated: each of its runs may cost all that run beside it.
	Suspected
	// Held: it is not to be sent.
	Held
	// Trial: it was held for its time. One router may send it, by Begin.
	Trial
)

// Verdict says whether a request may be sent.
type Verdict struct {
	State State
	// Crashes is how many replicas in a row it crashed, or some request beside it.
	Crashes int
	// RetryAfter is for how long it is held.
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
	s.forget(now)
	v := Verdict{Crashes: len(s.crashes)}
	switch {
	case v.Crashes == 0:
	case v.Crashes >= m.limit(s, now):
		v.State = Trial
		if v.RetryAfter = m.heldUntil(s, now).Sub(now); v.RetryAfter > 0 {
			v.State = Held
		}
	case v.Crashes == m.limit(s, now)-1:
		v.State = Suspected
	}
	return v
}

// forget drops crashes that are too long ago.
func (s *suspect) forget(now time.Time) {
	for len(s.crashes) > 0 && now.Sub(s.crashes[0].at) > life {
		s.crashes = s.crashes[1:]
	}
}

// heldUntil is when a request that crashed too many replicas may be tried again.
// m.mu is held.
func (m *Tracker) heldUntil(s *suspect, now time.Time) time.Time {
	last := s.trial
	for _, c := range s.crashes {
		if c.at.After(last) {
			last = c.at
		}
	}
	further := max(len(s.crashes)-m.limit(s, now), s.trials)
	if further >= maxTrials {
		return last.Add(life)
	}
	hold := m.limits.Hold
	for range further {
		hold *= holdGrowth
	}
	return last.Add(min(hold, life))
}

// BeginRun notes that a request is sent that is to run alone, or tried though held, and
// tells whether it may be: no other run of it is under way from this router.
func (m *Tracker) BeginRun(d Digest, state State, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.find(d)
	if s == nil {
		// All marks are gone.
		return true
	}
	if s.running {
		return false
	}
	s.running = true
	if state == Trial {
		s.trial = now
		s.trials++
	}
	return true
}

// EndRun ends what Begin began.
func (m *Tracker) EndRun(d Digest) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s := m.find(d); s != nil {
		s.running = false
	}
}
