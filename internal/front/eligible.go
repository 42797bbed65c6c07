package front

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/mechanism"
	"github.com/croftyard/croftyard/pkg/poison"
)

// errNotAllowed: a request was not written, since by then it was no longer allowed.
var errNotAllowed = errors.New("front: request no longer allowed")

// listLimit is the greatest age of the list of replicas by which requests are sent.
func (f *Front) listLimit() time.Duration {
	if f.options.Without.Has(mechanism.Renew) {
		return 0
	}
	return f.limits.Load().MaxListAge
}

// exclusions returns the replicas of the service that get no new requests although the
// list says that they are ready.
func (c *call) exclusions(now time.Time) []directory.Exclusion {
	return c.front.watcher.Exclusions(c.service.Name, c.front.listLimit(), now)
}

// Exclusion tells whether a replica gets no new requests, and why.
func (f *Front) Exclusion(id string, now time.Time) (directory.Exclusion, bool) {
	return f.watcher.Exclusion(id, f.listLimit(), now)
}

// choose picks a replica that is not excluded, else one that may still have a request as
// the last of its service.
func (c *call) choose(excluded []directory.Exclusion, now time.Time) (balance.Choice, bool) {
	c.lastResort, c.excluded = false, excluded
	choice, found := c.front.balancer.Pick(c.question(idsOf(excluded)), now)
	if found || !slices.ContainsFunc(excluded, func(x directory.Exclusion) bool { return x.LastResort }) {
		return choice, found
	}
	c.lastResort = true
	strict := slices.DeleteFunc(slices.Clone(excluded), func(x directory.Exclusion) bool { return x.LastResort })
	return c.front.balancer.Pick(c.question(idsOf(strict)), now)
}

func idsOf(excluded []directory.Exclusion) []string {
	ids := make([]string, len(excluded))
	for i, x := range excluded {
		ids[i] = x.ID
	}
	return ids
}

// checkBeforeWrite checks, once a connection to a replica is open, that the request may
// still be written to it: opening the connection may have taken time.
func (c *call) checkBeforeWrite(id string, now time.Time) error {
	if c.callerLeft() {
		return errCallerGone
	}
	x, excluded := c.front.Exclusion(id, now)
	if excluded && !(c.lastResort && x.LastResort) {
		return fmt.Errorf("%w: replica %s: %s", errNotAllowed, id, x.Reason)
	}
	if !c.trial && c.front.poison.HasMarks() && c.front.poison.Check(c.digest(), now).State == poison.Held {
		return fmt.Errorf("%w: request crashes what runs it", errNotAllowed)
	}
	limits := c.front.limits.Load()
	age := c.front.holder.Current().ProofAge(now)
	// By AbsenceProof a proof that was asked for at admission is young enough.
	if c.organisation != nil && age >= max(limits.MaxKeyProofAge, limits.MaxAbsenceProofAge) {
		return fmt.Errorf("%w: configuration proven %v ago, too long for keys", errNotAllowed, age)
	}
	return nil
}

// opening is when a service's first replica may have new requests.
type opening struct {
	after time.Duration
	// known: there is such a time. promised: it is the end of a rest that was asked for.
	known, promised bool
}

// opens returns when a replica of the service is first to be given work again.
func (c *call) opens(now time.Time) opening {
	excluded := c.exclusions(now)
	var o opening
	o.after, o.known = c.front.balancer.AvailableIn(c.service.Name, idsOf(excluded), now)
	for _, x := range excluded {
		if x.Until.IsZero() {
			continue
		}
		if in := x.Until.Sub(now); !o.known || in < o.after {
			o = opening{after: in, known: true, promised: true}
		}
	}
	return o
}

// Bounds of the time over which refused callers are spread after the end of a rest, so that
// they do not all retry at one moment.
const (
	spreadPart    = 4
	longestSpread = 2 * time.Second
)

// spread returns a Retry-After of at least a time.
func spread(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*float64(min(after/spreadPart, longestSpread)))
}

// exclusionOf returns why the replicas are excluded that the request could have otherwise;
// false if there are none.
func (c *call) exclusionOf(excluded []directory.Exclusion) (x directory.Exclusion, all bool) {
	if len(excluded) == 0 {
		return directory.Exclusion{}, false
	}
	choice, found := c.front.balancer.Pick(c.question(nil), steady.Now())
	if !found {
		return directory.Exclusion{}, false
	}
	i := slices.IndexFunc(excluded, func(x directory.Exclusion) bool { return x.ID == choice.Replica.ID })
	if i < 0 {
		return directory.Exclusion{}, false
	}
	return excluded[i], true
}
