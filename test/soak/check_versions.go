package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Bounds of the rules on streams over several software versions. Source: the users' rules.
const (
	// fewTakenUp are too few to judge by.
	fewTakenUp = 12
	// takenUpPart: less than one in so many of the share of new streams is too few.
	takenUpPart = 2
	// servingReplicas of a version must serve for its streams to be counted.
	servingReplicas = 2
)

// oneVersion checks that a stream holds events of one software version, over all tries of its
// caller and at all routers, and that the head of each answer is of the same version.
func (c *checker) oneVersion() {
	for stream, tries := range c.tries() {
		versions := make(map[string]bool)
		for _, a := range tries {
			for _, event := range a.Seen {
				versions[event.Version] = true
			}
		}
		if len(versions) > 1 {
			c.add(Order, stream, "events of %d software versions: %s", len(versions), c.describeTries(tries))
		}
	}
	for _, a := range c.Attempts {
		if len(a.Seen) == 0 || a.Seen[0].Version == "" {
			continue
		}
		if head, known := c.versionOfHead(a); known && a.Seen[0].Version != head {
			c.add(Order, a.ID, "the head is of version %s, the first event of %s", head, a.Seen[0].Version)
		}
	}
}

// tries returns the attempts at each stream, in the order in which they were sent.
func (c *checker) tries() map[string][]*Attempt {
	tries := make(map[string][]*Attempt)
	for _, a := range c.Attempts {
		if len(a.Seen) > 0 {
			stream := cmp.Or(a.Resumes, a.ID)
			tries[stream] = append(tries[stream], a)
		}
	}
	for _, list := range tries {
		slices.SortFunc(list, func(x, y *Attempt) int { return x.Sent.Compare(y.Sent) })
	}
	return tries
}

// versionOfHead returns the software version of the replica that began an answer.
func (c *checker) versionOfHead(a *Attempt) (version string, known bool) {
	run := c.signed(a)
	if run == nil {
		return "", false
	}
	for _, i := range c.Incarnations {
		if i.Instance == run.Instance {
			return i.Version, true
		}
	}
	return "", false
}

// describeTries tells which events of a stream came by which attempt, router and replicas.
func (c *checker) describeTries(tries []*Attempt) string {
	var b strings.Builder
	for _, a := range tries {
		fmt.Fprintf(&b, "%s at %s %s:", a.ID, a.Life.Router, a.Sent.Format(time.StampMilli))
		for _, event := range a.Seen {
			fmt.Fprintf(&b, " %s@%s", event.ID, event.Version)
		}
		for _, run := range c.runs[a.ID] {
			fmt.Fprintf(&b, " (%s after %d)", run.Instance, run.After)
		}
		b.WriteString("; ")
	}
	return b.String()
}

// takenUp checks that streams that callers take up go on about as often as new ones begin.
func (c *checker) takenUp() {
	var begun, fresh, wentOn, taken int
	for _, a := range c.Attempts {
		if !c.routeOf(a).Resumable || !a.Whole || !a.LeftAt.IsZero() || !c.inTouch(a.Life.Router, a.Sent.Add(-c.Bounds.Contact), a.End) {
			continue
		}
		served := a.Status == http.StatusOK && (a.Complete || len(a.Seen) > 0)
		if a.Resumes == "" {
			fresh++
			begun += count(served)
			continue
		}
		if c.serving(c.routeOf(a).Service, c.attempts[a.Resumes].Seen[0].Version, a.Sent, a.End) >= servingReplicas {
			taken++
			wentOn += count(served)
		}
	}
	if taken >= fewTakenUp && wentOn*fresh*takenUpPart < begun*taken {
		c.add(Lost, "", "%d of %d streams that were taken up went on, %d of %d new ones began", wentOn, taken, begun, fresh)
	}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// routeOf returns the route of a request, the same of each version for streams.
func (c *checker) routeOf(a *Attempt) Route {
	for _, v := range c.Versions {
		if route, known := v.route(a.Path); known {
			return route
		}
	}
	return Route{}
}

// serving returns how many replicas of a service's version served for all of a time, and for
// Drain before it, with nothing that befell them.
func (c *checker) serving(service, version string, from, to time.Time) int {
	n := 0
	for _, i := range c.Incarnations {
		if i.Service == service && i.Version == version && i.From.Add(c.Bounds.Drain).Before(from) && (i.To.IsZero() || i.To.After(to)) && !c.befell(i.Instance, from, to) {
			n++
		}
	}
	return n
}

func (c *checker) befell(instance string, from, to time.Time) bool {
	for _, d := range c.Disturbances {
		if d.Instance == instance && d.overlaps(from.Add(-c.Bounds.Contact), to) {
			return true
		}
	}
	return false
}
