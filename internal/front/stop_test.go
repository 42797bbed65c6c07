package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/front/relayheader"
	"github.com/croftyard/croftyard/pkg/route"
)

// shutDownWith starts a shutdown that callers can know of already or cannot, with a longest
// recent request of each route, or none known if it is 0.
func (r *rig) shutDownWith(announced bool, cutIn, longest time.Duration) {
	now := time.Now()
	for _, route := range r.holder.Current().Table.Config().Routes {
		if longest > 0 {
			r.front.longestDurations.Record(route.Name, longest, now)
		}
	}
	at := now.Add(time.Hour)
	if announced {
		at = now
	}
	r.front.BeginShutdown(at, now.Add(cutIn))
}

// Guards against a request that is taken during a shutdown because recent ones were short, takes
// longer than they did, and is aborted: its caller loses all but the end of its answer.
func TestShutdownRefusesRequestsItCouldAbort(t *testing.T) {
	const short, long = time.Millisecond, 50 * time.Second
	for _, test := range []struct {
		name string
		// cutIn is the time left, longest the route's longest recent duration, deadline that of
		// the caller.
		announced      bool
		cutIn, longest time.Duration
		deadline       string
		status         int
	}{
		{"expected to end", false, long, short, "", http.StatusOK},
		{"expected to be cut", false, long, long, "", http.StatusServiceUnavailable},
		{"nothing is known of the route", false, long, 0, "", http.StatusServiceUnavailable},
		{"nothing is known, its own time ends before", false, time.Hour, 0, "", http.StatusOK},
		{"announced, expected to end", true, long, short, "", http.StatusServiceUnavailable},
		{"announced, its own time ends before", true, time.Hour, long, "", http.StatusOK},
		{"announced, its caller's time ends before", true, long, long, "9000", http.StatusOK},
		{"announced, its caller's time ends after", true, long, short, "55000", http.StatusServiceUnavailable},
	} {
		for _, path := range []string{"/once/", "/repeat/", "/stream/", "/resumable/"} {
			t.Run(test.name+path, func(t *testing.T) {
				address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
				r := newRig(t, address)
				r.shutDownWith(test.announced, test.cutIn, test.longest)
				var header []string
				if test.deadline != "" {
					header = []string{"Left", test.deadline}
				}
				response, _, err := r.send(t, "POST", path, "", header...)
				require.NoError(t, err)
				assert.Equal(t, test.status, response.StatusCode)
				assert.True(t, response.Close)
				if test.status != http.StatusOK {
					assert.Zero(t, arrivals.Load(), "not run, as the refusal says")
					assert.NotEmpty(t, response.Header.Get("Retry-After"))
				}
			})
		}
	}
}

// Guards against a request that is aborted although the shutdown was checked when its head
// arrived: it goes to a replica later, after its body, a rejection or a failure.
func TestShutdownCheckedBeforeEachAttempt(t *testing.T) {
	const short, long, cutIn = time.Millisecond, 50 * time.Second, 50 * time.Second
	rejection := "HTTP/1.1 503 Busy\r\nTry: id-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	ok := completeAnswer("id-1", "ok")
	for _, test := range []struct {
		name, path string
		// first is the answer to the first attempt, before which the shutdown begins; if it is
		// empty, the shutdown begins before the end of the request's body.
		first    string
		longest  time.Duration
		status   int
		attempts int
	}{
		{"slow body", "/once/", "", short, http.StatusServiceUnavailable, 0},
		{"slow body of a stream", "/stream/", "", short, http.StatusServiceUnavailable, 0},
		{"rejected", "/once/", rejection, short, http.StatusServiceUnavailable, 1},
		{"broken off, expected to end", "/repeat/", "!", short, http.StatusOK, 2},
		{"broken off, expected to be cut", "/repeat/", "!", long, http.StatusBadGateway, 1},
		{"a stream broken off, expected to be cut", "/resumable/", "!", long, http.StatusBadGateway, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var r *rig
			attempts := 0
			var once sync.Mutex
			handler := func(w http.ResponseWriter, _ *http.Request) {
				once.Lock()
				defer once.Unlock()
				attempts++
				answer := ok
				if attempts == 1 && test.first != "" {
					r.shutDownWith(true, cutIn, test.longest)
					answer = test.first
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if !assert.NoError(t, err) {
					return
				}
				defer c.Close()
				text, _ := strings.CutSuffix(answer, "!")
				_, _ = io.WriteString(c, text)
			}
			one, _ := replica(t, handler)
			other, _ := replica(t, handler)
			r = newRig(t, one, other)
			body, end := io.Pipe()
			go func() {
				_, _ = io.WriteString(end, "x")
				if test.first == "" {
					assert.Eventually(t, func() bool { return r.front.Held().Used() > 0 }, time.Minute, time.Millisecond)
					r.shutDownWith(true, cutIn, test.longest)
				}
				end.Close()
			}()
			response := r.post(t.Context(), test.path, body)
			require.NotNil(t, response)
			assert.Equal(t, test.status, response.StatusCode)
			assert.Equal(t, test.attempts, attempts)
		})
	}
}

// Guards against aborting a stream whose replica broke off: its caller would lose what it has
// read, and gains nothing by a refusal.
func TestBegunStreamResumesDuringShutdown(t *testing.T) {
	asked := make(chan *http.Request, 2)
	head := "HTTP/1.1 200 OK\r\nTry: id-1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	first, last := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	var r *rig
	answers := inTurn(t, asked, fmt.Sprintf("%s%x\r\n%s\r\n", head, len(first), first), fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", head, len(last), last))
	handler := func(w http.ResponseWriter, request *http.Request) {
		r.shutDownWith(true, time.Second, time.Hour)
		answers(w, request)
	}
	one, _ := replica(t, handler)
	other, _ := replica(t, handler)
	r = newRig(t, one, other)
	_, body, err := r.send(t, "POST", "/resumable/", "")
	require.NoError(t, err)
	assert.Equal(t, first+last, body)
}

// Guards against ending an attempt at a silent replica for a retry that the shutdown refuses.
func TestShutdownKeepsSilentAttempt(t *testing.T) {
	for name, test := range map[string]struct {
		longest time.Duration
		begun   bool
		moves   bool
	}{
		"expected to end":               {time.Millisecond, false, true},
		"expected to be cut":            {time.Hour, false, false},
		"a begun stream is always kept": {time.Hour, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "127.0.0.1:1", "127.0.0.1:2")
			r.shutDownWith(true, time.Minute, test.longest)
			c := silentCall(r, route.Repeatable, 2, time.Hour)
			c.route.Name, c.headSent = "repeat", test.begun
			ctx, cancel := context.WithCancelCause(context.Background())
			defer cancel(nil)
			c.failover(time.Second, cancel)()
			assert.Equal(t, test.moves, context.Cause(ctx) == errSilent)
		})
	}
}

// Guards against relayed requests that a router takes although it stops and could abort them.
func TestShutdownRefusesRelayedRequests(t *testing.T) {
	for deadline, status := range map[string]int{"9000": http.StatusOK, "55000": http.StatusServiceUnavailable} {
		address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
		r := newRig(t, address)
		r.shutDownWith(true, 50*time.Second, time.Millisecond)
		request := httptest.NewRequest(http.MethodPost, "http://h/stream/x", nil)
		for name, value := range map[string]string{"Try": "id-1", "Authorization": "Key k1", "Left": deadline, relayheader.Service: "s", relayheader.Organisation: "acme"} {
			request.Header.Set(name, value)
		}
		recorder := httptest.NewRecorder()
		r.front.ServeRelayed(recorder, request)
		assert.Equal(t, status, recorder.Code)
		if status != http.StatusOK {
			assert.Equal(t, relayheader.Unable, recorder.Header().Get(relayheader.Result), "another router is asked")
			assert.Zero(t, arrivals.Load())
		}
	}
}

func TestCancelInFlightAnswersCallers(t *testing.T) {
	begun := make(chan struct{})
	address, _ := replica(t, func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	r := newRig(t, address)
	go func() {
		<-begun
		r.front.CancelInFlight()
	}()
	response, _, err := r.send(t, "POST", "/once/", "")
	require.NoError(t, err, "an answer, not a closed connection")
	assert.Equal(t, http.StatusBadGateway, response.StatusCode, "it may have run")
	response, _, err = r.send(t, "POST", "/once/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "it has not run")
}

// A request that arrives after the cut is refused before it is sent. Guards against sending it
// first because only another goroutine cancels the request's context.
func TestNothingSentAfterCancelInFlight(t *testing.T) {
	const requests = 500
	address, arrivals := replica(t, func(http.ResponseWriter, *http.Request) {})
	r := newRig(t, address)
	response, _, err := r.send(t, "POST", "/once/", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, "the connection to the replica is idle")
	r.front.CancelInFlight()
	for range requests {
		response, _, err := r.send(t, "POST", "/once/", "")
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	}
	assert.EqualValues(t, 1, arrivals.Load())
}

// An answer may begin long after its request arrived: each answer that begins after the start
// of a shutdown announces it, not only those to requests that arrived later.
func TestAnswerBegunAfterShutdownClosesConnection(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			begun, finish := make(chan struct{}, 4), make(chan struct{})
			address, _ := replica(t, func(w http.ResponseWriter, _ *http.Request) {
				begun <- struct{}{}
				<-finish
				if status != http.StatusOK {
					w.Header().Set("Not-Run", "1")
					w.WriteHeader(status)
				}
			})
			r := newRig(t, address)
			go func() {
				<-begun
				r.front.BeginShutdown(time.Now(), time.Now().Add(time.Hour))
				close(finish)
			}()
			response, _, err := r.send(t, "POST", "/single/", "")
			require.NoError(t, err)
			assert.Equal(t, status, response.StatusCode)
			assert.True(t, response.Close, "the caller is told not to use the connection again")
		})
	}
}
