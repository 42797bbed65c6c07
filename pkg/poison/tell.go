package poison

import "time"

const (
	// maxTold bounds the marks that wait to be told, and what is told again: those of
	// some six crashes at once.
	maxTold = 64
	// recentTime is for how long a mark is told again in each round, since what is told
	// once may be lost.
	recentTime = 2 * time.Second
)

// learned is a mark with when it was learned.
type learned struct {
	Mark
	at time.Time
}

// Updates receives after marks were learned that others are to know at once.
func (m *Tracker) Updates() <-chan struct{} { return m.news }

func (m *Tracker) wake() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// noteRecent keeps a mark to be told again. m.mu is held.
func (m *Tracker) noteRecent(mark Mark, now time.Time) {
	m.recent = append(m.recent, learned{mark, now})
	if over := len(m.recent) - maxTold; over > 0 {
		m.recent = m.recent[over:]
	}
}

// TakePending returns the marks that nobody was told of yet.
func (m *Tracker) TakePending() []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	untold := m.untold
	m.untold = nil
	return untold
}

// Recent returns the marks that were learned a moment ago.
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

// Sample returns the marks of some requests, those that are held before others, others
// each time: for a router that starts, or was cut off.
func (m *Tracker) Sample(requests int) []Mark {
	m.mu.Lock()
	defer m.mu.Unlock()
	digests := append(m.held.Keys(), m.suspects.Keys()...)
	if held := m.held.Len(); held > requests {
		digests = digests[:held]
	}
	var marks []Mark
	for range min(requests, len(digests)) {
		d := digests[m.next%len(digests)]
		m.next++
		s, found := m.held.Peek(d)
		if !found {
			s, _ = m.suspects.Peek(d)
		}
		for _, c := range s.crashes {
			marks = append(marks, Mark{Digest: d, Replica: c.replica, At: c.at})
		}
	}
	return marks
}

// Merge takes what another router told. In a large fleet what is new is told on, since
// its teller can't tell everybody.
func (m *Tracker) Merge(marks []Mark, tellOn bool, now time.Time) { m.learn(marks, tellOn, now) }
