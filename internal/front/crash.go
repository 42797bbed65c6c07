package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/front/brokenrequest"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
)

// A request, or one part of its prompt, may crash the replica that runs it, and return at any
// router under a new id:
//
//	answer broken off ── replica stopped listening ──> crash recorded, told to all routers
//	answer complete ──> recorded crashes are cleared
//	before each attempt ──> refused at once if enough replicas crashed
//
// Otherwise one body that is sent again and again crashes all replicas within seconds, with
// every other request that runs there.

// digest returns the digest of the request, the same for each of its attempts.
func (c *call) digest() poison.Digest {
	if c.cachedDigest == nil {
		digest := poison.NewDigest(c.organisationName(), c.request.Method, c.request.Host, c.request.RequestURI, c.body)
		c.cachedDigest = &digest
	}
	return *c.cachedDigest
}

// exclusiveRetryAfter is the Retry-After for a request of which a copy is running alone:
// most requests that crash their replica do so within some tenths of a second.
const exclusiveRetryAfter = 500 * time.Millisecond

// checkPoison refuses a request that is suspected to crash replicas. The refusal says that
// the request has not run, which holds as long as no replica had it during this call.
func (c *call) checkPoison(now time.Time) *refusal {
	if refused := c.checkParts(now); refused != nil {
		return refused
	}
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
		return c.refusePoisoned(exclusiveRetryAfter)
	case c.exclusive:
		return nil
	case v.State == poison.Trial && !c.front.ownsTrial(c.digest()) && !memory.AnyMayTry(c.digest(), now), !memory.BeginRun(c.digest(), v.State, now):
		return c.refusePoisoned(exclusiveRetryAfter)
	}
	c.exclusive, c.trial = true, v.State == poison.Trial
	return nil
}

func (c *call) refusePoisoned(after time.Duration) *refusal {
	c.front.metrics.PoisonRefusals.Inc(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: "crashes what runs it", retryAfter: after}
}

// ownsTrial reports whether this router, of all routers, may try a request that was held.
func (f *Front) ownsTrial(d poison.Digest) bool {
	return f.options.OwnsTask == nil || f.options.OwnsTask(d.String())
}

const (
	// probeTimeout bounds the probe for the end of a replica: a partitioned link gives no
	// answer.
	probeTimeout = time.Second
	// probeWait is how long a retry waits for the probe: a round trip, and the observation
	// of the opened connection.
	probeWait = 60 * time.Millisecond
)

// recordBroken records that a replica broke the request off, and probes in the background
// whether its process has ended: a lost answer, a reset and a partitioned link look alike
// from here. A planned shutdown may end with requests in flight and is not a crash.
func (c *call) recordBroken(choice balance.Choice) {
	f, id, address := c.front, choice.Replica.ID, choice.Replica.Address
	f.reportFailure(c.id, id, balance.Broke)
	if f.leavesAsPlanned(id) {
		return
	}
	broke := steady.Now()
	probed := make(chan struct{})
	c.probed = probed
	one := c.brokenRequest(choice, broke)
	go func() {
		defer close(probed)
		one.State = f.probePath(id, address, broke)
		f.recordEnd(id, one)
	}()
}

// probeForCrash probes in the background whether a replica ended together with an answer whose
// end is unknown. Any other state says nothing about the request.
func (c *call) probeForCrash(choice balance.Choice) {
	f, id, address := c.front, choice.Replica.ID, choice.Replica.Address
	if f.pool.HasOpenIdle(address) || f.leavesAsPlanned(id) {
		return
	}
	ended := steady.Now()
	one := c.brokenRequest(choice, ended)
	go func() {
		one.State = f.probePath(id, address, ended)
		if one.State == upstream.Ended {
			f.recordEnd(id, one)
		}
	}()
}

// brokenRequest describes the request for the case that it crashed its replica.
func (c *call) brokenRequest(choice balance.Choice, at time.Time) brokenrequest.Request {
	b := brokenrequest.Request{Digest: c.digest(), At: at, Incarnation: incarnation(choice), Address: choice.Replica.Address, Fields: c.crashFields(choice, at)}
	if c.isBeginning() {
		b.Parts, b.Organisation = c.partDigests(), poison.OrganisationHash(c.organisationName())
	}
	return b
}

// recordEnd records a broken request whose replica was probed. The replica has ended only if this
// router reaches others: a path that is lost may refuse connections too.
func (f *Front) recordEnd(id string, one brokenrequest.Request) {
	if one.State == upstream.Ended && f.reachesOthers(id, one.At) {
		f.recordCrash(id, one, steady.Now())
		return
	}
	f.broken.Note(id, one, steady.Now())
}

// leavesAsPlanned reports whether the replica is leaving, by the list or by its own
// statement, so that its end is no crash.
func (f *Front) leavesAsPlanned(id string) bool {
	x, excluded := f.Exclusion(id, steady.Now())
	return excluded && x.Reason != directory.RestRequested && x.Reason != directory.NotListedRecently
}

// recordAbandoned records that the attempt at a silent replica was given up. The replica may
// still work on the request: if it restarts or disappears soon, the request crashed it.
func (c *call) recordAbandoned(choice balance.Choice) {
	if c.front.leavesAsPlanned(choice.Replica.ID) {
		return
	}
	now := steady.Now()
	one := c.brokenRequest(choice, now)
	one.State = upstream.Unreachable
	c.front.broken.Note(choice.Replica.ID, one, now)
}

// incarnation identifies the process behind a replica id. It is empty if its start time is
// unknown.
func incarnation(choice balance.Choice) string {
	if choice.Replica.Born == 0 {
		return ""
	}
	return "@" + strconv.FormatInt(choice.Replica.Born, 10)
}

// crashFields returns the log fields for a crash of the replica while it ran the request.
func (c *call) crashFields(choice balance.Choice, now time.Time) []event.Field {
	return []event.Field{event.F("request", c.id), event.F("replica", choice.Replica.ID), event.F("digest", c.digest().String()),
		event.F("route", c.route.Name), event.F("ran_ms", now.Sub(c.sentAt).Milliseconds()),
		event.F("parts", partNames(c.sharedParts())), event.F("pieces", c.piecesOfAttempt())}
}

// recordCrash counts a replica's crash against the request that it ran.
func (f *Front) recordCrash(id string, b brokenrequest.Request, now time.Time) {
	replica := balance.ReplicaHash(id + b.Incarnation)
	f.poison.RecordCrash(b.Digest, replica, b.At, now)
	f.parts.RecordCrash(b.Parts, b.Organisation, replica, b.At, now)
	f.log.Write(event.ReplicaEnded, append(b.Fields, event.F("seen_after_ms", now.Sub(b.At).Milliseconds()))...)
}

// probeResult is what a probe found, and when it began.
type probeResult struct {
	state upstream.ProcessState
	began time.Time
}

// processState returns what a probe of a replica's process found that began at since or later.
// Concurrent calls for one replica share a probe.
func (f *Front) processState(id, address string, since time.Time) upstream.ProcessState {
	for {
		shared, _, _ := f.probes.Do(id, func() (any, error) {
			began := steady.Now()
			ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
			defer cancel()
			return probeResult{f.pool.Probe(ctx, address), began}, nil
		})
		// A probe that was under way when a request broke off may have connected before.
		if result := shared.(probeResult); !result.began.Before(since) {
			return result.state
		}
	}
}

// waitForProbe waits, for at most probeWait, for the probe after a broken attempt.
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

// recordServed records that a replica ran the request to completion.
func (c *call) recordServed(status int) {
	c.recordPartsSurvived(status)
	if status < http.StatusInternalServerError {
		c.front.poison.RecordSuccess(c.digest(), steady.Now())
	}
}
