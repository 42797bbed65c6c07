package front

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
)

// These tests guard against requests to a replica that has declared that it leaves, past the
// bound. A router whose reads were late because of a narrow link waited briefly for a newer
// list, then used the old one whatever its age: it sent a request after 3.06 s, where 3 s was
// the bound.

// The age of the lists in these tests, and the maximum age at which requests are sent.
const (
	testListAge    = time.Minute
	testMaxListAge = 10 * time.Second
)

func answerOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// requireNotRun sends a request and checks that it is refused as not run.
func (r *rig) requireNotRun(t *testing.T) {
	t.Helper()
	response, _, err := r.send(t, "POST", "/repeat/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"), "it has not run and may be retried")
}

// onConnect calls do when a connection to a replica is open, before the request is written.
func (r *rig) onConnect(do func()) {
	r.front.pool = upstream.New(upstream.Options{
		IDHeader:       "Try",
		DialTimeout:    time.Second,
		SilenceTimeout: 10 * time.Second,
		IdleTime:       time.Minute,
		Opened:         func(string) { do() },
	})
}

func TestNothingSentByStaleList(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.setMaxListAge(testMaxListAge)
	r.source.fallSilent()
	r.requireNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// The list may become too old after the choice, while a connection is opened.
func TestListAgeRecheckedAfterConnect(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.setMaxListAge(2 * testListAge)
	r.onConnect(func() {
		r.source.fallSilent()
		r.setMaxListAge(testMaxListAge)
	})
	r.requireNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// A replica that answers and keeps its connection open is not leaving. An answer of one that
// leaves, or of another replica at its address, proves nothing.
func TestServingReplicaUsedDespiteStaleList(t *testing.T) {
	tests := map[string]struct {
		answer string
		want   int
	}{
		"stays":                 {"HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n", http.StatusOK},
		"leaves":                {"HTTP/1.1 200 OK\r\nTry: id-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n!", http.StatusServiceUnavailable},
		"is another":            {"HTTP/1.1 421 No\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
		"fails with its answer": {"HTTP/1.1 500 No\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n", http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := rawReplica(t, test.answer, completeAnswer("id-1", "later"))
			r := newAgedRig(t, testListAge, address)
			r.setMaxListAge(2 * testListAge)
			_, _, err := r.send(t, "POST", "/single/x", "")
			require.NoError(t, err)
			r.source.fallSilent()
			r.setMaxListAge(testMaxListAge)
			response, _, err := r.send(t, "POST", "/single/x", "")
			require.NoError(t, err)
			assert.Equal(t, test.want, response.StatusCode)
		})
	}
}

// The configuration's confirmation may also become too old while a connection is opened.
func TestKeyProofAgeRecheckedAfterConnect(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.onConnect(func() {
		limits := *r.front.limits.Load()
		limits.MaxKeyProofAge, limits.MaxAbsenceProofAge = testMaxListAge, testMaxListAge
		r.front.SetLimits(limits)
		r.source.fail(assert.AnError)
	})
	r.requireNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// Guards against refusing a request for an excluded replica of another service.
func TestOtherServiceExclusionIgnored(t *testing.T) {
	address, _ := replica(t, answerOK)
	r := newEmptyRig(t, address, "one:1", "two:1")
	own, foreign := r.source.snapshot.Replicas[0], r.source.snapshot.Replicas[1:]
	foreign[0].Service, foreign[1].Service = "t", "t"
	take := func(age time.Duration, list ...directory.Replica) {
		r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: list}, time.Now().Add(-age))
	}
	// Both replicas of the other service vanished at once: they stay in use for a while, but
	// were last listed long ago.
	take(testListAge, foreign...)
	take(0)
	r.setMaxListAge(testMaxListAge)
	require.Len(t, r.watcher.NotListedSince(time.Now().Add(-testMaxListAge)), 2)
	response, text, err := r.send(t, "POST", "/single/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, text, "no replica")
	take(0, own)
	response, text, err = r.send(t, "POST", "/single/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, text)
}

// All replicas of a service vanish in one read, undeclared, and keep answering. Guards against
// using them past the bound because the list is distrusted, as after an outage, although the
// source answered all along.
func TestVanishedReplicasExcludedPastBound(t *testing.T) {
	first, arrivals := replica(t, answerOK)
	second, arrivalsToo := replica(t, answerOK)
	r := newEmptyRig(t, first, second)
	list := r.source.snapshot.Replicas
	take := func(age time.Duration, list ...directory.Replica) {
		r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: list}, time.Now().Add(-age))
	}
	take(testListAge, list...)
	take(0)
	require.Len(t, r.watcher.Replicas(), len(list), "they are kept as unconfirmed")
	for _, gone := range list {
		r.watcher.Statements().MarkServing(gone.ID, time.Now(), time.Now())
	}
	r.setMaxListAge(testMaxListAge)
	r.requireNotRun(t)
	assert.Zero(t, arrivals.Load()+arrivalsToo.Load())
}

// While a connection is opened, a newer list may say that the replica is leaving or gone. By
// then the list that named it may be too old to use.
func TestReplicaLeavingDuringConnectGetsNothing(t *testing.T) {
	for name, state := range map[string]directory.State{"draining": directory.Draining, "gone": directory.Ready} {
		t.Run(name, func(t *testing.T) {
			address, arrivals := replica(t, answerOK)
			r := newAgedRig(t, testListAge, address)
			r.setMaxListAge(2 * testListAge)
			newer := slices.Clone(r.source.snapshot.Replicas)
			newer[0].State = state
			if name == "gone" {
				// One of three is too few for an outage.
				others := []directory.Replica{{ID: "a", Service: "t"}, {ID: "b", Service: "t"}}
				newer = others
			}
			r.onConnect(func() {
				r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: newer}, time.Now())
				r.setMaxListAge(testMaxListAge)
			})
			r.requireNotRun(t)
			assert.Zero(t, arrivals.Load())
		})
	}
}

// Behind a network partition, a replica that leaves and one whose entry expired both vanish
// from the list. Only the one that leaves closes its connections.
func TestUnconfirmedReplicaClosingConnectionsExcluded(t *testing.T) {
	tests := map[string]struct {
		closes bool
		want   int
	}{
		"stays":  {false, http.StatusOK},
		"leaves": {true, http.StatusServiceUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
				if test.closes {
					w.Header().Set("Connection", "close")
				}
				fmt.Fprint(w, "ok")
			})
			r := newEmptyRig(t, address, "gone:1")
			r.setMaxListAge(testMaxListAge)
			config := r.source.snapshot.Config
			r.watcher.ApplySnapshot(r.source.snapshot, time.Now().Add(-testListAge))
			r.source.fail(assert.AnError)
			require.Error(t, r.watcher.RefreshList(t.Context(), time.Now()))
			require.True(t, r.watcher.StoreUnavailable(testMaxListAge, time.Now()))
			r.watcher.ApplySnapshot(watch.Snapshot{Config: config}, time.Now())
			response, text, err := r.send(t, "POST", "/repeat/x", "")
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, response.StatusCode, text)
			response, text, err = r.send(t, "POST", "/repeat/x", "")
			require.NoError(t, err)
			assert.Equal(t, test.want, response.StatusCode, text)
		})
	}
}

// The log of a choice says if no list names the replica any more.
func TestChoiceLogMarksUnconfirmedReplica(t *testing.T) {
	r := newEmptyRig(t, "one:1", "two:1")
	var written bytes.Buffer
	r.front.log = event.New(&written, "here", logrus.InfoLevel)
	c := &call{front: r.front, id: "id-1"}
	choice := balance.Choice{Replica: r.source.snapshot.Replicas[0]}
	listed, unlisted := r.source.snapshot, r.source.snapshot
	unlisted.Replicas = nil
	r.watcher.ApplySnapshot(listed, time.Now().Add(-2*testListAge))
	c.logChoice(choice)
	assert.NotContains(t, written.String(), "unconfirmed_ms")
	r.watcher.ApplySnapshot(unlisted, time.Now().Add(-testListAge))
	c.logChoice(choice)
	assert.Regexp(t, `"event":410,.*"unconfirmed_ms":6\d{4}`, written.String())
}
