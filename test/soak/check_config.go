package soak

import (
	"cmp"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// route returns what a version says of a path.
func (v *Version) route(path string) (Route, bool) {
	best := ""
	for prefix := range v.Routes {
		if strings.HasPrefix(path, prefix) && len(prefix) > len(best) {
			best = prefix
		}
	}
	return v.Routes[best], best != ""
}

// handling is what was done with an attempt that tells of the configuration in force.
type handling struct {
	attempt *Attempt
	// at is when it was done at the latest.
	at time.Time
	// service ran it; empty: status was the router's own answer.
	service string
	status  int
}

// permits tells whether a version allows a handling.
func (v *Version) permits(h handling) bool {
	route, known := v.route(h.attempt.Path)
	_, keyed := v.Keys[h.attempt.Key]
	switch {
	case h.service != "":
		return known && keyed && route.Service == h.service
	case h.status == http.StatusNotFound:
		return !known
	case h.status == http.StatusUnauthorized:
		return known && !keyed
	}
	return true
}

// allowed checks a run against all versions that there were.
func (c *checker) allowed(a *Attempt, run *standin.ReplicaRun) {
	h := handling{attempt: a, at: run.At, service: run.Service}
	tenant, found := "", false
	for _, v := range c.Versions {
		if v.permits(h) && !v.Put.After(run.At) {
			tenant, found = v.Keys[a.Key], true
		}
	}
	switch {
	case !found:
		c.add(Astray, a.ID, "ran at %s of %s, which no configuration allows", run.Instance, run.Service)
	case run.Tenant != tenant:
		c.add(Unasked, a.ID, "ran for tenant %q, the key is of %q", run.Tenant, tenant)
	}
}

// handlings returns what was done by one life of a router, in the order of sending.
func (c *checker) handlings() map[*Life][]handling {
	out := make(map[*Life][]handling)
	for _, a := range c.Attempts {
		for _, run := range c.ran(a.ID) {
			out[a.Life] = append(out[a.Life], handling{attempt: a, at: run.At, service: run.Service})
		}
		own := a.Signature == "" && (a.Status == http.StatusNotFound || a.Status == http.StatusUnauthorized)
		if own {
			out[a.Life] = append(out[a.Life], handling{attempt: a, at: a.End, status: a.Status})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(x, y handling) int { return x.at.Compare(y.at) })
	}
	return out
}

// configurations checks that no life of a router goes back, and that what is in force
// is in force in time.
func (c *checker) configurations() {
	versions := slices.Clone(c.Versions)
	slices.SortFunc(versions, func(a, b *Version) int { return cmp.Compare(a.Number, b.Number) })
	for life, list := range c.handlings() {
		effects := effectsOf(versions, list)
		for _, h := range list {
			c.handled(life, versions, seenBy(effects, h.attempt.Sent.Add(-c.Bounds.Rollback)), h)
		}
	}
}

// handled checks one handling of a life of which replicas had seen a version.
func (c *checker) handled(life *Life, versions []*Version, seen uint64, h handling) {
	due := c.due(life, versions, h)
	could := false
	for _, v := range versions {
		if !v.permits(h) || v.Put.After(h.at) {
			continue
		}
		could = true
		if v.Number >= seen && v.Number >= due {
			return
		}
	}
	switch {
	case !could && h.status != 0:
		c.add(Denied, h.attempt.ID, "%d, which no configuration asks for", h.status)
	case !could:
		// A run that no version allows is reported with the run.
	case seen > due:
		c.add(Config, h.attempt.ID, "%s life %d went back: it knew version %d", life.Router, life.Number, seen)
	default:
		c.add(Config, h.attempt.ID, "%s life %d: version %d is not in force at %s past its bound", life.Router, life.Number, due,
			h.attempt.Sent.Sub(c.acked(due).Add(c.Bounds.Apply)))
	}
}

// effect is the newest version whose effect replicas had seen at a time. The effect of
// a version is a run that no older one allows.
type effect struct {
	at      time.Time
	version uint64
}

// effectsOf returns the effects of handlings that are in the order of time.
func effectsOf(versions []*Version, list []handling) []effect {
	var out []effect
	var seen uint64
	for _, h := range list {
		if h.service == "" {
			continue
		}
		if oldest := slices.IndexFunc(versions, func(v *Version) bool { return v.permits(h) }); oldest >= 0 {
			seen = max(seen, versions[oldest].Number)
		}
		out = append(out, effect{at: h.at, version: seen})
	}
	return out
}

// seenBy returns the newest version of which replicas had seen an effect.
func seenBy(effects []effect, until time.Time) uint64 {
	behind, _ := slices.BinarySearchFunc(effects, until, func(e effect, t time.Time) int {
		if e.at.After(t) {
			return 1
		}
		return -1
	})
	if behind == 0 {
		return 0
	}
	return effects[behind-1].version
}

// due returns the version that must be in force at a router in touch.
func (c *checker) due(life *Life, versions []*Version, h handling) uint64 {
	if !c.inTouch(life.Router, h.attempt.Sent.Add(-c.Bounds.Contact), h.at) {
		return 0
	}
	var due uint64
	for _, v := range versions {
		if h.attempt.Sent.Sub(v.Acked) > c.Bounds.Apply {
			due = v.Number
		}
	}
	return due
}

func (c *checker) acked(number uint64) time.Time {
	for _, v := range c.Versions {
		if v.Number == number {
			return v.Acked
		}
	}
	return time.Time{}
}

// inTouch tells whether neither a router nor the store was disturbed.
func (c *checker) inTouch(router string, from, to time.Time) bool {
	for _, d := range c.Disturbances {
		if (d.Router == router && d.Instance == "" || d.ofStore()) && d.overlaps(from, to) {
			return false
		}
	}
	return true
}

// revoked checks that no request runs under a key that was taken away. It binds all
// routers, in touch or not.
func (c *checker) revoked() {
	for key, at := range c.takenAway() {
		for _, a := range c.Attempts {
			if ran := c.ran(a.ID); a.Key == key && len(ran) > 0 && a.Sent.Sub(at) > c.Bounds.Revoke {
				c.add(Revoked, a.ID, "sent %s after its key was taken away, and ran", a.Sent.Sub(at))
			}
		}
	}
}

// takenAway returns when keys were taken away for good.
func (c *checker) takenAway() map[string]time.Time {
	out := make(map[string]time.Time)
	held := make(map[string]bool)
	versions := slices.Clone(c.Versions)
	slices.SortFunc(versions, func(a, b *Version) int { return cmp.Compare(a.Number, b.Number) })
	for _, v := range versions {
		for key := range held {
			if _, still := v.Keys[key]; !still && out[key].IsZero() {
				out[key] = v.Acked
			}
		}
		for key := range v.Keys {
			held[key] = true
			delete(out, key)
		}
	}
	return out
}
