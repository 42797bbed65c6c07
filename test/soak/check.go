package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/croftyard/croftyard/internal/standin"
)

// Violation is a rule that was broken.
type Violation struct {
	Rule    string
	Attempt string
	Text    string
}

// String implements fmt.Stringer.
func (v Violation) String() string { return fmt.Sprintf("%s %s: %s", v.Rule, v.Attempt, v.Text) }

// Rules. The names are those of the users' pages.
const (
	Mixed   = "MIXED"
	Unasked = "UNASKED"
	Twice   = "TWICE"
	Refused = "REFUSED"
	Order   = "ORDER"
	Drain   = "DRAIN"
	Astray  = "ROUTE"
	Denied  = "DENIED"
	Config  = "CONFIG"
	Revoked = "REVOKED"
	Lost    = "LOST"
	Gone    = "GONE"
	Budget  = "BUDGET"
	Recover = "RECOVER"
	Ended   = "ENDED"
	Limit   = "LIMIT"
)

// checker holds a history with what is looked up often.
type checker struct {
	*History
	attempts map[string]*Attempt
	runs     map[string][]*standin.ReplicaRun
	found    []Violation
}

// Check returns what a history breaks.
func Check(h *History) []Violation {
	c := &checker{History: h, attempts: make(map[string]*Attempt), runs: make(map[string][]*standin.ReplicaRun)}
	for _, a := range h.Attempts {
		c.attempts[a.ID] = a
	}
	for i := range h.Runs {
		run := &h.Runs[i]
		c.runs[run.Attempt] = append(c.runs[run.Attempt], run)
	}
	for _, a := range h.Attempts {
		c.answer(a)
		c.refusal(a)
		c.once(a)
		c.budget(a)
		c.lost(a)
	}
	for i := range h.Runs {
		c.asked(&h.Runs[i])
	}
	c.drain()
	c.retries()
	c.deadly()
	c.deadlyParts()
	c.lopsided()
	c.announced()
	c.rested()
	c.gone()
	c.configurations()
	c.revoked()
	c.recovered()
	c.partitions()
	c.brittle()
	c.oneVersion()
	c.takenUp()
	for _, p := range h.Problems {
		c.add(Ended, "", "%s", p)
	}
	return c.found
}

func (c *checker) add(rule, attempt, format string, args ...any) {
	c.found = append(c.found, Violation{Rule: rule, Attempt: attempt, Text: fmt.Sprintf(format, args...)})
}

// ran returns the runs of an attempt that were not refused.
func (c *checker) ran(id string) []*standin.ReplicaRun {
	var out []*standin.ReplicaRun
	for _, run := range c.runs[id] {
		if !run.Refused {
			out = append(out, run)
		}
	}
	return out
}

// answer checks that what a caller got is its own and whole.
func (c *checker) answer(a *Attempt) {
	if a.Unasked {
		c.add(Mixed, a.ID, "bytes on a connection where none were due: %s", a.Detail)
	}
	if a.Status == 0 {
		return
	}
	success := a.Status < http.StatusMultipleChoices
	if a.EchoedID != a.ID && (success || a.EchoedID != "") {
		c.add(Mixed, a.ID, "answer names %q", a.EchoedID)
	}
	if a.Signature == "" {
		if success {
			c.add(Mixed, a.ID, "success without a signature")
		}
		return
	}
	run := c.signed(a)
	if run == nil {
		c.add(Mixed, a.ID, "signature %q is of no run of this request", a.Signature)
		return
	}
	if run.Status != a.Status {
		c.add(Mixed, a.ID, "status %d, the replica's was %d", a.Status, run.Status)
	}
	if a.Events > 0 && success {
		c.stream(a, run)
		return
	}
	want := standin.Reply(a.ID, a.Method, a.Path, a.BodySum)
	if c.claimsComplete(a, run) && a.Body != want || !strings.HasPrefix(want, a.Body) {
		c.add(Mixed, a.ID, "body %q (complete: %v), want %q", a.Body, a.Complete, want)
	}
}

// signed returns the run whose signature an answer carries.
func (c *checker) signed(a *Attempt) *standin.ReplicaRun {
	for _, run := range c.runs[a.ID] {
		if run.Signature == a.Signature {
			return run
		}
	}
	return nil
}

// claimsComplete reports whether a caller may take an answer for complete. One that ends with
// its connection claims nothing if its replica's did not either and no break was seen there. A
// router that is killed breaks it off.
func (c *checker) claimsComplete(a *Attempt, run *standin.ReplicaRun) bool {
	if !a.Complete || !a.Undelimited {
		return a.Complete
	}
	last := run
	for _, other := range c.ran(a.ID) {
		if other.Status == a.Status && other.At.After(last.At) {
			last = other
		}
	}
	return !(last.Undelimited && last.Broken && !last.BreakSeen)
}

// stream checks the events of an answer. run is the one that began it.
func (c *checker) stream(a *Attempt, run *standin.ReplicaRun) {
	for i, event := range a.Seen {
		n := a.After + i + 1
		if event.ID != fmt.Sprint(n) || event.Data != standin.Piece(a.ID, n, a.Events) {
			c.add(Order, a.ID, "event %d is %q with %q", n, event.ID, event.Data)
			return
		}
	}
	if seen := a.After + len(a.Seen); c.claimsComplete(a, run) && seen < a.Events {
		c.add(Order, a.ID, "ended as complete after %d of %d events", seen, a.Events)
	}
}

// refusal checks that what was promised not to run did not.
func (c *checker) refusal(a *Attempt) {
	promises := []int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}
	if ran := c.ran(a.ID); slices.Contains(promises, a.Status) && len(ran) > 0 {
		c.add(Refused, a.ID, "%d, and ran at %s", a.Status, ran[0].Instance)
	}
}

// once checks that what may not be repeated was not.
func (c *checker) once(a *Attempt) {
	if ran := c.ran(a.ID); len(ran) > 1 && c.mayRunOnce(a) {
		c.add(Twice, a.ID, "ran at %s and %s", ran[0].Instance, ran[1].Instance)
	}
}

// mayRunOnce: each version that knows the path says so. The kinds of routes do not
// change between versions.
func (c *checker) mayRunOnce(a *Attempt) bool {
	for _, v := range c.Versions {
		if route, known := v.route(a.Path); known {
			return route.RunsOnce()
		}
	}
	return false
}

// budget checks how many replicas a request came to. Those that ended meanwhile are
// not counted.
func (c *checker) budget(a *Attempt) {
	reached := 0
	for _, run := range c.runs[a.ID] {
		if !run.Broken {
			reached++
		}
	}
	if most := c.mostAttempts(a); reached > most && most > 0 {
		c.add(Budget, a.ID, "came to %d replicas, %d are allowed", reached, most)
	}
}

func (c *checker) mostAttempts(a *Attempt) int {
	most := 0
	for _, v := range c.Versions {
		if route, known := v.route(a.Path); known {
			most = max(most, route.Attempts)
		}
	}
	return most
}

// deadlineSlack is by how much a replica may be handed more time than the caller
// gave. Source: the users' rules.
const deadlineSlack = 500 * time.Millisecond

// asked checks that a run is that of a request as its caller sent it.
func (c *checker) asked(run *standin.ReplicaRun) {
	a := c.attempts[run.Attempt]
	switch {
	case a == nil:
		c.add(Unasked, run.Attempt, "ran at %s, and nobody sent it", run.Instance)
		return
	case run.Method != a.Method || run.Path != a.Path || run.BodySum != a.BodySum:
		c.add(Unasked, a.ID, "ran as %s %s %s, sent as %s %s %s", run.Method, run.Path, run.BodySum, a.Method, a.Path, a.BodySum)
	case !a.Whole:
		c.add(Unasked, a.ID, "ran at %s before its caller had sent all of it", run.Instance)
	case run.Expected != run.Instance:
		// An address that is used again is told from what stood there by the name only.
		c.add(Unasked, a.ID, "ran at %s, named %q", run.Instance, run.Expected)
	}
	c.partsHandedOn(a, run)
	if run.Deadline <= 0 || run.Deadline > a.Deadline+deadlineSlack {
		c.add(Budget, a.ID, "a replica was handed %s, the caller gave %s", run.Deadline, a.Deadline)
	}
	c.allowed(a, run)
}

// recovered checks that each router served again.
func (c *checker) recovered() {
	for router, took := range c.Recovered {
		if took > c.Bounds.Recovery {
			c.add(Recover, "", "%s served again after %s", router, took)
		}
	}
}
