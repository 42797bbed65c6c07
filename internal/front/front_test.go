package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/route"
)

func TestRequestForwardedUnaltered(t *testing.T) {
	var got *http.Request
	var body string
	address, _ := replica(t, func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		got, body = r, string(text)
		w.Header().Set("Sign", "signed")
		w.WriteHeader(http.StatusAccepted)
		fmt.Fprint(w, "answer")
	})
	r := newRig(t, address)
	response, text, err := r.send(t, "POST", "/once/a%2Fb//c?x=1&y=%20", "payload",
		"Left", "5000", "Org", "forged", "Want", "forged", "Rank", "0", "Copy", "1.2.3.4:5", "X-Other", "kept")
	require.NoError(t, err)
	assert.Equal(t, http.StatusAccepted, response.StatusCode)
	assert.Equal(t, "answer", text)
	assert.Equal(t, "signed", response.Header.Get("Sign"))
	assert.Equal(t, "/once/a%2Fb//c?x=1&y=%20", got.RequestURI)
	assert.Equal(t, "payload", body)
	assert.Equal(t, "kept", got.Header.Get("X-Other"))
	assert.Equal(t, "acme", got.Header.Get("Org"))
	assert.Equal(t, "r0", got.Header.Get("Want"))
	assert.Empty(t, got.Header.Get("Copy"))
	assert.Empty(t, got.Header.Get("Rank"))
	assert.Empty(t, got.Header.Get("Authorization"), "the key is withheld")
	var left int
	_, err = fmt.Sscan(got.Header.Get("Left"), &left)
	require.NoError(t, err)
	assert.LessOrEqual(t, left, 5000)
	assert.Positive(t, left)
}

func TestNonRepeatableRequestSentOnce(t *testing.T) {
	for name, answer := range map[string]string{
		"closed without an answer":       "!",
		"half a head":                    "HTTP/1.1 200 O!",
		"promise without the mark":       "HTTP/1.1 503 Busy\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n",
		"answers of other requests only": strings.Repeat(completeAnswer("id-0", "x"), 5) + "!",
	} {
		t.Run(name, func(t *testing.T) {
			first, seen := rawReplica(t, answer)
			second, seenToo := rawReplica(t, answer)
			r := newRig(t, first, second)
			response, _, err := r.send(t, "POST", "/once/", "deposit")
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadGateway, response.StatusCode, "not refused as not run")
			assert.Empty(t, response.Header.Get("Sign"))
			assert.Equal(t, 1, len(seen)+len(seenToo))
		})
	}
}

func TestRequestNotRunIsRetried(t *testing.T) {
	notRun := "HTTP/1.1 503 Busy\r\nTry: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	misdirected := "HTTP/1.1 421 Other\r\nTry: id-1\r\nContent-Length: 0\r\n\r\n"
	for name, answer := range map[string]string{"not run": notRun, "misdirected": misdirected} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawReplica(t, answer, completeAnswer("id-1", "good"))
			other, _ := rawReplica(t, answer, completeAnswer("id-1", "good"))
			r := newRig(t, address, other)
			response, _, err := r.send(t, "POST", "/single/", "")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "one replica only")
			assert.NotEmpty(t, response.Header.Get("Retry-After"))
			assert.Empty(t, response.Header.Get("Sign"))
		})
	}
	busy, busyToo := 0, 0
	handler := func(count *int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			if busy+busyToo == 0 {
				*count++
				w.Header().Set("Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}
	}
	first, _ := replica(t, handler(&busy))
	second, _ := replica(t, handler(&busyToo))
	response, _, err := newRig(t, first, second).send(t, "POST", "/once/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, 1, busy+busyToo)
}

func TestRefusedConnectionCostsNoAttempt(t *testing.T) {
	listener, err := faulty.Listen()
	require.NoError(t, err)
	dead := listener.Addr().String()
	listener.Close()
	address, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, dead, dead, dead, address)
	response, _, err := r.send(t, "POST", "/single/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

func TestNoReplicaRefusedAtOnce(t *testing.T) {
	response, _, err := newRig(t).send(t, "POST", "/once/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
}

func TestEvacuatedServiceRefusedAtOnce(t *testing.T) {
	address, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	// No read of the source may end the evacuation that is applied below.
	r := newAgedRig(t, 0, address)
	waits := &call{front: r.front, service: &route.Service{Name: "s"}, route: &route.Route{Target: time.Hour}, arrival: time.Now()}
	assert.False(t, waits.evacuated(), "a replica may become available")
	snapshot := changedSnapshot(r, func(*route.Config) {})
	snapshot.Evacuated = []string{"here"}
	r.watcher.ApplySnapshot(snapshot, time.Now())
	assert.True(t, waits.evacuated())
	assert.False(t, waits.waitForReplica(t.Context()), "none will become available")
	response, body, err := r.send(t, "POST", "/repeat/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "refused as not run")
	assert.Contains(t, body, "evacuated")
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Zero(t, arrivals.Load())
	snapshot.Evacuated = nil
	r.watcher.ApplySnapshot(snapshot, time.Now())
	response, _, err = r.send(t, "POST", "/repeat/x", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
}

// Guards against a cold replica that gets requests beyond its rate, and against a limit that
// stays once the replica is warm.
func TestColdReplicaLimitedByColdRate(t *testing.T) {
	address, arrivals := replica(t, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ok") })
	// The source lists a warm replica, so that no read of it may follow the snapshots below.
	r := newAgedRig(t, 0, address)
	snapshot := changedSnapshot(r, func(c *route.Config) { c.Services[0].ColdRate = 1 })
	for entry, cold := range []bool{true, false} {
		snapshot.Replicas = slices.Clone(snapshot.Replicas)
		snapshot.Replicas[0].Entry = uint64(entry + 1)
		snapshot.Replicas[0].Cold, snapshot.Replicas[0].ColdLeft = cold, 0
		if cold {
			snapshot.Replicas[0].ColdLeft = time.Hour
		}
		r.watcher.ApplySnapshot(snapshot, time.Now())
		response, _, err := r.send(t, "POST", "/repeat/x", "")
		require.NoError(t, err)
		assert.Equal(t, cold, response.StatusCode == http.StatusServiceUnavailable, "no other router is known")
		assert.Equal(t, !cold, arrivals.Load() == 1)
	}
}

// changedSnapshot returns the rig's snapshot with a modified configuration.
func changedSnapshot(r *rig, change func(c *route.Config)) watch.Snapshot {
	config := *r.source.snapshot.Config
	config.Version++
	config.Routes = slices.Clone(config.Routes)
	config.Services = slices.Clone(config.Services)
	change(&config)
	return watch.Snapshot{Config: &config, Replicas: r.source.snapshot.Replicas}
}

func TestRequestFailingEverywhereBlamesNoReplica(t *testing.T) {
	failing := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	first, arrivals := replica(t, failing)
	second, arrivalsToo := replica(t, failing)
	r := newRig(t, first, second)
	response, _, err := r.send(t, "GET", "/repeat/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusInternalServerError, response.StatusCode)
	assert.EqualValues(t, 2, arrivals.Load()+arrivalsToo.Load())
	assert.False(t, r.front.balancer.Suspected("r0", time.Now()))
	assert.False(t, r.front.balancer.Suspected("r1", time.Now()))
}

func TestDuplicateAnswerNotTakenForNextRequest(t *testing.T) {
	// The answer to the second request follows a duplicate answer to the first.
	address, _ := rawReplica(t, completeAnswer("id-1", "first"), completeAnswer("id-1", "first")+completeAnswer("id-2", "second"))
	r := newRig(t, address)
	_, text, err := r.send(t, "POST", "/single/", "")
	require.NoError(t, err)
	assert.Equal(t, "first", text)
	_, text, err = r.send(t, "POST", "/single/", "", "Try", "id-2")
	require.NoError(t, err)
	assert.Equal(t, "second", text)
}

func TestTruncatedAnswerNotComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"with a length": "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Length: 100\r\n\r\nhalf!",
		"in chunks":     "HTTP/1.1 200 OK\r\nTry: id-1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n!",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := rawReplica(t, answer)
			_, _, err := newRig(t, address).send(t, "POST", "/single/", "")
			assert.Error(t, err)
		})
	}
}

func TestAnswerWithoutLengthEndsAtClose(t *testing.T) {
	address, _ := rawReplica(t, "HTTP/1.1 200 OK\r\nTry: id-1\r\n\r\nall of it!")
	_, text, err := newRig(t, address).send(t, "POST", "/single/", "")
	require.NoError(t, err)
	assert.Equal(t, "all of it", text)
}

func TestCallerDisconnectReachesReplica(t *testing.T) {
	begun, left := make(chan struct{}), make(chan struct{})
	address, _ := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(begun)
		<-r.Context().Done()
		close(left)
	})
	r := newRig(t, address)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, "POST", r.server.URL+"/once/", strings.NewReader("x"))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Authorization", "Key k1")
	go func() {
		<-begun
		cancel()
	}()
	_, err = http.DefaultTransport.RoundTrip(request)
	assert.Error(t, err)
	<-left
}

func TestRouteTimeoutEnforced(t *testing.T) {
	address, _ := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	})
	response, _, err := newRig(t, address).send(t, "POST", "/short/", "", "Left", "60000")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode, "it may have run")
}

func TestAnswerClosesConnectionDuringShutdown(t *testing.T) {
	address, _ := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	r.front.BeginShutdown(time.Now(), time.Now().Add(time.Hour))
	response, _, err := r.send(t, "POST", "/once/", "")
	require.NoError(t, err)
	assert.True(t, response.Close)
}

func TestHungRepeatableRequestRetried(t *testing.T) {
	var asked atomic.Int32
	serve := func(_ http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			<-r.Context().Done()
		}
	}
	first, _ := replica(t, serve)
	second, _ := replica(t, serve)
	response, _, err := newRig(t, first, second).send(t, "GET", "/repeat/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.EqualValues(t, 2, asked.Load())
}
