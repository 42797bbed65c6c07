package watch

import (
	"context"
	"errors"
	"time"
)

// Routers that start together fetch a long list from the few that read it: if each read all of
// it, they would share the source's link, calls would time out, and reads would begin again with
// the first page.
//
//	the head is all there is   -> it is applied, as any read
//	the list is long, or its
//	head is late               -> seeds read it; the others fetch it by gossip, and those that
//	                              still lack it at their turn read it

// headTimeout bounds reading the head. While many routers start it is late, and takes up the
// link that those which read the list need.
const headTimeout = 300 * time.Millisecond

// errHeadLate means that the head of the list did not come in time.
var errHeadLate = errors.New("watch: head of the list late")

// readNext reads the source, or only the head of a list that this router lacks. complete is set
// if the snapshot is that of a whole read.
func (w *Watcher) readNext(ctx context.Context) (snapshot Snapshot, complete bool, err error) {
	source := *w.source.Load()
	head, is := source.(HeadReader)
	if !is || !w.readsHead() {
		snapshot, err = source.Read(ctx)
		return snapshot, true, err
	}
	limited, cancel := context.WithTimeoutCause(ctx, headTimeout, errHeadLate)
	defer cancel()
	snapshot, complete, err = head.ReadHead(limited)
	if err != nil && errors.Is(context.Cause(limited), errHeadLate) {
		err = errHeadLate
	}
	return snapshot, complete, err
}

// readsHead reports whether the next read is of the head only.
func (w *Watcher) readsHead() bool {
	if o := w.options.Load(); o.ReadsFirst || o.Place == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.directory.ReadTime().IsZero() && w.longSince.IsZero()
}

// applyHead applies the head of a long list that was read at the given time.
func (w *Watcher) applyHead(s Snapshot, sent time.Time) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.acceptGeneration(&s, sent); err != nil {
		return err
	}
	w.applyConfig(s, sent)
	w.longSince = sent
	w.notifyRead()
	return nil
}

// leaveToOthers records that the head of the list, requested at the given time, is late. That
// is no failure of the source.
func (w *Watcher) leaveToOthers(sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage.end(fullRead, nil)
	w.longSince = sent
}

// untilFirstRead returns how long this router waits for others to pass on a long list that it
// lacks.
func (w *Watcher) untilFirstRead(now time.Time) time.Duration {
	w.mu.Lock()
	since, listed := w.longSince, !w.directory.ReadTime().IsZero()
	w.mu.Unlock()
	if listed || since.IsZero() {
		return 0
	}
	return w.turns.FirstRead(w.place(), since, now)
}

// ObservePeerAnswer records that another router answered a query sent at the time asked,
// whatever it knows.
func (w *Watcher) ObservePeerAnswer(asked time.Time) { w.turns.ObservePeerAnswer(asked) }
