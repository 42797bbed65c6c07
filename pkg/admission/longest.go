package admission

import (
	"sync"
	"time"
)

// MaxDurations keeps how long requests of each kind took at most lately, so that one
// that can't end in the time left isn't begun. It is safe for concurrent use.
type MaxDurations struct {
	mu    sync.Mutex
	kinds map[string]*spans
}

// spans are the longest times of this span and of the one before.
type spans struct {
	began     time.Time
	now, last time.Duration
}

// longestSpan is the length of a span: a kind that is asked for a few times a second
// shows its long ones in it, and one that became quick is believed after two.
const longestSpan = 10 * time.Second

// NewMaxDurations returns an empty Longest.
func NewMaxDurations() *MaxDurations {
	return &MaxDurations{kinds: make(map[string]*spans)}
}

// Record notes that a request ended well.
func (l *MaxDurations) Record(kind string, took time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.kinds[kind]
	if s == nil {
		s = &spans{began: now}
		l.kinds[kind] = s
	}
	s.turn(now)
	s.now = max(s.now, took)
}

// turn begins a new span if the current one is over.
func (s *spans) turn(now time.Time) {
	switch past := now.Sub(s.began); {
	case past < longestSpan:
		return
	case past < 2*longestSpan:
		s.last = s.now
	default:
		s.last = 0
	}
	s.began, s.now = now, 0
}

// Max returns the longest time of a kind, or false if none ended lately.
func (l *MaxDurations) Max(kind string, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.kinds[kind]
	if s == nil {
		return 0, false
	}
	s.turn(now)
	longest := max(s.now, s.last)
	return longest, longest > 0
}
