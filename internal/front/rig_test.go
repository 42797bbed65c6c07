package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/front/continuation"
	"github.com/croftyard/croftyard/internal/front/metrics"
	"github.com/croftyard/croftyard/internal/upstream"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/retry"
	"github.com/croftyard/croftyard/pkg/route"
)

// testDialect uses names of its own, so that a name hard-coded in the package fails a test.
func testDialect() Dialect {
	return Dialect{
		AttemptID: "Try", Resumes: "Goes-On", Deadline: "Left", PromptParts: "Parts", Key: "Authorization", KeyScheme: "Key ",
		Organisation: "Org", ExpectReplica: "Want", Priority: "Rank", CopyFrom: "Copy",
		RouterOnly:  []string{"Org", "Want", "Rank", "Copy"},
		NotExecuted: "Not-Run", Load: "Load", ShuttingDown: "Leaving", Brittle: "Brittle",
		ParseParts: func(s string) []balance.Part {
			if s == "" {
				return nil
			}
			return []balance.Part{{ID: 7, Tokens: 100}, {ID: 8, Tokens: 10}}
		},
		ParseLoad: func(string) (int, int, bool) { return 0, 0, false },
	}
}

// fakeSource returns a snapshot set by the test, or an error.
type fakeSource struct {
	mu       sync.Mutex
	snapshot watch.Snapshot
	err      error
	reads    int
	// silent makes each read block until its context ends.
	silent bool
}

func (s *fakeSource) Replicas(ctx context.Context) (watch.Snapshot, error) {
	snapshot, err := s.Read(ctx)
	snapshot.Config = nil
	return snapshot, err
}

func (s *fakeSource) Read(ctx context.Context) (watch.Snapshot, error) {
	s.mu.Lock()
	s.reads++
	snapshot, err, silent := s.snapshot, s.err, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return watch.Snapshot{}, ctx.Err()
	}
	return snapshot, err
}

// fallSilent makes all further reads block until their context ends.
func (s *fakeSource) fallSilent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = true
}

// fail makes all further reads return an error.
func (s *fakeSource) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

// addReplicas lists more replicas in the source and applies the snapshot at the router, which
// may be reading concurrently.
func (r *rig) addReplicas(t *testing.T, more ...directory.Replica) {
	t.Helper()
	r.source.mu.Lock()
	r.source.snapshot.Replicas = append(slices.Clone(r.source.snapshot.Replicas), more...)
	snapshot := r.source.snapshot
	r.source.mu.Unlock()
	require.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
}

// setVersions sets the software versions of the replicas.
func (r *rig) setVersions(t *testing.T, versions ...string) {
	t.Helper()
	r.source.mu.Lock()
	r.source.snapshot.Replicas = slices.Clone(r.source.snapshot.Replicas)
	for i, version := range versions {
		r.source.snapshot.Replicas[i].Version = version
	}
	snapshot := r.source.snapshot
	r.source.mu.Unlock()
	require.NoError(t, r.watcher.ApplySnapshot(snapshot, time.Now()))
}

// rig is a Front between a test's caller and its replicas.
type rig struct {
	front   *Front
	source  *fakeSource
	watcher *watch.Watcher
	holder  *freshness.Holder
	server  *httptest.Server
	log     *event.Log
	unsent  *unsent
	// relays are the servers of the routers that it hands requests to.
	relays []*httptest.Server
}

func testConfig() route.Config {
	stream := route.Route{Name: "stream", Host: "h", Prefix: "/stream/", Kind: route.Stream, Attempts: 1, Timeout: time.Minute}
	resumable := stream
	resumable.Name, resumable.Prefix, resumable.Resumable, resumable.Attempts = "resumable", "/resumable/", true, 3
	return route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "once", Host: "h", Prefix: "/once/", Kind: route.Once, Attempts: 2, Timeout: time.Minute},
			{Name: "single", Host: "h", Prefix: "/single/", Kind: route.Once, Attempts: 1, Timeout: time.Minute},
			{Name: "repeat", Host: "h", Prefix: "/repeat/", Kind: route.Repeatable, Attempts: 2, Timeout: time.Minute},
			{Name: "short", Host: "h", Prefix: "/short/", Kind: route.Once, Attempts: 1, Timeout: 200 * time.Millisecond},
			{Name: "open", Host: "h", Prefix: "/open/", Kind: route.Repeatable, Attempts: 1, Public: true, Timeout: time.Minute},
			stream, resumable,
		},
		Services:      []route.Service{{Name: "s"}},
		Limits:        route.Limits{BodyBytes: 1 << 20, HeaderBytes: 16 << 10},
		Organisations: []route.Organisation{{Name: "acme", Keys: []string{"k1"}}},
	}
}

func newRig(t *testing.T, replicas ...string) *rig {
	t.Helper()
	r := newEmptyRig(t, replicas...)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go r.watcher.Run(ctx)
	require.NoError(t, r.watcher.WaitFresh(ctx, time.Now().Add(-time.Hour)))
	return r
}

// newAgedRig returns a rig whose snapshot has the given age. It reads the source only when a
// request triggers it.
func newAgedRig(t *testing.T, age time.Duration, replicas ...string) *rig {
	t.Helper()
	r := newEmptyRig(t, replicas...)
	r.watcher.ApplySnapshot(r.source.snapshot, time.Now().Add(-age))
	return r
}

// setMaxListAge sets the maximum age of the list.
func (r *rig) setMaxListAge(age time.Duration) {
	limits := *r.front.limits.Load()
	limits.MaxListAge = age
	r.front.SetLimits(limits)
}

// newEmptyRig returns a rig that has not read the source and does not by itself.
func newEmptyRig(t *testing.T, replicas ...string) *rig {
	t.Helper()
	config := testConfig()
	for i := range config.Routes {
		config.Routes[i].Shares = []route.Share{{Service: "s", Weight: 1}}
	}
	source := &fakeSource{snapshot: watch.Snapshot{Config: &config}}
	for i, address := range replicas {
		source.snapshot.Replicas = append(source.snapshot.Replicas,
			directory.Replica{ID: fmt.Sprintf("r%d", i), Service: "s", Address: address, DataCentre: "here"})
	}
	log := event.Discard()
	holder := freshness.NewHolder()
	balancer := balance.New(1)
	f := watch.New(source, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), holder, balancer, log)
	const silence = 10 * time.Second
	failures := &unsent{}
	pool := upstream.New(upstream.Options{IDHeader: "Try", DialTimeout: time.Minute, SilenceTimeout: silence, IdleTime: time.Minute,
		Dial: failures.watch(upstream.SystemDial(silence, ""))})
	limits := Limits{MaxKeyProofAge: time.Hour, MaxAbsenceProofAge: time.Hour}
	front := New(Options{Dialect: testDialect(), DataCentre: "here", Limits: limits, Retries: retryBudget(1, 100)}, f, holder, balancer, pool, metrics.New(), log)
	return &rig{front: front, source: source, watcher: f, holder: holder, server: serve(t, front), log: log, unsent: failures}
}

// serve starts a server on an address of its own.
func serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	listener, err := faulty.Listen()
	require.NoError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: handler}}
	server.Start()
	t.Cleanup(server.Close)
	return server
}

// close ends the rig's connections and servers before its test ends.
func (r *rig) close() {
	r.front.pool.DropIdle()
	r.server.Close()
	for _, server := range r.relays {
		server.Close()
	}
}

// retryBudget returns the budget of a fleet of one router.
func retryBudget(ratio, allowance float64) *retry.Budget {
	b := retry.NewBudget(retry.Bounds{Ratio: ratio, Allowance: allowance, Window: time.Hour}, time.Now(), time.Now())
	b.SetRouters(1)
	return b
}

// send sends a request with a valid key and returns the answer and its body.
func (r *rig) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequest(method, r.server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Try", "id-1")
	request.Header.Set("Authorization", "Key k1")
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

// replica starts a replica that serves requests with a handler and counts them.
func replica(t *testing.T, handler http.HandlerFunc) (address string, arrivals *atomic.Int32) {
	t.Helper()
	arrivals = &atomic.Int32{}
	server := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Try", r.Header.Get("Try"))
		handler(w, r)
	}))
	return server.Listener.Addr().String(), arrivals
}

// inTurn returns a handler that answers the n-th request, over all replicas that use it, with
// the n-th text verbatim and closes the connection.
func inTurn(t *testing.T, asked chan<- *http.Request, answers ...string) http.HandlerFunc {
	var next atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		asked <- r
		c, _, err := http.NewResponseController(w).Hijack()
		if !assert.NoError(t, err) {
			return
		}
		defer c.Close()
		text, _ := strings.CutSuffix(answers[next.Add(1)-1], "!")
		_, _ = io.WriteString(c, text)
	}
}

// rawReplica answers the n-th request, over all connections, with the n-th text verbatim. A
// text that ends in "!" closes the connection after it.
func rawReplica(t *testing.T, answers ...string) (address string, seen chan *http.Request) {
	t.Helper()
	listener, err := faulty.Listen()
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	seen = make(chan *http.Request, 16)
	var next atomic.Int32
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, answers, &next, seen)
		}
	}()
	return listener.Addr().String(), seen
}

func serveRaw(c net.Conn, answers []string, next *atomic.Int32, seen chan<- *http.Request) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		seen <- request
		answer := answers[min(int(next.Add(1))-1, len(answers)-1)]
		text, closes := strings.CutSuffix(answer, "!")
		_, _ = io.WriteString(c, text)
		if closes {
			return
		}
	}
}

// completeAnswer returns a complete answer to the request with the given id.
func completeAnswer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nTry: %s\r\nSign: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// useOrigins replaces what records where streams began.
func (r *rig) useOrigins(o continuation.Origins) {
	r.front.options.Origins = o
	r.front.streams = r.front.newStreams()
}
