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
	// began is when a time was first set. Streams that began before may last for earlier.
	began   time.Time
	earlier time.Duration
}

// set sets the time and returns the one in effect before. A shorter one takes effect after the current
// one has passed.
func (l *lifetime) set(d time.Duration, now time.Time) (before time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before = l.inEffect()
	l.begin(now)
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

// setEarlier sets for how long streams that began before the first call of set may last.
func (l *lifetime) setEarlier(d time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(now)
	l.earlier = max(l.earlier, d)
}

// begin notes that streams that begin from now on are of this process's time. l.mu must be held.
func (l *lifetime) begin(now time.Time) {
	if l.began.IsZero() {
		l.began = now
	}
}

func (l *lifetime) get(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if current := l.inEffect(); current > l.earlier || now.Sub(l.began) > l.earlier {
		return current
	}
	return l.earlier
}

// inEffect returns the time in effect for streams of this process's time. l.mu must be held.
func (l *lifetime) inEffect() time.Duration {
	if l.current == 0 {
		return l.assumed
	}
	return l.current
}
