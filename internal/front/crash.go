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
	if c.named == nil {
		caller := ""
		if c.organisation != nil {
			caller = c.organisation.Name
		}
		digest := poison.Of(caller, c.request.Method, c.request.Host, c.request.RequestURI, c.body)
		c.named = &digest
	}
	return *c.named
}

// busyAfter is when to come back with a request that runs alone, while it runs: most
// requests that crash their replica do so within some tenths of a second.
const busyAfter = 500 * time.Millisecond

// suspicion refuses a request that is taken to crash what runs it. It is true to call
// it not run as long as no replica had it in this try.
func (c *call) suspicion(now time.Time) *refusal {
	memory := c.front.poison
	if !memory.Any() {
		return nil
	}
	v := memory.Ask(c.digest(), now)
	switch {
	case c.trial, v.State == poison.Sound:
		return nil
	case v.State == poison.Held:
		return c.poisoned(v.After)
	case c.sent.Load() > 0:
		return c.poisoned(busyAfter)
	case c.alone:
		return nil
	case v.State == poison.Trial && !c.front.mine(c.digest()), !memory.Begin(c.digest(), v.State, now):
		return c.poisoned(busyAfter)
	}
	c.alone, c.trial = true, v.State == poison.Trial
	return nil
}

func (c *call) poisoned(after time.Duration) *refusal {
	c.front.metrics.Poisoned.Inc(1)
	return &refusal{status: http.StatusServiceUnavailable, reason: "crashes what runs it", retryAfter: after}
}

// mine tells whether, of all routers, this one is to try a request that was held.
func (f *Front) mine(d poison.Digest) bool {
	return f.options.Mine == nil || f.options.Mine(d.String())
}

const (
	// lookTime bounds the look whether a replica has ended: a way that is cut tells
	// nothing.
	lookTime = time.Second
	// lookWait is how long a repeat waits for it: the way there and back, and the look
	// after a connection that was opened.
	lookWait = 60 * time.Millisecond
)

// broke notes that a replica broke the request off, and finds out beside the call whether
// it has ended: a lost answer, a reset and a cut way look alike from here. One that leaves
// as planned may end with requests in flight.
func (c *call) broke(choice balance.Choice) {
	f, id, address := c.front, choice.Replica.ID, choice.Replica.Address
	f.fail(c.id, id, balance.Broke)
	if f.leavesAsPlanned(id) {
		return
	}
	broke, digest := steady.Now(), c.digest()
	fields := c.crashFields(choice, broke)
	looked := make(chan struct{})
	c.looked = looked
	go func() {
		defer close(looked)
		b := brokenOff{digest: digest, at: broke, life: lifeOf(choice), fields: fields}
		if b.fate = f.fate(id, address); b.fate != upstream.Ended {
			f.breaks.note(id, b, steady.Now())
			return
		}
		f.crashed(id, b, steady.Now())
	}()
}

// leavesAsPlanned tells whether a replica that ends now does so since it leaves, by the
// list or by its own statement.
func (f *Front) leavesAsPlanned(id string) bool {
	x, excluded := f.Exclusion(id, steady.Now())
	return excluded && x.Reason != directory.RestAsked && x.Reason != directory.ListTooOld
}

// abandoned notes that the request was taken from a replica that was silent, and may go
// on working on it: if it starts again or goes soon, it crashed under the request.
func (c *call) abandoned(choice balance.Choice) {
	if c.front.leavesAsPlanned(choice.Replica.ID) {
		return
	}
	now := steady.Now()
	c.front.breaks.note(choice.Replica.ID, brokenOff{digest: c.digest(), at: now, fate: upstream.Unknown, life: lifeOf(choice), fields: c.crashFields(choice, now)}, now)
}

// lifeOf tells a replica's life from others under its id, where it says when it started.
func lifeOf(choice balance.Choice) string {
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

// crashed makes a mark against a request under which a replica crashed.
func (f *Front) crashed(id string, b brokenOff, now time.Time) {
	f.poison.Crashed(b.digest, balance.Hash(id+b.life), b.at, now)
	f.log.Write(event.ReplicaEnded, append(b.fields, event.F("seen_after_ms", now.Sub(b.at).Milliseconds()))...)
}

// fate looks what became of a replica. Calls that it broke off together share one look.
func (f *Front) fate(id, address string) upstream.Fate {
	fate, _, _ := f.looks.Do(id, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), lookTime)
		defer cancel()
		return f.pool.FateOf(ctx, address), nil
	})
	return fate.(upstream.Fate)
}

// awaitLook waits a moment until it is known what the last run did to its replica, so
// that the next one is not sent in spite of it.
func (c *call) awaitLook(ctx context.Context) {
	if c.looked == nil {
		return
	}
	timer := time.NewTimer(lookWait)
	defer timer.Stop()
	select {
	case <-c.looked:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.looked = nil
}

// endedWell notes that a replica ran the request to its end.
func (c *call) endedWell(status int) {
	if status < http.StatusInternalServerError {
		c.front.poison.Served(c.digest(), steady.Now())
	}
}
