package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/croftyard/croftyard/internal/conns"
	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front"
	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/internal/upstream"
)

// relayIdleTime is how long a connection to another router stays idle before it is closed:
// longer than most pauses while requests are relayed.
const relayIdleTime = 10 * time.Second

// connectRelays connects the front to the other routers that take its requests.
func (e *Entry) connectRelays(o *front.Options) {
	silence := e.settings.Routes.Silence
	e.relayPool = upstream.New(upstream.Options{
		IDHeader:       e.env.Dialect.AttemptID,
		DialTimeout:    e.settings.Routes.Dial,
		SilenceTimeout: silence,
		// The other router adds headers of its own to those of a replica.
		MaxHead:  2 * e.settings.Limits.Header,
		IdleTime: relayIdleTime,
		Dial:     peer.DialRelay(upstream.SystemDial(silence, "")),
	})
	o.Relays, o.RelayPool = e.gossip.Routers, e.relayPool
}

// buildRelayed builds the server of requests that other routers relay to this one.
func (e *Entry) buildRelayed() {
	e.relayedConns = conns.NewSet()
	e.relayed = &http.Server{
		Handler:        http.HandlerFunc(e.front.ServeRelayed),
		ConnState:      e.relayedConns.ConnState,
		ConnContext:    conns.Context,
		MaxHeaderBytes: e.settings.Limits.Header,
		ErrorLog:       e.log.Faults(event.HandlerFailed),
	}
}

// serveRelayed returns no error when the listener of the routers is closed.
func (e *Entry) serveRelayed() error {
	err := serve(e.relayed, e.relayedConns.Listener(e.gossip.Relayed()))
	if errors.Is(err, net.ErrClosed) || errors.Is(err, peer.ErrClosed) {
		return nil
	}
	return err
}

// pathProbePause is the pause between two probes of a service that this router lost the
// path to. A connection that does not open is given up after 0.3 s by default.
const pathProbePause = 250 * time.Millisecond

// probeLostPaths notices when replicas are within reach again.
func (e *Entry) probeLostPaths(ctx context.Context) {
	ticker := time.NewTicker(pathProbePause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.front.ProbeLostPaths()
		}
	}
}
