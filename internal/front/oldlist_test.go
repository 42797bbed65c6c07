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

// The incident: a replica had declared that it leaves, and the users' store had
// acknowledged that. A router behind a narrow link, whose reads came late, sent the
// replica a request 3.06 s later; 3 s was the bound. It waited a moment for a newer
// list and then went by the old one, whatever its age.

// Ages of the lists in these tests, and the greatest at which requests are sent.
const (
	testListAge   = time.Minute
	testListProof = 10 * time.Second
)

func answerOK(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") }

// wantNotRun checks that a request was refused in a way that promises that it has
// not run.
func (r *rig) wantNotRun(t *testing.T) {
	t.Helper()
	response, _, err := r.send(t, "POST", "/repeat/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"), "it has not run and may come again")
}

// onceConnected does something when a connection to a replica has been opened, before
// the request is written.
func (r *rig) onceConnected(do func()) {
	r.front.pool = upstream.New(upstream.Options{
		IDHeader:       "Try",
		DialTimeout:    time.Second,
		SilenceTimeout: 10 * time.Second,
		IdleTime:       time.Minute,
		Opened:         func(string) { do() },
	})
}

func TestNothingIsSentByAListThatIsTooOld(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.setListProof(testListProof)
	r.source.fallSilent()
	r.wantNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// The list may become too old while a connection is opened, after the choice.
func TestTheAgeOfTheListIsLookedAtAgainOnceConnected(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.setListProof(2 * testListAge)
	r.onceConnected(func() {
		r.source.fallSilent()
		r.setListProof(testListProof)
	})
	r.wantNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// A replica that answers without closing its connection has not said that it leaves.
// One that leaves, or another that stands at its address, shows nothing.
func TestAReplicaThatShowsThatItStaysIsUsedDespiteAnOldList(t *testing.T) {
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
			address, _ := rawReplica(t, test.answer, whole("id-1", "later"))
			r := newAgedRig(t, testListAge, address)
			r.setListProof(2 * testListAge)
			_, _, err := r.send(t, "POST", "/single/x", "")
			require.NoError(t, err)
			r.source.fallSilent()
			r.setListProof(testListProof)
			response, _, err := r.send(t, "POST", "/single/x", "")
			require.NoError(t, err)
			assert.Equal(t, test.want, response.StatusCode)
		})
	}
}

// A key's proof, too, may become too old while a connection is opened.
func TestTheAgeOfTheKeysProofIsLookedAtAgainOnceConnected(t *testing.T) {
	address, arrivals := replica(t, answerOK)
	r := newAgedRig(t, testListAge, address)
	r.onceConnected(func() {
		limits := *r.front.limits.Load()
		limits.MaxKeyProofAge, limits.MaxAbsenceProofAge = testListProof, testListProof
		r.front.SetLimits(limits)
		r.source.reportFailure(assert.AnError)
	})
	r.wantNotRun(t)
	assert.Zero(t, arrivals.Load())
}

// That a replica of another service is held back says nothing about a request that
// finds none of its own.
func TestAnotherServicesOldReplicaRefusesNothing(t *testing.T) {
	address, _ := replica(t, answerOK)
	r := newStillRig(t, address, "one:1", "two:1")
	own, foreign := r.source.snapshot.Replicas[0], r.source.snapshot.Replicas[1:]
	foreign[0].Service, foreign[1].Service = "t", "t"
	take := func(age time.Duration, list ...directory.Replica) {
		r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: list}, time.Now().Add(-age))
	}
	// Both of the other service vanished with the list: they keep their work for a while,
	// but were last listed long ago.
	take(testListAge, foreign...)
	take(0)
	r.setListProof(testListProof)
	require.Len(t, r.watcher.NotListedSince(time.Now().Add(-testListProof)), 2)
	response, text, err := r.send(t, "POST", "/single/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Contains(t, text, "no replica")
	take(0, own)
	response, text, err = r.send(t, "POST", "/single/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode, text)
}

// All replicas of a service were gone with one read, undeclared, and went on answering.
// The list was doubted, as after an outage, though the source had answered all along.
func TestReplicasThatVanishUndeclaredGetNothingPastTheBound(t *testing.T) {
	first, arrivals := replica(t, answerOK)
	second, arrivalsToo := replica(t, answerOK)
	r := newStillRig(t, first, second)
	list := r.source.snapshot.Replicas
	take := func(age time.Duration, list ...directory.Replica) {
		r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: list}, time.Now().Add(-age))
	}
	take(testListAge, list...)
	take(0)
	require.Len(t, r.watcher.Replicas(), len(list), "they are doubted")
	for _, gone := range list {
		r.watcher.Statements().MarkServing(gone.ID, time.Now(), time.Now())
	}
	r.setListProof(testListProof)
	r.wantNotRun(t)
	assert.Zero(t, arrivals.Load()+arrivalsToo.Load())
}

// While a connection is opened a newer list may come, which says that the replica leaves
// or has left. By then the one that named it may be older than any that may be used.
func TestAReplicaThatLeavesWhileItIsConnectedToGetsNothing(t *testing.T) {
	for name, state := range map[string]directory.State{"draining": directory.Draining, "gone": directory.Ready} {
		t.Run(name, func(t *testing.T) {
			address, arrivals := replica(t, answerOK)
			r := newAgedRig(t, testListAge, address)
			r.setListProof(2 * testListAge)
			newer := slices.Clone(r.source.snapshot.Replicas)
			newer[0].State = state
			if name == "gone" {
				// It is no outage: one of three.
				others := []directory.Replica{{ID: "a", Service: "t"}, {ID: "b", Service: "t"}}
				newer = others
			}
			r.onceConnected(func() {
				r.watcher.ApplySnapshot(watch.Snapshot{Config: r.source.snapshot.Config, Replicas: newer}, time.Now())
				r.setListProof(testListProof)
			})
			r.wantNotRun(t)
			assert.Zero(t, arrivals.Load())
		})
	}
}

// Behind a cut, a replica that leaves and one whose entry lapsed both vanish from the list. That
// it closes its connections tells the first from the second.
func TestAnUnconfirmedReplicaThatClosesItsConnectionsGetsNothingMore(t *testing.T) {
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
			r := newStillRig(t, address, "gone:1")
			r.setListProof(testListProof)
			config := r.source.snapshot.Config
			r.watcher.ApplySnapshot(r.source.snapshot, time.Now().Add(-testListAge))
			r.source.reportFailure(assert.AnError)
			require.Error(t, r.watcher.RefreshList(t.Context(), time.Now()))
			require.True(t, r.watcher.StoreUnavailable(testListProof, time.Now()))
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

// That a request goes to a replica which no list names any more is told with the choice.
func TestAChoiceOfAnUnconfirmedReplicaIsLoggedAsSuch(t *testing.T) {
	r := newStillRig(t, "one:1", "two:1")
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
