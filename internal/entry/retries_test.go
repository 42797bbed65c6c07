package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// arrivals counts what replicas receive of each service.
type arrivals struct {
	mu sync.Mutex
	// first holds the services of the requests that arrived, by id; requests and repeats are
	// counted by service.
	first    map[string]string
	requests map[string]int
	repeats  map[string]int
}

// add counts an arrival and returns its number among all first ones of its service, or 0 if
// the request arrived before.
func (a *arrivals) add(id, service string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, repeated := a.first[id]; repeated {
		a.repeats[service]++
		return 0
	}
	a.first[id] = service
	a.requests[service]++
	return a.requests[service]
}

// retryFleet is routers before replicas whose answers a test writes.
type retryFleet struct {
	*arrivals
	t       *testing.T
	bounds  settings.Bounds
	source  *source
	routers []*Entry
	client  *http.Client
	sent    atomic.Int64
}

// replicaAnswer writes a replica's answer to a request, whose number among the first arrivals of
// its service is 0 if it arrived before.
type replicaAnswer func(w http.ResponseWriter, r *http.Request, number int)

// How replicas fail.
func breaksOff(http.ResponseWriter, *http.Request, int) { panic(http.ErrAbortHandler) }
func errs(w http.ResponseWriter, _ *http.Request, _ int) {
	http.Error(w, "error", http.StatusInternalServerError)
}
func rejects(w http.ResponseWriter, _ *http.Request, _ int) {
	w.Header().Set("Not-Executed", "1")
	http.Error(w, "full", http.StatusServiceUnavailable)
}
func answers(w http.ResponseWriter, _ *http.Request, _ int) { fmt.Fprint(w, "whole") }

// newRetryFleet starts routers before three replicas of each service.
func newRetryFleet(t *testing.T, routers int, bounds settings.Bounds, services map[string]replicaAnswer) *retryFleet {
	t.Helper()
	f := &retryFleet{t: t, bounds: bounds, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		arrivals: &arrivals{first: make(map[string]string), requests: make(map[string]int), repeats: make(map[string]int)}}
	snapshot := watch.Snapshot{Config: &route.Config{Version: 1}}
	for name, answer := range services {
		snapshot.Config.Services = append(snapshot.Config.Services, route.Service{Name: name})
		shares := []route.Share{{Service: name, Weight: 1}}
		snapshot.Config.Routes = append(snapshot.Config.Routes,
			route.Route{Name: name, Host: "h", Prefix: "/" + name + "/", Kind: route.Repeatable, Attempts: 2, Timeout: 5 * time.Second, Target: time.Second, Shares: shares},
			route.Route{Name: name + " streams", Host: "h", Prefix: "/" + name + "/stream/", Kind: route.Stream, Resumable: true, Attempts: 2, Timeout: 5 * time.Second, Target: time.Second, Shares: shares})
		for n := range replicasPerService {
			replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Try", r.Header.Get("Try"))
				answer(w, r, f.add(r.Header.Get("Try"), name))
			}))
			t.Cleanup(replica.Close)
			snapshot.Replicas = append(snapshot.Replicas, directory.Replica{ID: fmt.Sprint(name, n), Service: name, Address: replica.Listener.Addr().String(), Slots: 256})
		}
	}
	f.source = &source{snapshot: snapshot}
	for range routers {
		f.start(true)
	}
	f.settle(routers)
	return f
}

// start starts one more router.
func (f *retryFleet) start(firstStart bool) {
	var seeds []string
	for _, e := range f.routers[:min(len(f.routers), 3)] {
		seeds = append(seeds, e.gossip.Address())
	}
	e := startWith(f.t, f.source, time.Second, func(s *settings.Settings, env *Environment) {
		s.Name, s.Peers.Seeds, s.Peers.Period = fmt.Sprint("r", len(f.routers)), seeds, 50*time.Millisecond
		s.Routes.FirstStart = firstStart
		s.Bounds.RepeatRatio, s.Bounds.RepeatAllowance, s.Bounds.RepeatWindow = f.bounds.RepeatRatio, f.bounds.RepeatAllowance, f.bounds.RepeatWindow
		env.Dialect.NotExecuted = "Not-Executed"
	})
	f.routers = append(f.routers, e)
}

// settle waits until all routers are ready and know the others.
func (f *retryFleet) settle(routers int) {
	f.t.Helper()
	for _, e := range f.routers {
		until(f.t, func() bool { return e.Ready() && e.gossip.MemberCount() >= routers })
		if e.settings.Routes.FirstStart {
			until(f.t, func() bool { return e.retries.HasPart(steady.Now()) })
		}
	}
}

// send sends requests to each router at the same time, one after the other, and returns how many
// were answered whole.
func (f *retryFleet) send(path string, each int) (whole int) {
	var served atomic.Int64
	var work sync.WaitGroup
	for _, e := range f.routers {
		work.Go(func() {
			for range each {
				if f.post(e, path) {
					served.Add(1)
				}
			}
		})
	}
	work.Wait()
	return int(served.Load())
}

func (f *retryFleet) post(e *Entry, path string) (whole bool) {
	callers, _ := e.Addresses()
	request, err := http.NewRequest(http.MethodPost, "http://"+callers+path, strings.NewReader("body"))
	require.NoError(f.t, err)
	request.Host = "h"
	request.Header.Set("Try", fmt.Sprint(f.sent.Add(1)))
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// assertBound asserts that the repeats of each service, all of which fall into one window, are
// within what the users allow.
func (f *retryFleet) assertBound() {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, requests := range f.requests {
		allowed := f.bounds.RepeatRatio*float64(requests) + f.bounds.RepeatAllowance
		f.t.Logf("%s: %d requests, %d repeats of %.0f", service, requests, f.repeats[service], allowed)
		assert.LessOrEqual(f.t, float64(f.repeats[service]), allowed, service)
	}
}

// counted returns the retries that the routers which still run counted.
func (f *retryFleet) counted() (retries int) {
	for _, e := range f.routers {
		retries += int(e.metrics.Retries.Count())
	}
	return retries
}

// testRetryBounds are bounds whose window is longer than a test.
func testRetryBounds(ratio, allowance float64) settings.Bounds {
	return settings.Bounds{RepeatRatio: ratio, RepeatAllowance: allowance, RepeatWindow: time.Hour}
}

// Guards against routers whose parts of the users' retries add up to more than the whole.
func TestRetriesOfManyRoutersStayWithinUsersBound(t *testing.T) {
	for name, answer := range map[string]replicaAnswer{"break off": breaksOff, "err": errs, "reject": rejects} {
		t.Run("replicas "+name, func(t *testing.T) {
			f := newRetryFleet(t, 32, testRetryBounds(0.2, 48), map[string]replicaAnswer{"s": answer})
			f.send("/s/", 4)
			f.assertBound()
			assert.Equal(t, f.repeats["s"], f.counted(), "arrivals beyond the first that no budget paid for")
		})
	}
}

// Guards against retries at a service that the requests for another one pay for.
func TestRequestsForOneServiceAllowNoRetriesAtAnother(t *testing.T) {
	f := newRetryFleet(t, 3, testRetryBounds(0.2, 6), map[string]replicaAnswer{"few": breaksOff, "many": answers})
	for range 20 {
		f.send("/many/", 20)
		f.send("/few/", 1)
	}
	f.assertBound()
}

// Guards against routers that may retry as much after a restart as before, within one window.
func TestRestartsAllowNoMoreRetries(t *testing.T) {
	f := newRetryFleet(t, 3, testRetryBounds(0.05, 64), map[string]replicaAnswer{"s": breaksOff})
	for range 20 {
		f.send("/s/", 4)
		first := f.routers[0]
		first.Stop()
		first.Kill()
		_ = first.Wait()
		f.routers = f.routers[1:]
		f.settle(len(f.routers))
		f.start(false)
		f.settle(len(f.routers))
	}
	f.assertBound()
}

// eventStream answers with a stream of events, of which one in breaking breaks off midway.
func eventStream(breaking int) replicaAnswer {
	const events = 6
	return func(w http.ResponseWriter, r *http.Request, number int) {
		w.Header().Set("Content-Type", "text/event-stream")
		begin, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for id := begin + 1; id <= events; id++ {
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", id)
			_ = http.NewResponseController(w).Flush()
			if number > 0 && number%breaking == 0 && id == events/2 {
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// Guards against streams that are given up though the users allow to repeat many more requests.
func TestBrokenStreamsGoOnWithinUsersBound(t *testing.T) {
	bounds := testRetryBounds(0.1, 30)
	bounds.RepeatWindow = 10 * time.Second
	f := newRetryFleet(t, 3, bounds, map[string]replicaAnswer{"s": eventStream(13)})
	const each = 130
	assert.Equal(t, 3*each, f.send("/s/stream/", each))
	f.assertBound()
}
