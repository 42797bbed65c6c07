package entry

import (
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
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/poison"
	"github.com/croftyard/croftyard/pkg/route"
)

// heldMemory is a store that keeps the record of what is held.
type heldMemory struct {
	mu       sync.Mutex
	value    []byte
	revision uint64
	away     bool
	// reads are those that may not be stale.
	reads, staleReads, writes int
}

// ReadHeld implements poison.Store.
func (m *heldMemory) ReadHeld(_ context.Context, stale bool) (poison.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if stale {
		m.staleReads++
	} else {
		m.reads++
	}
	switch {
	case m.away:
		return poison.Record{}, errAway
	case m.revision == 0:
		return poison.Record{}, nil
	}
	return poison.ReadRecord(m.value, m.revision)
}

// WriteHeld implements poison.Store.
func (m *heldMemory) WriteHeld(_ context.Context, r poison.Record) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	switch {
	case m.away:
		return 0, errAway
	case r.Revision != m.revision:
		return 0, poison.ErrConflict
	}
	m.revision++
	m.value = r.Value()
	return m.revision, nil
}

// set has another writer write a value.
func (m *heldMemory) set(value string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.revision++
	m.value = []byte(value)
}

func (m *heldMemory) setAway(away bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.away = away
}

// holds returns how much the record holds.
func (m *heldMemory) holds() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	// One that is not usable holds nothing.
	r, _ := poison.ReadRecord(m.value, m.revision)
	return r.Len()
}

func (m *heldMemory) calls() (reads, staleReads, writes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.staleReads, m.writes
}

// crashFleet is routers before replicas that deadly requests crash.
type crashFleet struct {
	t      *testing.T
	source source
	store  heldMemory
	// lagging is what routers started from now on use in place of store; nil for store itself.
	lagging *laggingMemory
	routers []*Entry
	client  *http.Client
	// part: what is deadly is a part of the prompt, not the body.
	part     bool
	replicas int
	crashed  atomic.Int64
	// last is the start of the replica that crashed last.
	last atomic.Int64
	sent int
	// mended: replicas answer deadly requests.
	mended atomic.Bool
}

const crashRouters = 3

func newCrashFleet(t *testing.T, part bool) *crashFleet {
	t.Helper()
	f := &crashFleet{t: t, part: part, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	f.source.snapshot.Config = &route.Config{Version: 1, Services: []route.Service{{Name: "s"}}, Routes: []route.Route{
		{Name: "r", Host: "h", Prefix: "/", Kind: route.Repeatable, Attempts: 1, Timeout: 5 * time.Second, Shares: []route.Share{{Service: "s", Weight: 1}}}}}
	f.replace(t)
	f.start(t, true)
	return f
}

// replace lists replicas that run, and no others.
func (f *crashFleet) replace(t *testing.T) {
	t.Helper()
	const replicas = 6
	var list []directory.Replica
	for range replicas {
		list = append(list, f.add(t))
	}
	f.list(list)
}

// replaceCrashed lists another replica in place of the one that crashed last.
func (f *crashFleet) replaceCrashed(t *testing.T) {
	t.Helper()
	f.source.mu.Lock()
	list := slices.Clone(f.source.snapshot.Replicas)
	f.source.mu.Unlock()
	list = slices.DeleteFunc(list, func(r directory.Replica) bool { return r.Born == f.last.Load() })
	f.list(append(list, f.add(t)))
}

func (f *crashFleet) list(list []directory.Replica) {
	f.source.mu.Lock()
	defer f.source.mu.Unlock()
	f.source.snapshot = watch.Snapshot{Config: f.source.snapshot.Config, Replicas: list}
}

// add starts a replica.
func (f *crashFleet) add(t *testing.T) directory.Replica {
	t.Helper()
	f.replicas++
	born := int64(f.replicas)
	var server *httptest.Server
	server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.mended.Load() && r.Header.Get("Deadly") != "" {
			f.last.Store(born)
			f.crashed.Add(1)
			server.Listener.Close()
			go server.CloseClientConnections()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Try", r.Header.Get("Try"))
		fmt.Fprint(w, "whole")
	}))
	// A server of another process at the address of a replica that ended would answer deadly requests.
	server.Listener.Close()
	listener, err := net.Listen("tcp", ownPeerAddress())
	require.NoError(t, err)
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	return directory.Replica{ID: fmt.Sprint("i", born), Service: "s", Address: server.Listener.Addr().String(), Slots: 16, Born: born}
}

// start starts the routers that the fleet lacks and waits until all serve and know each other.
func (f *crashFleet) start(t *testing.T, first bool) {
	t.Helper()
	for len(f.routers) < crashRouters {
		var seeds []string
		if len(f.routers) > 0 {
			seeds = []string{f.routers[0].gossip.Address()}
		}
		f.routers = append(f.routers, startWith(t, &f.source, time.Second, func(s *settings.Settings, env *Environment) {
			s.Name, s.Peers.Seeds, s.Peers.Period = fmt.Sprint("r", len(f.routers)), seeds, 10*time.Millisecond
			// Routers of another test's process would count the same crashes.
			s.Listen.Peers = freePeerAddress(t)
			s.Routes.FirstStart = first
			env.Dialect.PromptParts = "Parts"
			env.Dialect.ParseParts = func(text string) []balance.Part {
				if text == "" {
					return nil
				}
				return []balance.Part{{ID: uint64(len(text)), Tokens: 100}, {ID: 1000, Tokens: 1}}
			}
			env.HeldStore = func(settings.Settings, time.Duration) poison.Store {
				if f.lagging != nil {
					return f.lagging
				}
				return &f.store
			}
		}))
	}
	for _, e := range f.routers {
		until(t, func() bool { return e.Ready() && e.gossip.MemberCount() >= crashRouters })
	}
}

// end ends routers.
func (f *crashFleet) end(routers ...*Entry) {
	for _, e := range routers {
		e.Stop()
		e.Kill()
		// One that is killed may say that requests were cut.
		_ = e.Wait()
	}
	f.routers = f.routers[len(routers):]
}

// awaitRead waits until routers have read the record.
func (f *crashFleet) awaitRead(routers ...*Entry) {
	f.t.Helper()
	for _, e := range routers {
		until(f.t, func() bool { return e.log.Count(event.HeldRead) > 0 })
	}
}

// post sends a request and returns the status of its answer, 0 if there is none.
func (f *crashFleet) post(t *testing.T, e *Entry, deadly bool) int {
	t.Helper()
	f.sent++
	callers, _ := e.Addresses()
	body, parts := "deadly", ""
	if f.part || !deadly {
		body = fmt.Sprint(f.sent)
	}
	if f.part {
		parts = map[bool]string{true: "xx", false: "x"}[deadly]
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+callers+"/x", strings.NewReader(body))
	require.NoError(t, err)
	request.Host = "h"
	for name, value := range map[string]string{"Try": fmt.Sprint("t", f.sent), "Parts": parts, "Deadly": map[bool]string{true: "1"}[deadly]} {
		request.Header.Set(name, value)
	}
	response, err := f.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// crash sends deadly requests until they are held, and waits until the record says so. Before the next
// one is sent the crash is counted, so that there are no more than it takes.
func (f *crashFleet) crash(t *testing.T) {
	t.Helper()
	e := f.routers[0]
	marks := e.poison.Sample
	if f.part {
		marks = e.parts.Sample
	}
	const counted = 300
	for len(marks(1)) < e.settings.Routes.Crashes {
		crashed, before := f.crashed.Load(), len(marks(1))
		// The crash before may be counted only now, and the request be held.
		until(t, func() bool {
			f.post(t, e, true)
			return f.crashed.Load() > crashed || len(marks(1)) >= e.settings.Routes.Crashes
		})
		if f.crashed.Load() == crashed {
			break
		}
		f.replaceCrashed(t)
		// A router that does not know whether the replica ended counts no crash.
		for range counted {
			if len(marks(1)) > before {
				break
			}
			time.Sleep(time.Millisecond)
		}
	}
	until(t, func() bool { return f.store.holds() == 1 })
}

// assertHeld sends requests to all routers: the deadly ones are refused, the others served.
func (f *crashFleet) assertHeld(t *testing.T) {
	t.Helper()
	const each = 5
	crashed := f.crashed.Load()
	for _, e := range f.routers {
		for range each {
			assert.Equal(t, http.StatusServiceUnavailable, f.post(t, e, true))
			assert.Equal(t, http.StatusOK, f.post(t, e, false))
		}
	}
	assert.Equal(t, crashed, f.crashed.Load(), "deadly requests reached replicas")
}

// crashes returns how many crashes a router counts of what is held.
func (f *crashFleet) crashes(e *Entry) int {
	list := append(e.poison.Held(1, steady.Now()), e.parts.Held(1, steady.Now())...)
	if len(list) == 0 {
		return 0
	}
	return len(list[0].Crashes)
}
