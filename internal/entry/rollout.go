package entry

import (
	"context"
	"errors"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/rollout"
)

const (
	// rolloutPeriod is the pause between two judgements of the roll-outs in progress, and
	// idleRolloutPeriod the pause between two looks whether there are any.
	rolloutPeriod     = 250 * time.Millisecond
	idleRolloutPeriod = time.Second
)

// runRollouts judges the roll-outs in progress and writes their status until ctx ends.
func (e *Entry) runRollouts(ctx context.Context) {
	timer := time.NewTimer(idleRolloutPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if len(e.balancer.Rollouts().Services()) == 0 {
			timer.Reset(idleRolloutPeriod)
			continue
		}
		e.advanceRollouts(ctx)
		timer.Reset(rolloutPeriod)
	}
}

func (e *Entry) advanceRollouts(ctx context.Context) {
	controller := e.balancer.Rollouts()
	controller.Advance(steady.Now())
	for _, t := range controller.Transitions() {
		e.log.Write(event.RolloutPhase, event.F("service", t.Service), event.F("version", t.Version), event.F("phase", string(t.Phase)), event.F("reason", t.Reason))
	}
	writer := e.statusWriter.Load()
	if writer == nil || e.stopping.Load() || !e.proofFresh() {
		// Another router writes what this one, cut off or stopping, can't.
		return
	}
	for _, w := range controller.Pending(steady.Now(), func(service string) int { return e.gossip.TaskRank("rollout " + service) }) {
		e.writeRollout(ctx, *writer, w)
	}
}

func (e *Entry) writeRollout(ctx context.Context, writer rollout.Writer, w rollout.Write) {
	revision, err := writer.WriteStatus(ctx, w)
	e.log.Write(event.RolloutWritten, event.F("service", w.Service), event.F("version", w.Version), event.F("state", string(w.State)), event.F("revision", revision), event.F("error", err))
	if err == nil {
		e.balancer.Rollouts().Written(w, revision)
	}
	if err == nil || errors.Is(err, rollout.ErrConflict) {
		e.watcher.TriggerRead()
	}
}

// setStatusWriter sets the client that writes the status of roll-outs.
func (e *Entry) setStatusWriter(s settings.Settings) {
	if e.env.StatusWriter == nil {
		return
	}
	writer := e.env.StatusWriter(s, readPeriod(s.Bounds))
	e.statusWriter.Store(&writer)
}
