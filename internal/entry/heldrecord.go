package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/poison"
)

const (
	// heldPeriod is the pause between two looks whether the record of what is held is up to date.
	heldPeriod = 500 * time.Millisecond
	// heldReads bounds the tries to read the record after a start, each once the store was read.
	heldReads = 5
)

// heldRecord keeps a record in the store of the requests and parts that are held, so that they are after
// all routers ended.
type heldRecord struct {
	keeper poison.Keeper
	store  atomic.Pointer[poison.Store]
	// restores is the number of restores of the store from a copy, as of the last check.
	restores uint64
}

// keepHeld restores what was held before the start, and keeps the record up to date until ctx ends.
func (e *Entry) keepHeld(ctx context.Context) {
	if e.env.HeldStore == nil {
		return
	}
	met := time.After(peerWait + recallWait)
	restored := e.settings.Routes.FirstStart || !e.marksCrashes()
	if !restored {
		e.held.keeper.Started()
		// Requests come as soon as there is a list of replicas, which is read at the same time.
		restored = e.readHeld(ctx, true) == nil
	}
	if !restored && e.waitUntil(ctx, e.watcher.Initialized) {
		// The store may be back.
		restored = e.readHeld(ctx, true) == nil
	}
	ticker := time.NewTicker(heldPeriod)
	defer ticker.Stop()
	for tries := 1; ; {
		select {
		case <-ctx.Done():
			return
		case <-met:
			// Until routers know each other, each is the first by rank.
			met = nil
		case <-ticker.C:
		}
		if e.stopping.Load() || !e.watcher.Initialized() || !e.proofFresh() {
			// Another router writes what this one, cut off or stopping, can't.
			continue
		}
		if !restored && tries < heldReads {
			tries++
			restored = e.readHeld(ctx, true) == nil
		}
		if met == nil {
			e.recheckHeld(ctx)
			e.advanceHeld(ctx)
		}
	}
}

// recheckHeld reads the record again, or asks others for its revision, if the read at the start may have
// lacked the last write.
func (e *Entry) recheckHeld(ctx context.Context) {
	switch e.held.keeper.NextRecheck(e.gossip.HeldRank(), steady.Now()) {
	case poison.ReadRecordStep:
		_ = e.readHeld(ctx, false) // Logged; the keeper tries again.
	case poison.ReadStaleStep:
		_ = e.readHeld(ctx, true)
	case poison.AskStep:
		e.gossip.AskHeldRevision()
	}
}

// advanceHeld reads or writes the record if that is due.
func (e *Entry) advanceHeld(ctx context.Context) {
	if restores := e.watcher.Restores(); restores != e.held.restores {
		e.held.restores = restores
		e.held.keeper.Distrust()
	}
	// A read may call for a write.
	for range 2 {
		now := steady.Now()
		record := e.heldNow(now)
		switch e.held.keeper.Next(record, e.gossip.HeldRank(), now) {
		case poison.ReadRecordStep:
			if e.readHeld(ctx, false) != nil {
				return
			}
		case poison.WriteRecordStep:
			e.writeHeld(ctx, record)
			return
		default:
			return
		}
	}
}

// heldNow returns what is held now, and which services are brittle.
func (e *Entry) heldNow(now time.Time) poison.Record {
	record := poison.Record{Requests: e.poison.Held(poison.MaxHeldRequests, now), Parts: e.parts.Held(poison.MaxHeldParts, now)}
	if !e.marksCrashes() {
		// No router would read it at its start.
		return record
	}
	recent := e.balancer.RecentlyBrittle(now)
	var services []poison.BrittleService
	for _, s := range recent.Services {
		services = append(services, poison.BrittleService{Service: s.Service, Rejections: s.Rejections})
	}
	record.Brittle = poison.NewBrittle(services, recent.Routers)
	return record
}

// marksCrashes reports whether requests or parts that crash replicas are held at all.
func (e *Entry) marksCrashes() bool {
	return e.settings.Routes.Crashes+e.settings.Routes.PartCrashes > 0
}

// recallBrittle takes what the record states of brittle services.
func (e *Entry) recallBrittle(stated poison.Brittle, now time.Time) {
	recent := balance.RecentBrittle{Routers: stated.Routers}
	for _, s := range stated.Services {
		recent.Services = append(recent.Services, balance.BrittleService{Service: s.Service, Rejections: s.Rejections})
	}
	e.balancer.RecallBrittle(recent, now)
}

// readHeld reads the record and holds what it states. One that is not usable counts as empty.
func (e *Entry) readHeld(ctx context.Context, stale bool) error {
	record, err := (*e.held.store.Load()).ReadHeld(ctx, stale)
	now := steady.Now()
	requests, parts := e.poison.Restore(record.Requests, now), e.parts.Restore(record.Parts, now)
	e.recallBrittle(record.Brittle, now)
	e.log.Write(event.HeldRead, event.F("requests", len(record.Requests)), event.F("parts", len(record.Parts)), event.F("brittle", len(record.Brittle.Services)),
		event.F("restored", requests+parts), event.F("revision", record.Revision), event.F("error", err))
	if err != nil && !errors.Is(err, poison.ErrRecord) {
		e.held.keeper.Failed(now)
		return err
	}
	if stale {
		e.held.keeper.LoadedStale(record, now)
	} else {
		e.held.keeper.Loaded(record, now)
	}
	return nil
}

func (e *Entry) writeHeld(ctx context.Context, record poison.Record) {
	record.Revision = e.held.keeper.Revision()
	revision, err := (*e.held.store.Load()).WriteHeld(ctx, record)
	e.log.Write(event.HeldWritten, event.F("requests", len(record.Requests)), event.F("parts", len(record.Parts)), event.F("brittle", len(record.Brittle.Services)),
		event.F("revision", revision), event.F("error", err))
	if err != nil {
		e.held.keeper.Failed(steady.Now())
		return
	}
	record.Revision = revision
	e.held.keeper.Written(record, steady.Now())
}

// setHeldStore sets the client that reads and writes the record.
func (e *Entry) setHeldStore(s settings.Settings) {
	if e.env.HeldStore == nil {
		return
	}
	store := e.env.HeldStore(s, readPeriod(s.Bounds))
	e.held.store.Store(&store)
}
