package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
)

const (
	// peerWait is how long a starting router waits to meet a peer: a lost first packet is
	// sent again after a second.
	peerWait = 1500 * time.Millisecond
	// recallWait is how long it then waits for a peer that knows the holders, and for all
	// routers to know of each other.
	recallWait = 350 * time.Millisecond
	// heldTimeout bounds one query to an engine.
	heldTimeout = time.Second
	// maxRecalls is how many engines are asked at a time: each answer is held as a whole.
	maxRecalls = 16
)

// recall learns after a start who holds which parts of prompts. A peer that has run for
// longer knows; if all routers restarted, each engine is asked by one router, which tells
// the others.
func (e *Entry) recall(ctx context.Context) {
	if e.settings.Routes.FirstStart || e.env.HeldParts == nil || e.settings.Without.Has(mechanism.Recall) {
		e.gossip.SetHoldersKnown()
		return
	}
	if !e.waitUntil(ctx, e.watcher.Initialized) {
		return
	}
	meeting, cancel := context.WithTimeout(ctx, peerWait)
	e.waitUntil(meeting, func() bool { return e.gossip.MemberCount() > 1 })
	cancel()
	select {
	case <-ctx.Done():
		return
	case <-time.After(recallWait):
	}
	if e.gossip.HoldersKnown() {
		return
	}
	e.gossip.SetHoldersKnown()
	table := e.holder.Current().Table
	turns := make(chan struct{}, maxRecalls)
	for _, r := range e.watcher.Replicas() {
		service := table.Service(r.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		if _, excluded := e.front.Exclusion(r.ID, steady.Now()); !excluded && e.gossip.OwnsTask(r.ID) {
			go func() {
				turns <- struct{}{}
				defer func() { <-turns }()
				e.fetchHeldParts(ctx, r)
			}()
		}
	}
}

func (e *Entry) fetchHeldParts(ctx context.Context, r directory.Replica) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	sent := steady.Now()
	parts, err := e.env.HeldParts(ctx, r.Address, func(answer *http.Response) { e.front.RecordRest(r.ID, sent, answer) })
	e.log.Write(event.EngineAsked, event.F("replica", r.ID), event.F("parts", len(parts)), event.F("error", err))
	e.balancer.PartsReported(r.ID, parts, steady.Now())
}

// waitUntil polls a condition and reports whether it held before ctx ended.
func (e *Entry) waitUntil(ctx context.Context, condition func() bool) bool {
	const pause = 20 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}
