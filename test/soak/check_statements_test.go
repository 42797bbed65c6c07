package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
)

// rest adds a request that is turned away by an answer which asks for rest.
func (h *History) rest(ended int, asked time.Duration) {
	h.handled("turned-away", "/repeat/x", ended-5, func(a *Attempt, r *standin.ReplicaRun) {
		r.Refused, r.Rest, r.Status, r.Ended = true, asked, 0, at(ended)
		a.Outcome = Outcome{Status: http.StatusServiceUnavailable, EchoedID: a.ID, Complete: true}
	})
}

// Each rule on what replicas say of themselves is broken by a history of its own, and by
// that rule's name alone.
func TestEachRuleOnStatementsIsSeenBroken(t *testing.T) {
	for name, c := range map[string]struct {
		rule   string
		breaks func(*History)
	}{
		"a request to a replica whose answer announced its shutdown, at a router out of touch": {Drain, func(h *History) {
			h.disturb("r0", "", 0, 2*calm)
			a := h.attempt(repeatID)
			a.Leaving, a.HeadAt = true, at(calm+10)
			h.handled("late", "/repeat/x", calm+10+2001, func(*Attempt, *standin.ReplicaRun) {})
		}},
		"requests in a rest that a replica asked for": {Budget, func(h *History) {
			h.rest(calm+10, 3*time.Second)
			for n := range 3 {
				h.handled(fmt.Sprint("resting-", n), "/repeat/x", calm+511+800*n, func(*Attempt, *standin.ReplicaRun) {})
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			c.breaks(h)
			found := Check(h)
			require.NotEmpty(t, found)
			for _, v := range found {
				assert.Equal(t, c.rule, v.Rule, v.String())
			}
		})
	}
}

func TestWhatTheRulesOnStatementsExcuse(t *testing.T) {
	for name, excuse := range map[string]func(*History){
		"a request in time to a replica whose answer announced its shutdown": func(h *History) {
			a := h.attempt(repeatID)
			a.Leaving, a.HeadAt = true, at(calm+10)
			h.handled("soon", "/repeat/x", calm+10+1999, func(*Attempt, *standin.ReplicaRun) {})
		},
		"a late request to a replica that started again since": func(h *History) {
			a := h.attempt(repeatID)
			a.Leaving, a.HeadAt = true, at(calm+10)
			h.handled("late", "/repeat/x", calm+10+2001, func(_ *Attempt, r *standin.ReplicaRun) { r.Started = at(calm + 1000) })
		},
		"a late request of a router that was frozen since": func(h *History) {
			a := h.attempt(repeatID)
			a.Leaving, a.HeadAt = true, at(calm+10)
			h.disturb("r0", "", calm+1000, calm+1100)
			h.Disturbances[0].What = kindFreeze
			h.handled("late", "/repeat/x", calm+10+2001, func(*Attempt, *standin.ReplicaRun) {})
		},
		"two requests in a rest, others before it binds and after it": func(h *History) {
			h.rest(calm+10, 3*time.Second)
			for n, sent := range []int{calm + 100, calm + 400, calm + 800, calm + 1800, calm + 3010, calm + 3020} {
				h.handled(fmt.Sprint("resting-", n), "/repeat/x", sent, func(*Attempt, *standin.ReplicaRun) {})
			}
		},
		"requests after an answer that was lost": func(h *History) {
			h.rest(calm+10, 3*time.Second)
			h.disturb("", "plain-0.1", calm, calm+100)
			for n := range 5 {
				h.handled(fmt.Sprint("resting-", n), "/repeat/x", calm+511+400*n, func(*Attempt, *standin.ReplicaRun) {})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := soundHistory()
			excuse(h)
			assert.Empty(t, Check(h))
		})
	}
}
