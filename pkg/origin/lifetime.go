package origin

import (
	"sync"
	"time"
)

// lifetime is how long a stream may last. It is safe for concurrent use.
type lifetime struct {
	mu sync.Mutex
	// assumed holds until the first call of set.
	assumed time.Duration
	current time.Duration
	// shortened is when a shorter time was first set; zero if none was.
	shortened time.Time
}

// set sets the time and returns the one in effect before. A shorter one takes effect after the current
// one has passed.
func (l *lifetime) set(d time.Duration, now time.Time) (before time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.inEffect()
	switch {
	case d >= l.current:
		l.current, l.shortened = d, time.Time{}
	case l.shortened.IsZero():
		l.shortened = now
	case now.Sub(l.shortened) >= l.current:
		l.current, l.shortened = d, time.Time{}
	}
	return before
}

func (l *lifetime) get() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inEffect()
}

// inEffect returns the time in effect. l.mu must be held.
func (l *lifetime) inEffect() time.Duration {
	if l.current == 0 {
		return l.assumed
	}
	return l.current
}
