package front

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/pkg/directory"
)

// A router whose list was old sent work to replicas that had said that they leave:
// a hunt's DRAIN, 27 ms late, and eleven on a grown site.
func TestAnOldListIsRenewedBeforeARequestIsSent(t *testing.T) {
	leaving, _ := replica(t, answerOK)
	staying, _ := replica(t, answerOK)
	r := newAgedRig(t, testListAge, leaving, staying)
	r.setListProof(testListProof)
	r.source.mu.Lock()
	list := slices.Clone(r.source.snapshot.Replicas)
	list[0].State = directory.Draining
	r.source.snapshot.Replicas = list
	before := r.source.reads
	r.source.mu.Unlock()
	for range 5 {
		response, _, err := r.send(t, "POST", "/single/x", "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	}
	r.source.mu.Lock()
	defer r.source.mu.Unlock()
	assert.Greater(t, r.source.reads, before)
	for _, known := range r.watcher.Replicas() {
		assert.Equal(t, known.ID == "r0", known.State == directory.Draining, "the list is the newest")
	}
}

// Days on which the store is down go on: while it answers nobody, nobody can have
// heard more than the list at hand says. A router that is late by itself is bound.
func TestAnOldListIsGoneByOnlyWhileTheSourceAnswersNobody(t *testing.T) {
	longAgo := func() time.Time { return time.Now().Add(-testListAge) }
	tests := map[string]struct {
		silent bool
		told   func(*rig)
		served bool
	}{
		"fails, no other router is known": {served: true},
		"fails, others have nothing newer": {
			told:   func(r *rig) { r.watcher.ObservePeerProof(time.Now(), longAgo()) },
			served: true,
		},
		"fails, another has something newer": {
			told: func(r *rig) { r.watcher.ObservePeerProof(time.Now(), time.Now()) },
		},
		"fails, others were not heard for long": {
			told: func(r *rig) { r.watcher.ObservePeerProof(longAgo(), longAgo()) },
		},
		"silent, no other router is known": {silent: true},
		"silent, another has something newer": {
			silent: true,
			told:   func(r *rig) { r.watcher.ObservePeerProof(time.Now(), time.Now()) },
		},
		"silent, others have nothing newer": {
			silent: true,
			told:   func(r *rig) { r.watcher.ObservePeerProof(time.Now(), longAgo()) },
			served: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, arrivals := replica(t, answerOK)
			r := newAgedRig(t, testListAge, address)
			r.setListProof(testListProof)
			if test.silent {
				r.source.fallSilent()
			} else {
				r.source.reportFailure(assert.AnError)
			}
			// The read is known to have no answer before the request comes.
			require.Error(t, r.watcher.RefreshList(t.Context(), time.Now()))
			if test.told != nil {
				test.told(r)
			}
			for range 3 {
				if !test.served {
					r.wantNotRun(t)
					continue
				}
				response, _, err := r.send(t, "POST", "/single/x", "")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
			}
			assert.Equal(t, test.served, arrivals.Load() > 0)
			assert.True(t, r.front.listStale.Load(), "it is noted")
		})
	}
}
