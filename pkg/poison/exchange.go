package poison

import "time"

const (
	// maxPending bounds the marks that wait to be sent and those that are sent again: the
	// marks of some six crashes at once.
	maxPending = 64
	// recentTime is how long a mark is sent again in each round, since one message may be
	// lost.
	recentTime = 2 * time.Second
)

// learnedMark is a mark and the time at which this router learned it.
type learnedMark struct {
	Mark
	at time.Time
}

// Updates returns a channel that receives when TakePending has marks that other routers
// need at once.
func (m *Tracker) Updates() <-chan struct{} { return m.updates }

func (m *Tracker) signalUpdate() {
	select {
	case m.updates <- struct{}{}:
	default:
	}
}

// addRecent keeps a mark to be sent again. The caller holds m.mu.
func (m *Tracker) addRecent(mark Mark, now time.Time) {
	m.recent = append(m.recent, learnedMark{mark, now})
	if over := len(m.recent) - maxPending; over > 0 {
		m.recent = m.recent[over:]
	}
}

// TakePending removes and returns the marks that were not sent yet.
func (m *Tracker) TakePending() []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	pending := m.pending
	m.pending = nil
	return pending
}

// Recent returns the marks learned within recentTime.
func (m *Tracker) Recent(now time.Time) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	for len(m.recent) > 0 && now.Sub(m.recent[0].at) > recentTime {
		m.recent = m.recent[1:]
	}
	var marks []Mark
	for _, l := range m.recent {
		marks = append(marks, l.Mark)
	}
	return marks
}

// Sample returns the marks of some requests, held ones first and different ones each
// time, for routers that start or were partitioned. Routers read restored ones themselves.
func (m *Tracker) Sample(requests int) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	digests := append(m.held.Keys(), m.suspects.Keys()...)
	if held := m.held.Len(); held > requests {
		digests = digests[:held]
	}
	var marks []Mark
	for range min(requests, len(digests)) {
		d := digests[m.sampleOffset%len(digests)]
		m.sampleOffset++
		s, found := m.held.Peek(d)
		if !found {
			s, _ = m.suspects.Peek(d)
		}
		for _, c := range s.crashes {
			if c.restored {
				// Others may know it by its own time, and would count it twice.
				continue
			}
			marks = append(marks, Mark{Digest: d, Replica: c.replica, Organisation: c.organisation, Shared: c.shared, At: c.at})
		}
	}
	return marks
}

// Merge applies marks from another router. In a large fleet new marks are forwarded,
// since their sender can't reach every router.
func (m *Tracker) Merge(marks []Mark, forward bool, now time.Time) {
	m.applyMarks(marks, forward, m.policy.sharesOnMerge, now)
}
