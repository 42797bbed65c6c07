package admission

import (
	"sync"
	"time"
)

// MaxDurations keeps the longest recent duration of each kind of request, so that a
// request that can't finish in the time left is not started. It is safe for concurrent
// use.
type MaxDurations struct {
	mu    sync.Mutex
	kinds map[string]*windows
}

// windows holds the longest durations of the current window and of the previous one.
type windows struct {
	start             time.Time
	current, previous time.Duration
}

// windowLength covers the long requests of a kind that comes a few times a second. A
// kind that became faster has its old maximum dropped after two windows.
const windowLength = 10 * time.Second

// NewMaxDurations returns an empty MaxDurations.
func NewMaxDurations() *MaxDurations {
	return &MaxDurations{kinds: make(map[string]*windows)}
}

// Record records the duration of a request that succeeded.
func (l *MaxDurations) Record(kind string, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.kinds[kind]
	if s == nil {
		s = &windows{start: now}
		l.kinds[kind] = s
	}
	s.rotate(now)
	s.current = max(s.current, took)
}

// rotate starts a new window if the current one is over.
func (s *windows) rotate(now time.Time) {
	switch elapsed := now.Sub(s.start); {
	case elapsed < windowLength:
		return
	case elapsed < 2*windowLength:
		s.previous = s.current
	default:
		s.previous = 0
	}
	s.start, s.current = now, 0
}

// Max returns the longest recent duration of a kind, or false if there is none.
func (l *MaxDurations) Max(kind string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.kinds[kind]
	if s == nil {
		return 0, false
	}
	s.rotate(now)
	longest := max(s.current, s.previous)
	return longest, longest > 0
}
