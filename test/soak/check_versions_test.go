package soak

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/croftyard/croftyard/internal/standin"
)

// streamsTakenUp adds streams that begin at v1, of which some go on at a version and the others are
// refused.
func (h *History) streamsTakenUp(begun, taken, wentOn int, version string) {
	for n := range 3 {
		h.Incarnations = append(h.Incarnations, Incarnation{Instance: fmt.Sprint("engines-", n, ".1"), Service: engines, Version: "v1", From: at(0)})
	}
	for n := range begun {
		first := *h.attempt(resumeID)
		first.ID, first.Complete, first.Closed = fmt.Sprint("first-", n), false, true
		h.add(&first, 0, 2, "v1", true)
		if n >= taken {
			continue
		}
		next := first
		next.ID, next.Resumes, next.After, next.Complete, next.Closed = fmt.Sprint("next-", n), first.ID, 2, true, false
		h.add(&next, 2, streamEvents, version, n < wentOn)
	}
}

// add adds an attempt with events of a stream, from one on, or one that is refused.
func (h *History) add(a *Attempt, after, last int, version string, served bool) {
	a.Seen = nil
	if !served {
		a.Outcome = Outcome{Status: http.StatusServiceUnavailable, Complete: true}
		h.Attempts = append(h.Attempts, a)
		return
	}
	run := *h.run(resumeID)
	run.Attempt, run.Signature, run.After, run.Broken = a.ID, "sig-"+a.ID, after, last < streamEvents
	a.EchoedID, a.Signature = a.ID, run.Signature
	for n := after + 1; n <= last; n++ {
		a.Seen = append(a.Seen, Event{ID: fmt.Sprint(n), Data: standin.Piece(a.ID, n, streamEvents), Version: version})
	}
	h.Attempts, h.Runs = append(h.Attempts, a), append(h.Runs, run)
}

func TestStreamsOverTwoVersionsAreSeen(t *testing.T) {
	for name, test := range map[string]struct {
		change func(h *History)
		broken string
	}{
		"all go on at their version": {func(h *History) { h.streamsTakenUp(20, 15, 15, "v1") }, ""},
		"one goes on at another":     {func(h *History) { h.streamsTakenUp(20, 1, 1, "v2") }, Order},
		"three go on at another":     {func(h *History) { h.streamsTakenUp(20, 3, 3, "v2") }, Order},
		"half go on":                 {func(h *History) { h.streamsTakenUp(20, 20, 10, "v1") }, ""},
		"fewer go on":                {func(h *History) { h.streamsTakenUp(20, 20, 9, "v1") }, Lost},
		"fewer of few go on":         {func(h *History) { h.streamsTakenUp(20, 11, 2, "v1") }, ""},
		"another service has more": {func(h *History) {
			h.streamsTakenUp(20, 20, 9, "v1")
			h.Incarnations[1].Service, h.Incarnations[2].Service = long, long
		}, ""},
		"one replica is left":           {func(h *History) { h.streamsTakenUp(20, 20, 9, "v1"); h.leave(0); h.leave(1) }, ""},
		"the router was out of touch":   {func(h *History) { h.streamsTakenUp(20, 20, 9, "v1"); h.disturb("r0", "", calm, calm) }, ""},
		"two versions in three answers": {func(h *History) { h.mixWithin(3) }, Order},
		"two versions in one answer":    {func(h *History) { h.mixWithin(1) }, Order},
		"the head is of another version": {func(h *History) {
			h.streamsTakenUp(1, 0, 0, "")
			h.Incarnations = []Incarnation{{Instance: h.Runs[len(h.Runs)-1].Instance, Service: engines, Version: "v2", From: at(0)}}
		}, Order},
		"versions that are not stated": {func(h *History) { h.streamsTakenUp(20, 3, 3, ""); h.unstate() }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			test.change(h)
			var rules []string
			for _, v := range Check(h) {
				rules = append(rules, v.Rule)
			}
			if test.broken == "" {
				assert.Empty(t, rules)
				return
			}
			assert.Equal(t, []string{test.broken}, slices.Compact(rules))
		})
	}
}

func (h *History) leave(n int) { h.Incarnations[n].To = at(calm - 1) }

// mixWithin gives some streams events of two versions in one answer.
func (h *History) mixWithin(streams int) {
	h.streamsTakenUp(streams, 0, 0, "")
	for _, a := range h.Attempts {
		if len(a.Seen) == 2 {
			a.Seen[1].Version = "v2"
		}
	}
}

// unstate makes all events be of replicas that state no version.
func (h *History) unstate() {
	for _, a := range h.Attempts {
		for i := range a.Seen {
			a.Seen[i].Version = ""
		}
	}
}
