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

// Guards against a router that uses an old list and sends requests to replicas that have
// declared that they leave, in one case 27 ms past the bound.
func TestStaleListRefreshedBeforeSending(t *testing.T) {
	leaving, _ := replica(t, answerOK)
	staying, _ := replica(t, answerOK)
	r := newAgedRig(t, testListAge, leaving, staying)
	r.setMaxListAge(testMaxListAge)
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

// While the store answers nobody, no router knows more than the list at hand, so requests are
// still served. A router that alone is late is bound by the age of its list.
func TestStaleListUsedOnlyWhileSourceUnavailable(t *testing.T) {
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
			r.setMaxListAge(testMaxListAge)
			if test.silent {
				r.source.fallSilent()
			} else {
				r.source.fail(assert.AnError)
			}
			// The read has failed before the request arrives.
			require.Error(t, r.watcher.RefreshList(t.Context(), time.Now()))
			if test.told != nil {
				test.told(r)
			}
			for range 3 {
				if !test.served {
					r.requireNotRun(t)
					continue
				}
				response, _, err := r.send(t, "POST", "/single/x", "")
				require.NoError(t, err)
				assert.Equal(t, http.StatusOK, response.StatusCode)
			}
			assert.Equal(t, test.served, arrivals.Load() > 0)
			assert.True(t, r.front.listStale.Load(), "the failure is recorded")
		})
	}
}
