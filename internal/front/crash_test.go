package front

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/brokenrequest"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/route"
)

// newAbortingReplica starts a replica that runs a handler, which may close the listener, and
// then aborts the connection.
func newAbortingReplica(t *testing.T, handler func(l net.Listener, w http.ResponseWriter)) string {
	t.Helper()
	// Once it has ended, no other process may listen at its address.
	listener, err := faulty.Listen()
	require.NoError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{}}
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Try", r.Header.Get("Try"))
		handler(server.Listener, w)
		panic(http.ErrAbortHandler)
	})
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func TestCrashDistinguishedFromLostAnswer(t *testing.T) {
	tests := map[string]struct {
		handler func(l net.Listener, w http.ResponseWriter)
		ended   bool
	}{
		"no answer, still serving": {handler: func(net.Listener, http.ResponseWriter) {}},
		"half an answer, still serving": {handler: func(_ net.Listener, w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
		}},
		"no answer, process ended": {handler: func(l net.Listener, _ http.ResponseWriter) { l.Close() }, ended: true},
		"half an answer, process ended": {handler: func(l net.Listener, w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			l.Close()
		}, ended: true},
		"end of the answer unknown, still serving": {handler: func(_ net.Listener, w http.ResponseWriter) { writeUndelimited(w) }},
		"end of the answer unknown, process ended": {handler: func(l net.Listener, w http.ResponseWriter) {
			l.Close()
			writeUndelimited(w)
		}, ended: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, newAbortingReplica(t, test.handler))
			_, _, _ = r.send(t, http.MethodPost, "/single/x", "body")
			if test.ended {
				for r.log.Count(event.ReplicaEnded) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
			assert.Equal(t, test.ended, r.front.processState("r0", r.source.snapshot.Replicas[0].Address, steady.Now()) == upstream.Ended)
			assert.Equal(t, test.ended, r.log.Count(event.ReplicaEnded) == 1)
		})
	}
}

// recordCrashes records crashes against the request that send makes to path with body.
func (r *rig) recordCrashes(path, body string, crashes int) poison.Digest {
	digest := poison.NewDigest("acme", http.MethodPost, "h", path, []byte(body))
	r.front.poison.SetLimits(poison.Limits{Crashes: 3, Hold: time.Minute})
	for n := range crashes {
		r.front.poison.RecordCrash(digest, uint32(n+1), time.Now(), time.Now())
	}
	return digest
}

func TestPoisonRequestRefusedWithRetryAfter(t *testing.T) {
	address, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("whole")) })
	r := newRig(t, address)
	r.recordCrashes("/repeat/x", "deadly", 3)
	answer, _, err := r.send(t, http.MethodPost, "/repeat/x", "deadly")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	after, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.InDelta(t, time.Minute.Seconds(), after, 5)
	assert.Zero(t, arrivals.Load())
	for name, sent := range map[string][2]string{"another body": {"/repeat/x", "other"}, "another path": {"/repeat/y", "deadly"}, "no organisation": {"/open/x", "deadly"}} {
		answer, _, err := r.send(t, http.MethodPost, sent[0], sent[1])
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, answer.StatusCode, name)
	}
}

// The request becomes held while its connection is opened.
func TestPoisonRequestNotWritten(t *testing.T) {
	r := newRig(t, "127.0.0.1:1")
	c := newCall(r.front, nil, httptest.NewRequest(http.MethodPost, "http://h/single/x", nil), time.Now())
	require.NoError(t, c.checkBeforeWrite("r0", time.Now()))
	digest := c.digest()
	r.front.poison.SetLimits(poison.Limits{Crashes: 1, Hold: time.Minute})
	r.front.poison.RecordCrash(digest, 1, time.Now(), time.Now())
	assert.ErrorIs(t, c.checkBeforeWrite("r0", time.Now()), errNotAllowed)
}

// An attempt crashes the last replica that the request may crash. Guards against a further
// attempt, and against a refusal that says that the request has not run.
func TestHeldRequestNotRetried(t *testing.T) {
	deadly := newAbortingReplica(t, func(l net.Listener, _ http.ResponseWriter) { l.Close() })
	r := newRig(t, deadly)
	var more []directory.Replica
	for n := range 3 {
		more = append(more, directory.Replica{ID: fmt.Sprint("s", n), Service: "s", DataCentre: "here",
			Address: newAbortingReplica(t, func(l net.Listener, _ http.ResponseWriter) { l.Close() })})
	}
	r.addReplicas(t, more...)
	r.recordCrashes("/repeat/x", "deadly", 1)
	answer, _, err := r.send(t, http.MethodPost, "/repeat/x", "deadly")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, answer.StatusCode)
	assert.EqualValues(t, 1, r.log.Count(event.ReplicaEnded), "no retry after the second crash")
	answer, _, err = r.send(t, http.MethodPost, "/repeat/x", "deadly")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadGateway, answer.StatusCode)
	// The probe of the crashed replica may take longer than the answer waits for it.
	require.Eventually(t, func() bool { return r.log.Count(event.ReplicaEnded) >= 2 }, time.Minute, time.Millisecond)
	answer, _, err = r.send(t, http.MethodPost, "/repeat/x", "deadly")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	assert.EqualValues(t, 2, r.log.Count(event.ReplicaEnded))
}

// Guards against a crash that goes unrecorded because the probe after it shares the result of one
// that connected before.
func TestProbeAfterBreakBeginsAfterIt(t *testing.T) {
	r := newRig(t, "127.0.0.1:1")
	underWay, finish := make(chan struct{}), make(chan struct{})
	go func() {
		_, _, _ = r.front.probes.Do("r0", func() (any, error) {
			began := steady.Now()
			close(underWay)
			<-finish
			return probeResult{upstream.Listening, began}, nil
		})
	}()
	<-underWay
	state := make(chan upstream.ProcessState)
	go func() { state <- r.front.probePath("r0", "127.0.0.1:1", steady.Now()) }()
	time.Sleep(20 * time.Millisecond)
	close(finish)
	assert.Equal(t, upstream.Ended, <-state)
}

// writeUndelimited answers with neither a length nor chunks and closes the connection.
func writeUndelimited(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, undelimitedHead+"\r\nhalf")
	conn.Close()
}

func TestOnlyCompleteAnswerClearsCrashes(t *testing.T) {
	failures := []func(w http.ResponseWriter){
		func(w http.ResponseWriter) {
			_, _ = w.Write([]byte("half"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		writeUndelimited,
	}
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		if len(failures) == 0 {
			_, _ = w.Write([]byte("whole"))
			return
		}
		fail := failures[0]
		failures = failures[1:]
		fail(w)
	})
	r := newRig(t, address)
	digest := r.recordCrashes("/single/x", "body", 2)
	for len(failures) > 0 {
		_, _, _ = r.send(t, http.MethodPost, "/single/x", "body")
		assert.Equal(t, poison.Suspected, r.front.poison.Check(digest, time.Now()).State)
	}
	_, _, err := r.send(t, http.MethodPost, "/single/x", "body")
	require.NoError(t, err)
	for r.front.poison.Check(digest, time.Now()).State != poison.Allowed {
		time.Sleep(time.Millisecond)
	}
}

func TestSuspectRunsAloneAndTrialAtOneRouter(t *testing.T) {
	begun, finish := make(chan struct{}), make(chan struct{})
	address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
	})
	r := newRig(t, address)
	r.recordCrashes("/single/x", "body", 2)
	first := make(chan int)
	go func() {
		answer, _, err := r.send(t, http.MethodPost, "/single/x", "body")
		if err != nil {
			first <- 0
			return
		}
		first <- answer.StatusCode
	}()
	<-begun
	answer, _, err := r.send(t, http.MethodPost, "/single/x", "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
	close(finish)
	assert.Equal(t, http.StatusOK, <-first)

	digest := r.recordCrashes("/single/y", "body", 3)
	r.front.poison.SetLimits(poison.Limits{Crashes: 3})
	r.front.options.OwnsTask = func(task string) bool { return task != digest.String() }
	answer, _, err = r.send(t, http.MethodPost, "/single/y", "body")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "another router tries it")
}

// A crash may go unseen because a proxy still accepts connections, or because the replica is
// back at once. Its reported start, or the removal of its entry, then reveals the crash.
func TestUnseenCrashInferredFromRestartOrRemoval(t *testing.T) {
	tests := map[string]struct {
		state upstream.ProcessState
		after time.Duration
		tell  func(f *Front, now time.Time)
		marks int
	}{
		"it started again":                 {upstream.Listening, time.Second, func(f *Front, now time.Time) { f.ReplicaRestarted("a", now) }, 1},
		"another one started again":        {upstream.Listening, time.Second, func(f *Front, now time.Time) { f.ReplicaRestarted("b", now) }, 0},
		"it started again much later":      {upstream.Listening, time.Minute, func(f *Front, now time.Time) { f.ReplicaRestarted("a", now) }, 0},
		"its entry was removed":            {upstream.Rejecting, 4 * time.Second, func(f *Front, now time.Time) { f.ReplicaRemoved("a", now) }, 1},
		"its entry expired in a partition": {upstream.Unreachable, 4 * time.Second, func(f *Front, now time.Time) { f.ReplicaRemoved("a", now) }, 0},
		"it started again in a partition":  {upstream.Unreachable, 4 * time.Second, func(f *Front, now time.Time) { f.ReplicaRestarted("a", now) }, 1},
		"it still ran, and left later":     {upstream.Listening, 4 * time.Second, func(f *Front, now time.Time) { f.ReplicaRemoved("a", now) }, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := newEmptyRig(t)
			r.front.poison.SetLimits(poison.Limits{Crashes: 3, Hold: time.Minute})
			now := time.Now()
			digest := poison.NewDigest("acme", "POST", "h", "/", nil)
			r.front.broken.Note("a", brokenrequest.Request{Digest: digest, At: now, State: test.state}, now)
			test.tell(r.front, now.Add(test.after))
			test.tell(r.front, now.Add(test.after))
			assert.Equal(t, test.marks, r.front.poison.Check(digest, now).Crashes)
		})
	}
}

func TestRestartClearsStatements(t *testing.T) {
	r := newEmptyRig(t)
	now := time.Now()
	r.watcher.Statements().MarkServing("a", now, now)
	r.front.ReplicaRestarted("a", now)
	assert.Zero(t, r.watcher.Statements().Get("a"))
}

// Guards against counting a crash against a request in flight when a replica ends after it
// announced its shutdown: the third crash has the request refused everywhere.
func TestPlannedShutdownRecordsNoCrash(t *testing.T) {
	for name, marks := range map[string]bool{"announced": false, "at rest": true, "neither": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "127.0.0.1:1")
			now := steady.Now()
			switch name {
			case "announced":
				r.watcher.Statements().MarkDraining("r0", now, now)
			case "at rest":
				r.watcher.Statements().MarkResting("r0", now, now.Add(time.Hour), now)
			}
			request := httptest.NewRequest(http.MethodPost, "/repeat/x", nil)
			c := &call{front: r.front, request: request, route: &route.Route{}, sentAt: now}
			c.recordBroken(balance.Choice{Replica: r.source.snapshot.Replicas[0]})
			if c.probed != nil {
				<-c.probed
			}
			assert.Equal(t, marks, r.front.poison.HasMarks())
		})
	}
}

// Guards against crashes that no router counts because the request crashed all replicas at once: a
// refused connection may be a lost path while no other replica is reached.
func TestCrashOfLastReplicaIsRecorded(t *testing.T) {
	tests := map[string]struct {
		// again: the last replica listens again. others: another replica is reached.
		again, removed, others bool
		crashes                int
	}{
		"another one is reached":             {others: true, crashes: 2},
		"it has left the list by then":       {removed: true, others: true, crashes: 2},
		"none is reached":                    {crashes: 1},
		"its path was lost, and is back":     {again: true, others: true, crashes: 1},
		"the same, and it has left the list": {again: true, removed: true, others: true, crashes: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			ended := make(chan net.Listener, 2)
			var r *rig
			var crashed atomic.Int32
			crash := func(l net.Listener, _ http.ResponseWriter) {
				if crashed.Add(1) > 1 {
					// The end of the first one is seen while this one is reached. The retry does not
					// wait for that longer than probeWait.
					for r.log.Count(event.ReplicaEnded) == 0 {
						time.Sleep(time.Millisecond)
					}
				}
				l.Close()
				ended <- l
			}
			r = newRig(t, newAbortingReplica(t, crash), newAbortingReplica(t, crash))
			_, _, _ = r.send(t, http.MethodPost, "/repeat/x", "body")
			<-ended
			lastAddress := (<-ended).Addr().String()
			await := func(condition func() bool) {
				require.Eventually(t, condition, 5*time.Second, time.Millisecond)
			}
			await(func() bool {
				return r.log.Count(event.ReplicaEnded) == 1 && len(r.front.broken.Refused(steady.Now())) == 1
			})
			var last string
			for id := range r.front.broken.Refused(steady.Now()) {
				last = id
			}
			if test.again {
				l, err := net.Listen("tcp", lastAddress)
				require.NoError(t, err)
				t.Cleanup(func() { l.Close() })
			}
			if test.removed {
				r.front.ReplicaRemoved(last, steady.Now())
			}
			if test.others {
				address, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
				r.addReplicas(t, directory.Replica{ID: "r2", Service: "s", Address: address, DataCentre: "here"})
				require.Equal(t, upstream.Listening, r.front.probePath("r2", address, steady.Now()))
			}
			r.front.ProbeLostPaths()
			r.front.lostPathProbes.Wait()
			assert.Equal(t, test.others, len(r.front.broken.Refused(steady.Now())) == 0)
			assert.EqualValues(t, test.crashes, r.log.Count(event.ReplicaEnded))
		})
	}
}
