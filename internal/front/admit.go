package front

import (
	"context"
	"net/http"
	"net/url"

	"github.com/cespare/xxhash/v2"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/freshness"
)

// admit looks up the request's route and organisation in the newest configuration and
// returns a refusal if either is missing. A failed lookup is repeated once the
// configuration is confirmed to be current.
func (c *call) admit(ctx context.Context) *refusal {
	state := c.initialState(ctx)
	if state.Table == nil {
		return c.front.refuseUnconfigured(steady.Now())
	}
	if limit := state.Table.Limits().HeaderBytes; limit > 0 && headerBytes(c.request) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", closes: true}
	}
	refused := c.resolve(state)
	if refused == nil {
		return c.checkProof(ctx, state)
	}
	if state.ProofAge(steady.Now()) < c.front.limits.Load().MaxAbsenceProofAge {
		return refused
	}
	if !c.waitFresh(ctx, c.arrival) {
		return refuseStale("cannot tell: " + refused.reason)
	}
	return c.resolve(c.front.holder.Current())
}

// headerBytes returns the size of the request line and header fields on the wire.
func headerBytes(r *http.Request) int {
	const line, field = len("  HTTP/1.1\r\n"), len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + line + len("Host") + len(r.Host) + field
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + field
		}
	}
	return size
}

// checkProof refuses a request whose key may have been revoked since the configuration was
// last confirmed.
func (c *call) checkProof(ctx context.Context, state *freshness.State) *refusal {
	if c.organisation == nil || state.ProofAge(steady.Now()) < c.front.limits.Load().MaxKeyProofAge {
		return nil
	}
	// Any recent enough confirmation will do; one requested now always is.
	if !c.waitFresh(ctx, steady.Now().Add(-c.front.limits.Load().MaxAbsenceProofAge)) {
		return refuseStale("proof too old for keys")
	}
	return c.resolve(c.front.holder.Current())
}

// path returns the escaped path of the request as the caller sent it.
func (c *call) path() string {
	if u, err := url.ParseRequestURI(c.request.RequestURI); err == nil {
		return u.EscapedPath()
	}
	return c.request.URL.EscapedPath()
}

// resolve looks up the request's route, service and organisation in state.
func (c *call) resolve(state *freshness.State) *refusal {
	c.version = state.Table.Version()
	found := state.Table.Match(c.request.Host, c.path())
	if found == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	c.route = found
	c.drawByStream()
	c.service = state.Table.Service(found.Service(c.shareDraw))
	if c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "service not configured", retryAfter: c.front.untilNextRead()}
	}
	c.organisation = nil
	if state.Table.Keyed() && !found.Public {
		c.organisation = state.Table.Organisation(c.key())
		if c.organisation == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	c.setDeadline()
	return c.checkRelayed()
}

// drawByStream selects the share of a route by the stream, which therefore goes on at the same
// service when it is taken up.
func (c *call) drawByStream() {
	if id := c.streamID(); c.relay == nil && c.route.Resumable && id != "" {
		const bits = 53
		c.shareDraw = float64(xxhash.Sum64String(id)>>(64-bits)) / (1 << bits)
	}
}
