package follow

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// ErrNotRenewed: the list of replicas could not be read.
var ErrNotRenewed = errors.New("follow: list not renewed")

// ListAge returns how old the list of replicas is.
func (f *Follower) ListAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.directory.Read())
}

// Doubt returns for how long a replica has been missing from the list that keeps its work
// since the list may have been lost; false if it is no such one.
func (f *Follower) Doubt(id string, now time.Time) (age time.Duration, doubted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.directory.DoubtedSince(id)
	return now.Sub(since), !since.IsZero()
}

// Statements returns what replicas said of themselves.
func (f *Follower) Statements() *directory.Statements { return f.directory.Statements() }

// Leaves takes a replica's own sign that it leaves.
func (f *Follower) Leaves(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed(f.directory.Leaves(id))
}

// RenewList returns once the list of replicas is newer than a time, or with an error
// when ctx ends or the source does not answer. All who wait share one read, of the
// replicas and evacuations only: a large configuration takes longer over a narrow link than a request
// can wait.
func (f *Follower) RenewList(ctx context.Context, since time.Time) error {
	wait := f.turns.Wait(f.place(), steady.Now())
	f.mu.Lock()
	if f.directory.Read().After(since) {
		f.mu.Unlock()
		return nil
	}
	if f.renewing == nil {
		if wait > 0 {
			// While the source is down requests are not to wait for it, each for itself.
			f.mu.Unlock()
			return ErrNotRenewed
		}
		f.renewing = make(chan struct{})
		go f.renewList()
	}
	renewing := f.renewing
	began := f.outage.began[listRead]
	f.mu.Unlock()
	if !began.IsZero() && steady.Since(began) >= silentAfter {
		// Those that came before have waited for this read in vain.
		return ErrNotRenewed
	}
	select {
	case <-renewing:
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotRenewed, ctx.Err())
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.directory.Read().After(since) {
		return nil
	}
	return ErrNotRenewed
}

// renewList reads the list once.
func (f *Follower) renewList() {
	ctx, cancel := context.WithTimeout(context.Background(), f.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	f.began(listRead, sent)
	snapshot, err := (*f.source.Load()).Replicas(ctx)
	f.reads.Add(1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended(listRead, err, sent)
	if err != nil {
		f.failed.Add(1)
	} else if f.enter(&snapshot, sent) == nil {
		f.changed(f.directory.Take(snapshot.listing(), sent))
		f.noteBad(snapshot.BadReplicas)
	}
	close(f.renewing)
	f.renewing = nil
}
