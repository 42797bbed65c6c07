package entry

import (
	"fmt"
	"net/http"

	"github.com/croftyard/croftyard/internal/steady"
)

// Ready reports whether the router should get new connections.
func (e *Entry) Ready() bool {
	if e.stopping.Load() || !e.watcher.Initialized() || e.callerListener.starved(steady.Now()) {
		return false
	}
	return e.proofFresh()
}

// proofFresh reports whether the proof of the configuration is new enough for keys.
func (e *Entry) proofFresh() bool {
	return e.watcher.Staleness(steady.Now()) < keyProof(*e.bounds.Load())
}

func (e *Entry) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !e.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}
