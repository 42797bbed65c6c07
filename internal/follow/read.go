package follow

import (
	"context"
	"fmt"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/turns"
)

// Run reads until ctx ends: as soon as the newest proof, own or told, is older
// than readAfter, or sooner for who wants to know more; in turns while the source
// answers nobody.
func (f *Follower) Run(ctx context.Context) {
	timer := time.NewTimer(f.options.Load().FirstRead)
	defer timer.Stop()
	for {
		woken := false
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-f.wake:
			woken = true
		}
		rest := f.turns.Wait(f.place(), steady.Now())
		if !woken {
			rest = max(rest, f.readAfter()-f.Age(steady.Now()))
		}
		if rest <= 0 {
			// How it ended is noted; the rest follows from that.
			_ = f.readOnce(ctx)
			rest = f.readAfter()
			if wait := f.turns.Wait(f.place(), steady.Now()); wait > 0 {
				rest = wait
			}
		}
		// Who was heard until now may be heard no more.
		timer.Reset(min(rest, f.options.Load().Period))
	}
}

// ReadSoon has the source read at once, unless it is known to answer nobody.
func (f *Follower) ReadSoon() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// place is this router's among those that read for each other. Who tells asks what is known
// under its own lock, so f.mu is not held here.
func (f *Follower) place() turns.Place {
	if place := f.options.Load().Place; place != nil {
		return place()
	}
	return turns.Place{Routers: 1}
}

// readAfter is how old the proof may get before this router reads.
func (f *Follower) readAfter() time.Duration {
	return f.turns.ReadAfter(f.place(), steady.Now())
}

func (f *Follower) readOnce(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.options.Load().Timeout)
	defer cancel()
	sent := steady.Now()
	f.began(wholeRead, sent)
	snapshot, err := (*f.source.Load()).Read(ctx)
	f.reads.Add(1)
	if err != nil {
		f.failed.Add(1)
	}
	f.noteSource(err, sent)
	if err != nil {
		return err
	}
	return f.Take(snapshot, sent)
}

// began notes that a read was sent.
func (f *Follower) began(kind readKind, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage.begin(kind, sent)
}

// noteSource writes when the source was lost and regained.
func (f *Follower) noteSource(err error, sent time.Time) {
	f.mu.Lock()
	was := f.lost
	f.lost = err != nil
	f.ended(wholeRead, err, sent)
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.log.Write(event.PlatformDown, event.F("error", err), event.F("proof_ms", f.ProofAge(sent).Milliseconds()))
	case err == nil && was:
		f.log.Write(event.PlatformBack, event.F("proof_ms", f.ProofAge(sent).Milliseconds()))
	}
}

// Prove asks for a proof of the configuration that is newer than a time and returns
// once there is one, or with an error when ctx ends, or at once if a read would prove
// nothing now.
func (f *Follower) Prove(ctx context.Context, since time.Time) error {
	for {
		if f.holder.Doubted(steady.Now()) && f.holder.Current().Proven.Before(since) {
			return ErrDoubted
		}
		f.mu.Lock()
		read := f.read
		f.mu.Unlock()
		if !f.holder.Current().Proven.Before(since) {
			return nil
		}
		f.ReadSoon()
		select {
		case <-read:
		case <-ctx.Done():
			return fmt.Errorf("follow: no proof: %w", ctx.Err())
		}
	}
}
