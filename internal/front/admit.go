package front

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"github.com/croftyard/croftyard/pkg/freshness"
)

// refusal is an answer of the router's own.
type refusal struct {
	status int
	reason string
	// retryAfter tells when to come back; zero: not at all.
	retryAfter time.Duration
	// closes the connection with the answer.
	closes bool
}

// Times after which a refused caller is told to come back.
const (
	// retryElsewhere is for what another router can serve at once.
	retryElsewhere = 50 * time.Millisecond
	// retryLater is for what no router can serve now.
	retryLater = 500 * time.Millisecond
)

// startWait bounds the wait for the first configuration: a fifth of the users'
// usual target.
const startWait = 60 * time.Millisecond

// proofWait bounds the wait for a proof that is new enough to say no by.
const proofWait = 400 * time.Millisecond

func unproven(reason string) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryElsewhere, closes: true}
}

// startTime is how long a start takes until there is a configuration, when all routers
// start: with 2,185 routes over 10 Mbit/s it took 0.56 to 0.70 s.
const startTime = 650 * time.Millisecond

// notYet refuses a request that comes before there is a configuration. The caller is
// told to come back when the start is over: many come back once only.
func (f *Front) notYet(now time.Time) *refusal {
	r := unproven("no configuration yet")
	r.retryAfter = max(startTime-now.Sub(f.started), retryElsewhere)
	return r
}

// firstState returns the state by which a request is served. One that comes right
// after the start waits a moment for the first configuration: a small one is there
// after some 15 ms.
func (f *Front) firstState(ctx context.Context) *freshness.State {
	state := f.holder.Current()
	if state.Table != nil || f.follower.Lost() {
		return state
	}
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	// Without a proof in time the state is as it was.
	_ = f.follower.Prove(ctx, f.started)
	return f.holder.Current()
}

// admit finds the route and the organisation of the request in the newest
// configuration, or says why there are none. What is not found is looked for
// again once the configuration is proven to be new.
func (c *call) admit(ctx context.Context) *refusal {
	state := c.front.firstState(ctx)
	if state.Table == nil {
		return c.front.notYet(time.Now())
	}
	if limit := state.Table.Limits().HeaderBytes; limit > 0 && headerBytes(c.request) > limit {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large", closes: true}
	}
	refused := c.resolve(state)
	if refused == nil {
		return c.checkProof(ctx, state)
	}
	if state.Age(time.Now()) < c.front.limits.Load().AbsenceProof {
		return refused
	}
	if !c.front.prove(ctx, c.arrival) {
		return unproven("cannot tell: " + refused.reason)
	}
	return c.resolve(c.front.holder.Current())
}

// headerBytes returns the size of a request's head as it is sent.
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

// checkProof refuses a request with a key whose revocation might be unknown.
func (c *call) checkProof(ctx context.Context, state *freshness.State) *refusal {
	if c.organisation == nil || state.Age(time.Now()) < c.front.limits.Load().KeyProof {
		return nil
	}
	// Any proof that is young enough will do; one that is asked for now is.
	if !c.front.prove(ctx, time.Now().Add(-c.front.limits.Load().AbsenceProof)) {
		return unproven("proof too old for keys")
	}
	return c.resolve(c.front.holder.Current())
}

// prove waits for a proof that is newer than a time. While the source is known
// to be lost there is none to wait for.
func (f *Front) prove(ctx context.Context, since time.Time) bool {
	if f.follower.Lost() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, proofWait)
	defer cancel()
	return f.follower.Prove(ctx, since) == nil
}

// resolve looks the request up in one state.
func (c *call) resolve(state *freshness.State) *refusal {
	c.version = state.Table.Version()
	path := c.request.URL.EscapedPath()
	if u, err := url.ParseRequestURI(c.request.RequestURI); err == nil {
		path = u.EscapedPath()
	}
	found := state.Table.Match(c.request.Host, path)
	if found == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	c.route = found
	c.service = state.Table.Service(found.Service(c.draw))
	if c.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "service not configured", retryAfter: retryLater}
	}
	c.organisation = nil
	if state.Table.Keyed() && !found.Public {
		c.organisation = state.Table.Organisation(c.key())
		if c.organisation == nil {
			return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
		}
	}
	c.setEnd()
	return nil
}
