package watch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/turns"
)

// Run reads until ctx ends: when the newest proof, this router's or a peer's, is older
// than readAfter, or sooner on request. While the source answers no router, routers take
// turns.
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
		rest := max(w.turns.Wait(w.place(), steady.Now()), w.untilFirstRead(steady.Now()))
		if !woken {
			rest = max(rest, w.readAfter()-w.Age(steady.Now()))
		}
		if rest <= 0 {
			// readOnce records its result, from which the next wait follows.
			_ = w.readOnce(ctx)
			rest = w.readAfter()
			if wait := max(w.turns.Wait(w.place(), steady.Now()), w.untilFirstRead(steady.Now())); wait > 0 {
				rest = wait
			}
		}
		// Peers that were heard until now may fall silent.
		timer.Reset(min(rest, w.options.Load().Period))
	}
}

// TriggerRead makes Run read the source at once, unless the source is known to answer no
// router.
func (w *Watcher) TriggerRead() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// place returns this router's place among the routers that read for each other. w.mu must
// not be held, because Options.Place takes a lock that is also held during calls of the
// Watcher.
func (w *Watcher) place() turns.Place {
	if place := w.options.Load().Place; place != nil {
		return place()
	}
	return turns.Place{Routers: 1}
}

// readAfter returns how old the proof may become before this router reads.
func (w *Watcher) readAfter() time.Duration {
	return w.turns.ReadAfter(w.place(), steady.Now())
}

func (w *Watcher) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, w.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	w.noteReadStart(fullRead, sent)
	snapshot, complete, err := w.readNext(w.observeAnswer(ctx, fullRead))
	if errors.Is(err, errHeadLate) {
		w.leaveToOthers(sent)
		return err
	}
	w.reads.Add(1)
	if err != nil {
		w.failedReads.Add(1)
	}
	w.logSourceState(err, sent)
	if err != nil {
		return err
	}
	if !complete {
		return w.applyHead(snapshot, sent)
	}
	err = w.ApplySnapshot(snapshot, sent)
	if err == nil {
		w.notifyOwnRead()
	}
	return err
}

// noteReadStart records that a read was sent.
func (w *Watcher) noteReadStart(kind readKind, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outage.begin(kind, sent)
}

// logSourceState logs when the source stops answering and when it answers again.
func (w *Watcher) logSourceState(err error, sent time.Time) {
	w.mu.Lock()
	was := w.sourceDown
	w.sourceDown = err != nil
	w.noteReadEnd(fullRead, err, sent)
	w.mu.Unlock()
	switch {
	case err != nil && !was:
		w.log.Write(event.PlatformDown, event.F("error", err), event.F("proof_ms", w.Staleness(sent).Milliseconds()))
	case err == nil && was:
		w.log.Write(event.PlatformBack, event.F("proof_ms", w.Staleness(sent).Milliseconds()))
	}
}

// WaitFresh returns once the configuration is proven as of since or later, with an error
// when ctx ends, or at once with ErrUnproven if a read would prove nothing now.
func (w *Watcher) WaitFresh(ctx context.Context, since time.Time) error {
	for {
		if w.holder.DistrustsRead(steady.Now()) && w.holder.Current().ProvenAt.Before(since) {
			return ErrUnproven
		}
		w.mu.Lock()
		read := w.readDone
		w.mu.Unlock()
		if !w.holder.Current().ProvenAt.Before(since) {
			return nil
		}
		w.TriggerRead()
		select {
		case <-read:
		case <-ctx.Done():
			return fmt.Errorf("watch: configuration not proven in time: %w", ctx.Err())
		}
	}
}
