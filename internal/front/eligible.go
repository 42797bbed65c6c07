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

// errNotAllowed means that a request was not written because it was no longer allowed.
var errNotAllowed = errors.New("front: request no longer allowed")

// maxListAge is the maximum age of the list of replicas; 0 means no maximum.
func (f *Front) maxListAge() time.Duration {
	if f.options.Without.Has(mechanism.Renew) {
		return 0
	}
	return f.limits.Load().MaxListAge
}

// exclusions returns the replicas of the service that are listed as ready but get no new
// requests.
func (c *call) exclusions(now time.Time) []directory.Exclusion {
	return c.exclusionsOf(c.service.Name, now)
}

// exclusionsOf returns the same for a service. It may run concurrently with the call.
func (c *call) exclusionsOf(service string, now time.Time) []directory.Exclusion {
	excluded := c.front.watcher.Exclusions(service, c.front.maxListAge(), now)
	if c.relay == nil {
		return excluded
	}
	for _, x := range c.relay.excluded {
		if x.Until.IsZero() || now.Before(x.Until) {
			excluded = append(excluded, x)
		}
	}
	return excluded
}

// Exclusion reports whether a replica gets no new requests, and why.
func (f *Front) Exclusion(id string, now time.Time) (directory.Exclusion, bool) {
	return f.watcher.Exclusion(id, f.maxListAge(), now)
}

// choose picks a replica that is not excluded. Failing that, it picks one that may serve as
// the last resort of its service.
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

// canChoose reports whether choose would find a replica that has room. It may run concurrently
// with the call.
func (c *call) canChoose(q balance.Request, now time.Time) bool {
	excluded, tried := c.exclusionsOf(q.Service, now), q.Tried
	q.Tried = slices.Concat(tried, idsOf(excluded))
	if c.front.balancer.HasRoom(q, now) {
		return true
	}
	strict := slices.DeleteFunc(slices.Clone(excluded), func(x directory.Exclusion) bool { return x.LastResort })
	q.Tried = slices.Concat(tried, idsOf(strict))
	return len(strict) < len(excluded) && c.front.balancer.HasRoom(q, now)
}

func idsOf(excluded []directory.Exclusion) []string {
	ids := make([]string, len(excluded))
	for i, x := range excluded {
		ids[i] = x.ID
	}
	return ids
}

// checkBeforeWrite checks that the request may still be written to a replica once the
// connection is open: opening it may have taken time.
func (c *call) checkBeforeWrite(id string, now time.Time) error {
	if c.callerLeft() {
		return errCallerGone
	}
	if !c.fitsShutdown(now) {
		return fmt.Errorf("%w: the router is stopping", errNotAllowed)
	}
	x, excluded := c.front.Exclusion(id, now)
	if excluded && !(c.lastResort && x.LastResort) {
		return fmt.Errorf("%w: replica %s: %s", errNotAllowed, id, x.Reason)
	}
	if !c.trial && c.front.poison.HasMarks() && c.front.poison.Check(c.digest(), now).State == poison.Held {
		return fmt.Errorf("%w: request crashes what runs it", errNotAllowed)
	}
	if c.isPartHeld(now) {
		return fmt.Errorf("%w: part of the prompt crashes what runs it", errNotAllowed)
	}
	limits := c.front.limits.Load()
	age := c.front.holder.Current().ProofAge(now)
	// MaxAbsenceProofAge admits a confirmation that was requested at admission.
	if c.organisation != nil && age >= max(limits.MaxKeyProofAge, limits.MaxAbsenceProofAge) {
		return fmt.Errorf("%w: configuration proven %v ago, too long for keys", errNotAllowed, age)
	}
	return nil
}

// availability is when the first replica of a service accepts new requests.
type availability struct {
	after time.Duration
	// known is set if there is such a time, promised if it is the end of a rest that the
	// replica asked for.
	known, promised bool
}

// nextAvailable returns when the first replica of the service may get requests again.
func (c *call) nextAvailable(now time.Time) availability {
	excluded := c.exclusions(now)
	var o availability
	o.after, o.known = c.front.balancer.AvailableIn(c.service.Name, idsOf(excluded), now)
	for _, x := range excluded {
		if x.Until.IsZero() {
			continue
		}
		if in := x.Until.Sub(now); !o.known || in < o.after {
			o = availability{after: in, known: true, promised: true}
		}
	}
	return o
}

// Bounds of the jitter added to a Retry-After at the end of a rest, so that refused callers
// do not all retry at once.
const (
	jitterDivisor = 4
	maxJitter     = 2 * time.Second
)

// addJitter returns a Retry-After of at least after.
func addJitter(after time.Duration) time.Duration {
	return after + time.Duration(rand.Float64()*float64(min(after/jitterDivisor, maxJitter)))
}

// exclusionOf returns the exclusion of the replica that the request would otherwise go to;
// false if there is none.
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
