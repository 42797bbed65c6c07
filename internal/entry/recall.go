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
	// peerWait is how long a router that starts waits to meet another one: a
	// first packet that is lost is sent again after a second.
	peerWait = 1500 * time.Millisecond
	// recallWait is how long it then waits for one that remembers, and for all
	// to know of each other.
	recallWait = 350 * time.Millisecond
	// heldTimeout bounds one question to an engine.
	heldTimeout = time.Second
)

// recall learns who holds which parts of prompts after a start. A peer that has
// run for longer knows; when all routers started anew, the engines are asked,
// each by one router, which tells the others.
func (e *Entry) recall(ctx context.Context) {
	if e.settings.Routes.FirstStart || e.outside.HeldParts == nil || e.settings.Without.Has(mechanism.Recall) {
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
	for _, r := range e.watcher.Replicas() {
		service := table.Service(r.Service)
		if service == nil || service.Engine == nil {
			continue
		}
		if _, excluded := e.front.Exclusion(r.ID, steady.Now()); !excluded && e.gossip.OwnsTask(r.ID) {
			go e.askHeld(ctx, r)
		}
	}
}

func (e *Entry) askHeld(ctx context.Context, r directory.Replica) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout)
	defer cancel()
	sent := steady.Now()
	parts, err := e.outside.HeldParts(ctx, r.Address, func(answer *http.Response) { e.front.RecordRest(r.ID, sent, answer) })
	e.log.Write(event.EngineAsked, event.F("replica", r.ID), event.F("parts", len(parts)), event.F("error", err))
	e.balancer.PartsReported(r.ID, parts, steady.Now())
}

// waitUntil waits for a condition and tells whether it came before ctx ended.
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
