package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
)

// A request may crash what runs it, and come again at any router under a new id:
//
//	broke ── nothing listens there any more ──> a mark against the request, told to all
//	answered whole ──> no mark is left
//	before it is sent ──> held at marks of so many replicas, refused at once
//
// Without this one body that comes again and again crashes all replicas within seconds, each
// with all that runs there.

// digest returns the digest of the request, the same for each of its tries.
func (c *call) digest() poison.Digest {
	if c.cachedDigest == nil {
		caller := ""
		if c.organisation != nil {
			caller = c.organisation.Name
		}
		digest := poison.NewDigest(caller, c.request.Method, c.request.Host, c.request.RequestURI, c.body)
		c.cachedDigest = &digest
	}
	return *c.cachedDigest
}

// busyAfter is when to come back with a request that runs alone, while it runs: most
// requests that crash their replica do so within some tenths of a second.
const busyAfter = 500 * time.Millisecond

// checkPoison refuses a request that is taken to crash what runs it. It is true to call
// it not run as long as no replica had it in this try.
func (c *call) checkPoison(now time.Time) *refusal {
	memory := c.front.poison
	if !memory.HasMarks() {
		return nil
	}
	v := memory.Check(c.digest(), now)
	switch {
	case c.trial, v.State == poison.Allowed:
		return nil
	case v.State == poison.Held:
		return c.refusePoisoned(v.RetryAfter)
	case c.sent.Load() > 0:
		return c.refusePoisoned(busyAfter)
	case c.exclusive:
		return nil
	case v.State == poison.Trial && !c.front.mine(c.digest()), !memory.BeginRun(c.digest(), v.State, now):
		return c.refusePoisoned(busyAfter)
	}
	c.exclusive, c.trial = true, v.State == poison.Trial
	return nil
}

func (c *call) refusePoisoned(after time.Duration) *refusal {
	c.front.metrics.PoisonRefusals.Inc(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: "crashes what runs it", retryAfter: after}
}

// mine tells whether, of all routers, this one is to try a request that was held.
func (f *Front) mine(d poison.Digest) bool {
	return f.options.OwnsTask == nil || f.options.OwnsTask(d.String())
}

const (
	// probeTimeout bounds the probe whether a replica has ended: a cut link answers nothing.
	probeTimeout = time.Second
	// probeWait is how long a retry waits for it: a round trip, and the observation of a
	// connection that was opened.
	probeWait = 60 * time.Millisecond
)

// noteBroken records that a replica broke the request off, and probes concurrently whether
// its process has ended: a lost answer, a reset and a cut link look alike from here. A
// replica that leaves as planned may end with requests in flight.
func (c *call) noteBroken(choice balance.Choice) {
	f, id, address := c.front, choice.Replica.ID, choice.Replica.Address
	f.reportFailure(c.id, id, balance.Broke)
	if f.leavesAsPlanned(id) {
		return
	}
	broke, digest := steady.Now(), c.digest()
	fields := c.crashFields(choice, broke)
	probed := make(chan struct{})
	c.probed = probed
	go func() {
		defer close(probed)
		b := brokenRequest{digest: digest, at: broke, incarnation: incarnation(choice), fields: fields}
		if b.state = f.processState(id, address); b.state != upstream.Ended {
			f.broken.note(id, b, steady.Now())
			return
		}
		f.noteCrash(id, b, steady.Now())
	}()
}

// leavesAsPlanned tells whether a replica that ends now does so since it leaves, by the
// list or by its own statement.
func (f *Front) leavesAsPlanned(id string) bool {
	x, excluded := f.Exclusion(id, steady.Now())
	return excluded && x.Reason != directory.RestRequested && x.Reason != directory.NotListedRecently
}

// noteAbandoned records that the request was taken from a silent replica, which may go on
// working on it: if it restarts or disappears soon, it crashed under the request.
func (c *call) noteAbandoned(choice balance.Choice) {
	if c.front.leavesAsPlanned(choice.Replica.ID) {
		return
	}
	now := steady.Now()
	c.front.broken.note(choice.Replica.ID, brokenRequest{digest: c.digest(), at: now, state: upstream.Unreachable, incarnation: incarnation(choice), fields: c.crashFields(choice, now)}, now)
}

// incarnation identifies one process of a replica id; empty if its start is not known.
func incarnation(choice balance.Choice) string {
	if choice.Replica.Born == 0 {
		return ""
	}
	return "@" + strconv.FormatInt(choice.Replica.Born, 10)
}

// crashFields are what is written if a replica crashed under the request.
func (c *call) crashFields(choice balance.Choice, now time.Time) []event.Field {
	return []event.Field{event.F("request", c.id), event.F("replica", choice.Replica.ID), event.F("digest", c.digest().String()),
		event.F("route", c.route.Name), event.F("ran_ms", now.Sub(c.sentAt).Milliseconds())}
}

// noteCrash records a crash against the request under which a replica crashed.
func (f *Front) noteCrash(id string, b brokenRequest, now time.Time) {
	f.poison.RecordCrash(b.digest, balance.ReplicaHash(id+b.incarnation), b.at, now)
	f.log.Write(event.ReplicaEnded, append(b.fields, event.F("seen_after_ms", now.Sub(b.at).Milliseconds()))...)
}

// processState probes a replica's process. Calls that it broke off together share one
// probe.
func (f *Front) processState(id, address string) upstream.ProcessState {
	state, _, _ := f.probes.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		return f.pool.Probe(ctx, address), nil
	})
	return state.(upstream.ProcessState)
}

// waitForProbe waits a moment until it is known whether the last attempt crashed its
// replica.
func (c *call) waitForProbe(ctx context.Context) {
	if c.probed == nil {
		return
	}
	timer := time.NewTimer(probeWait)
	defer timer.Stop()
	select {
	case <-c.probed:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.probed = nil
}

// noteServed records that a replica ran the request to its end.
func (c *call) noteServed(status int) {
	if status < http.StatusInternalServerError {
		c.front.poison.RecordSuccess(c.digest(), steady.Now())
	}
}
