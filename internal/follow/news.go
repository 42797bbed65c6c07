package follow

import "time"

// tellNews wakes who waits for a change. f.mu is held.
func (f *Follower) tellNews() {
	close(f.news)
	f.news = make(chan struct{})
}

// News returns a channel that is closed with the next change of the configuration or
// of the list of replicas, and whether one may come at any moment: there is no list
// yet, or one is being read since that at hand is old.
func (f *Follower) News() (next <-chan struct{}, expected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.news, f.directory.Read().IsZero() || f.renewing != nil
}

// NextRead returns how long it is until this router would read the source itself.
func (f *Follower) NextRead(now time.Time) time.Duration {
	return max(f.readAfter()-f.Age(now), 0)
}
