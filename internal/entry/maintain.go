package entry

import (
	"context"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
)

// maintain logs changes of readiness and of the proof's freshness, and closes connections
// that were idle too long.
func (e *Entry) maintain(ctx context.Context) {
	const pause = 500 * time.Millisecond
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	ready, proven := false, true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := e.Ready(); now != ready {
			ready = now
			e.log.Write(event.Ready, event.F("ready", ready), event.F("proof_ms", e.watcher.Staleness(steady.Now()).Milliseconds()))
		}
		if now := e.proofFresh(); now != proven && e.watcher.Initialized() {
			proven = now
			id := event.ProofOld
			if proven {
				id = event.ProofNew
			}
			e.log.Write(id, event.F("proof_ms", e.watcher.Staleness(steady.Now()).Milliseconds()))
		}
		e.front.ObserveVersions()
		e.pool.CloseExpired()
		e.relayPool.CloseExpired()
	}
}
