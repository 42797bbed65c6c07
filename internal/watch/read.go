package watch

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/turns"
)

// Run reads until ctx ends: as soon as the newest proof, own or of a peer, is older than
// readAfter, or sooner on request; in turns while the source answers nobody.
func (w *Watcher) Run(ctx context.Context) {
	timer := time.NewTimer(w.options.Load().FirstRead)
	defer timer.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-w.wake:
			woken = true
		}
		rest := w.turns.Wait(w.place(), steady.Now())
		if !woken {
			rest = max(rest, w.readAfter()-w.Age(steady.Now()))
		}
		if rest <= 0 {
			// How it ended is noted; the rest follows from that.
			_ = w.readOnce(ctx)
			rest = w.readAfter()
			if wait := w.turns.Wait(w.place(), steady.Now()); wait > 0 {
				rest = wait
			}
		}
		// Who was heard until now may be heard no more.
		timer.Reset(min(rest, w.options.Load().Period))
	}
}

// TriggerRead has the source read at once, unless it is known to answer nobody.
func (w *Watcher) TriggerRead() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// place is this router's among those that read for each other. Who tells asks what is known
// under its own lock, so w.mu is not held here.
func (w *Watcher) place() turns.Place {
	if place := w.options.Load().Place; place != nil {
		return place()
	}
	return turns.Place{Routers: 1}
}

// readAfter is how old the proof may get before this router reads.
func (w *Watcher) readAfter() time.Duration {
	return w.turns.ReadAfter(w.place(), steady.Now())
}

func (w *Watcher) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	w.began(wholeRead, sent)
	snapshot, err := (*w.source.Load()).Read(ctx)
	w.reads.Add(1)
	if err != nil {
		w.failed.Add(1)
	}
	w.noteSource(err, sent)
	if err != nil {
		return err
	}
	return w.ApplySnapshot(snapshot, sent)
}

// began notes that a read was sent.
func (w *Watcher) began(kind readKind, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage.begin(kind, sent)
}

// noteSource logs when the source stopped answering and when it answers again.
func (w *Watcher) noteSource(err error, sent time.Time) {
	w.mu.Lock()
	was := w.lost
	w.lost = err != nil
	w.ended(wholeRead, err, sent)
	w.mu.Unlock()
	switch {
	case err != nil && !was:
		w.log.Write(event.PlatformDown, event.F("error", err), event.F("proof_ms", w.Staleness(sent).Milliseconds()))
	case err == nil && was:
		w.log.Write(event.PlatformBack, event.F("proof_ms", w.Staleness(sent).Milliseconds()))
	}
}

// WaitFresh returns once the configuration is proven newer than a time, or with an error
// when ctx ends, or at once if a read would prove nothing now.
func (w *Watcher) WaitFresh(ctx context.Context, since time.Time) error {
	for {
		if w.holder.DistrustsRead(steady.Now()) && w.holder.Current().ProvenAt.Before(since) {
			return ErrUnproven
		}
		w.mu.Lock()
		read := w.read
		w.mu.Unlock()
		if !w.holder.Current().ProvenAt.Before(since) {
			return nil
		}
		w.TriggerRead()
		select {
		case <-read:
		case <-ctx.Done():
			return fmt.Errorf("follow: no proof: %w", ctx.Err())
		}
	}
}
