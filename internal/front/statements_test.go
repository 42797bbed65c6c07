package front

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/retryafter"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/pkg/directory"
)

// scriptedReplica answers 200 or as set by the test, and counts requests.
type scriptedReplica struct {
	address  string
	arrivals *atomic.Int32
	answer   atomic.Pointer[http.HandlerFunc]
}

func newScriptedReplica(t *testing.T) *scriptedReplica {
	t.Helper()
	r := &scriptedReplica{}
	r.setAnswer(answerOK)
	r.address, r.arrivals = replica(t, func(w http.ResponseWriter, q *http.Request) { (*r.answer.Load())(w, q) })
	return r
}

func (r *scriptedReplica) setAnswer(answer http.HandlerFunc) { r.answer.Store(&answer) }

func answerLeaving(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Leaving", "1")
	fmt.Fprint(w, "ok")
}

// answerResting refuses a request and asks for a rest, with or without the header that says
// that the request has not run.
func answerResting(retryAfter string, marked bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", retryAfter)
		if marked {
			w.Header().Set("Not-Run", "resting")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// advanceClock advances the apparent time by d until the test ends.
func advanceClock(t *testing.T, d time.Duration) {
	t.Helper()
	t.Cleanup(steady.Pretend(d))
}

// sendMany sends n requests and returns how many were served.
func (r *rig) sendMany(t *testing.T, n int) (served int) {
	t.Helper()
	for range n {
		response, _, err := r.send(t, "POST", "/repeat/x", "")
		require.NoError(t, err)
		if response.StatusCode == http.StatusOK {
			served++
		}
	}
	return served
}

// sendUntil sends requests until the replica has received one.
func (r *rig) sendUntil(t *testing.T, has *scriptedReplica) {
	t.Helper()
	const most = 1000
	for n := 0; has.arrivals.Load() == 0; n++ {
		require.Less(t, n, most, "the replica gets no request")
		r.sendMany(t, 1)
	}
	has.arrivals.Store(0)
}

const manyRequests = 40

// Guards against requests to a replica whose answer announced its shutdown, past the drain
// time, whatever the list says about it and whether or not a list can be read.
func TestShutdownAnnouncementExcludesReplica(t *testing.T) {
	tests := map[string]func(t *testing.T, r *rig){
		"listed as ready": func(t *testing.T, r *rig) { r.addReplicas(t) },
		"listed by an older read": func(t *testing.T, r *rig) {
			require.NoError(t, r.watcher.ApplySnapshot(r.source.snapshot, steady.Now().Add(-time.Millisecond)))
		},
		"the store answers nobody": func(t *testing.T, r *rig) {
			r.source.fail(assert.AnError)
			require.Error(t, r.watcher.RefreshList(t.Context(), steady.Now()))
		},
		"its entry lapsed and came back": func(t *testing.T, r *rig) {
			all := r.source.snapshot
			without := all
			without.Replicas = all.Replicas[1:]
			require.NoError(t, r.watcher.ApplySnapshot(without, steady.Now()))
			require.NoError(t, r.watcher.ApplySnapshot(all, steady.Now()))
		},
	}
	for name, happens := range tests {
		t.Run(name, func(t *testing.T) {
			leaves, stays := newScriptedReplica(t), newScriptedReplica(t)
			r := newRig(t, leaves.address, stays.address)
			r.setMaxListAge(testMaxListAge)
			leaves.setAnswer(answerLeaving)
			r.sendUntil(t, leaves)
			advanceClock(t, testMaxListAge)
			happens(t, r)
			assert.Equal(t, manyRequests, r.sendMany(t, manyRequests))
			assert.Zero(t, leaves.arrivals.Load())
		})
	}
}

// Guards against refusing requests that the last replica of a service can still serve, and
// against sending to it past the drain time.
func TestLastReplicaServesUntilDrainBound(t *testing.T) {
	leaves := newScriptedReplica(t)
	r := newRig(t, leaves.address)
	r.setMaxListAge(testMaxListAge)
	leaves.setAnswer(answerLeaving)
	r.sendUntil(t, leaves)
	advanceClock(t, testMaxListAge/2)
	assert.Equal(t, manyRequests, r.sendMany(t, manyRequests), "within the bound")
	leaves.arrivals.Store(0)
	advanceClock(t, testMaxListAge/2)
	r.requireNotRun(t)
	assert.Zero(t, leaves.arrivals.Load())
}

// Guards against excluding a replica that restarted under its id after it announced its
// shutdown or asked for a rest.
func TestRestartedReplicaServesAgain(t *testing.T) {
	for name, says := range map[string]http.HandlerFunc{"shutdown": answerLeaving, "rest": answerResting("1e9", true)} {
		t.Run(name, func(t *testing.T) {
			leaves, stays := newScriptedReplica(t), newScriptedReplica(t)
			r := newRig(t, leaves.address, stays.address)
			r.setMaxListAge(testMaxListAge)
			started := func(born int64) {
				r.source.mu.Lock()
				r.source.snapshot.Replicas = slices.Clone(r.source.snapshot.Replicas)
				r.source.snapshot.Replicas[0].Born = born
				snapshot := r.source.snapshot
				r.source.mu.Unlock()
				require.NoError(t, r.watcher.ApplySnapshot(snapshot, steady.Now()))
			}
			started(1)
			leaves.setAnswer(says)
			r.sendUntil(t, leaves)
			leaves.setAnswer(answerOK)
			advanceClock(t, testMaxListAge)
			started(2)
			r.sendUntil(t, leaves)
		})
	}
}

// Guards against taking statements of a replica that now has the address for those of the
// replica that had it before.
func TestMisdirectedAnswerIsNoStatement(t *testing.T) {
	other := newScriptedReplica(t)
	r := newRig(t, other.address)
	other.setAnswer(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Leaving", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	r.requireNotRun(t)
	assert.Zero(t, r.watcher.Statements().Get("r0"))
}

// Guards against requests to a replica during a rest that it asked for, and against sending
// none after it.
func TestRestingReplicaExcludedUntilEnd(t *testing.T) {
	tests := map[string]struct {
		retryAfter string
		marked     bool
		rest       time.Duration
	}{
		"seconds":                       {"100", true, 100 * time.Second},
		"seconds, without the mark":     {"100", false, 100 * time.Second},
		"a fraction":                    {"99.5", true, 99500 * time.Millisecond},
		"more than the longest allowed": {"1e300", true, retryafter.MaxRest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			rests, serves := newScriptedReplica(t), newScriptedReplica(t)
			r := newRig(t, rests.address, serves.address)
			rests.setAnswer(answerResting(test.retryAfter, test.marked))
			before := steady.Now()
			r.sendUntil(t, rests)
			after := steady.Now()
			end := r.watcher.Statements().Get("r0").RestUntil
			assert.WithinRange(t, end, before.Add(test.rest), after.Add(test.rest))
			_, excluded := r.front.Exclusion("r0", end.Add(-time.Nanosecond))
			assert.True(t, excluded, "until its end")
			_, excluded = r.front.Exclusion("r0", end)
			assert.False(t, excluded, "from its end on")
			// The requests have to be sent before the end.
			const left = 90 * time.Second
			advanceClock(t, test.rest-left)
			r.addReplicas(t)
			assert.Equal(t, manyRequests, r.sendMany(t, manyRequests), "the other replica serves")
			assert.Zero(t, rests.arrivals.Load())
			rests.setAnswer(answerOK)
			advanceClock(t, left)
			r.addReplicas(t)
			r.sendUntil(t, rests)
		})
	}
}

// Guards against a rest that ends early because a shorter one was asked for later.
func TestLatestRestEndHolds(t *testing.T) {
	now := steady.Now()
	s := directory.NewStatements()
	assert.True(t, s.MarkResting("a", now, now.Add(5*time.Second), now))
	assert.False(t, s.MarkResting("a", now, now.Add(2*time.Second), now.Add(time.Second)))
	assert.Equal(t, now.Add(5*time.Second), s.Get("a").RestUntil)
}

// Guards against holding a request, or sending a wrong Retry-After, while all replicas of its
// service rest, and against all callers retrying at once.
func TestRetryAfterWhileAllReplicasRest(t *testing.T) {
	first, second := newScriptedReplica(t), newScriptedReplica(t)
	r := newRig(t, first.address, second.address)
	first.setAnswer(answerResting("40", true))
	second.setAnswer(answerResting("80", true))
	r.sendUntil(t, first)
	r.sendUntil(t, second)
	advanceClock(t, 10*time.Second)
	told := make(map[string]bool)
	for range manyRequests {
		response, _, err := r.send(t, "POST", "/repeat/x", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.Greater(t, after, 25.0)
		assert.Less(t, after, 40.0)
		told[response.Header.Get("Retry-After")] = true
	}
	assert.Greater(t, len(told), manyRequests/2, "the times are spread")
	assert.Zero(t, first.arrivals.Load()+second.arrivals.Load())
}

// Guards against writing a request whose replica announces its shutdown or asks for a rest
// while the connection is opened.
func TestStatementDuringConnectPreventsWrite(t *testing.T) {
	for name, says := range map[string]func(s *directory.Statements){
		"shutdown": func(s *directory.Statements) { s.MarkDraining("r0", steady.Now(), steady.Now()) },
		"rest": func(s *directory.Statements) {
			s.MarkResting("r0", steady.Now(), steady.Now().Add(retryafter.MaxRest), steady.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			replica, other := newScriptedReplica(t), newScriptedReplica(t)
			r := newRig(t, replica.address, other.address)
			r.setMaxListAge(testMaxListAge)
			r.onConnect(func() {
				if replica.arrivals.Load()+other.arrivals.Load() == 0 {
					says(r.watcher.Statements())
				}
			})
			assert.Equal(t, manyRequests, r.sendMany(t, manyRequests))
			assert.Zero(t, replica.arrivals.Load())
		})
	}
}

// Guards against ignoring a rest that the answer to a query of the router's own asks for, and
// against taking an announced shutdown from such an answer.
func TestRestFromRouterQueryHolds(t *testing.T) {
	rests, serves := newScriptedReplica(t), newScriptedReplica(t)
	r := newRig(t, rests.address, serves.address)
	header := http.Header{"Retry-After": {"100"}, "Leaving": {"1"}}
	r.front.RecordRest("r0", steady.Now(), &http.Response{StatusCode: http.StatusServiceUnavailable, Header: header})
	assert.Equal(t, manyRequests, r.sendMany(t, manyRequests))
	assert.Zero(t, rests.arrivals.Load())
	advanceClock(t, 101*time.Second)
	r.sendUntil(t, rests)
}

// Guards against a log that omits which replicas were excluded, and why.
func TestChoiceLogNamesExclusions(t *testing.T) {
	serves := newScriptedReplica(t)
	r := newRig(t, "127.0.0.1:1", serves.address, "127.0.0.1:2")
	var written bytes.Buffer
	r.front.log = event.New(&written, "here", logrus.InfoLevel)
	r.setMaxListAge(testMaxListAge)
	now := steady.Now()
	r.watcher.Statements().MarkDraining("r0", now, now)
	r.watcher.Statements().MarkResting("r2", now, now.Add(time.Hour), now)
	require.Equal(t, 1, r.sendMany(t, 1))
	assert.Contains(t, written.String(), "r0: announced its shutdown")
	assert.Contains(t, written.String(), "r2: asked for rest")
}
