package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/records"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// ErrNotRefreshed means that the list of replicas could not be read.
var ErrNotRefreshed = errors.New("watch: list of replicas not refreshed")

// ListAge returns the age of the list of replicas.
func (w *Watcher) ListAge(now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.directory.ReadTime())
}

// Unconfirmed returns how long a replica has been missing from a list that may be
// incomplete, or false if it is listed or removed.
func (w *Watcher) Unconfirmed(id string, now time.Time) (age time.Duration, unconfirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	since := w.directory.UnconfirmedSince(id)
	return now.Sub(since), !since.IsZero()
}

// Statements returns what replicas said about themselves.
func (w *Watcher) Statements() *directory.Statements { return w.directory.Statements() }

// MarkDraining records that a replica closed its connection, as a replica that shuts down
// does.
func (w *Watcher) MarkDraining(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handleChanges(w.directory.RemoveUnconfirmed(id))
}

// RefreshList returns once the list of replicas is newer than since, or with an error
// when ctx ends or the source does not answer. All callers share one read of only the
// replicas and evacuations, because a large configuration takes longer over a slow link
// than a request can wait.
func (w *Watcher) RefreshList(ctx context.Context, since time.Time) error {
	wait := max(w.turns.Wait(w.place(), steady.Now()), w.untilFirstRead(steady.Now()))
	w.mu.Lock()
	if w.directory.ReadTime().After(since) {
		w.mu.Unlock()
		return nil
	}
	if w.refreshing == nil {
		if wait > 0 {
			// While the source is down, requests must not each wait for it, nor for a list
			// that others are to pass on.
			w.mu.Unlock()
			return ErrNotRefreshed
		}
		w.refreshing = make(chan struct{})
		go w.refreshList()
	}
	renewing := w.refreshing
	began := w.outage.pendingSince[listRead]
	w.mu.Unlock()
	if !began.IsZero() && steady.Since(began) >= unansweredAfter {
		// Earlier callers have waited for this read in vain.
		return ErrNotRefreshed
	}
	select {
	case <-renewing:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotRefreshed, ctx.Err())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.directory.ReadTime().After(since) {
		return nil
	}
	return ErrNotRefreshed
}

// refreshList reads the list once.
func (w *Watcher) refreshList() {
	ctx, cancel := context.WithTimeout(context.Background(), w.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	w.noteReadStart(listRead, sent)
	snapshot, err := (*w.source.Load()).Replicas(w.observeAnswer(ctx, listRead))
	w.reads.Add(1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if errors.Is(err, records.ErrLongList) {
		// The source has answered. Run reads the list in turn with other routers.
		w.outage.end(listRead, nil)
	} else {
		w.noteReadEnd(listRead, err, sent)
	}
	if err != nil {
		w.failedReads.Add(1)
	} else if w.acceptGeneration(&snapshot, sent) == nil {
		listing := snapshot.listing()
		listing.Rollouts = w.directory.ListedRollouts()
		w.handleChanges(w.applyRead(listing, snapshot.Revision, sent))
		w.logFirstList(fromStore)
		w.logBadEntries(snapshot.BadReplicas)
		w.notifyOwnRead()
	}
	close(w.refreshing)
	w.refreshing = nil
}
