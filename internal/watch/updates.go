package watch

import "time"

// notifyUpdate wakes the goroutines that wait for a change. w.mu is held.
func (w *Watcher) notifyUpdate() {
	close(w.updates)
	w.updates = make(chan struct{})
}

// Updates returns a channel that is closed at the next change of the configuration or of
// the list of replicas. expected reports whether a change may come at any moment: there
// is no list yet, or one is being read because the current one is old.
func (w *Watcher) Updates() (next <-chan struct{}, expected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.updates, w.directory.ReadTime().IsZero() || w.refreshing != nil
}

// notifyOwnRead records that this router read the source.
func (w *Watcher) notifyOwnRead() {
	select {
	case w.ownReads <- struct{}{}:
	default:
	}
}

// OwnReads returns a channel that receives a value after each successful read of this
// router, for one receiver.
func (w *Watcher) OwnReads() <-chan struct{} { return w.ownReads }

// NextRead returns how long it is until this router reads the source itself.
func (w *Watcher) NextRead(now time.Time) time.Duration {
	return max(w.readAfter()-w.Age(now), w.untilFirstRead(now), 0)
}
