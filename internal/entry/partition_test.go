package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/faulty"
	"github.com/croftyard/croftyard/internal/settings"
	"github.com/croftyard/croftyard/internal/steady"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/route"
)

// cutMode is what a partition does to the connections of a router to replicas.
type cutMode string

const (
	// connected: there is no partition.
	connected cutMode = ""
	// hangs: open connections fall silent, new ones do not open.
	hangs cutMode = "hangs"
	// resets: open connections are reset, new ones do not open.
	resets cutMode = "resets"
	// refuses: open connections are reset, new ones are refused.
	refuses cutMode = "refuses"
	// livesOn: open connections go on, new ones are refused.
	livesOn cutMode = "lives on"
)

// gate is the path of one router to all replicas.
type gate struct {
	mu    sync.Mutex
	mode  cutMode
	links map[string]*faulty.Relay
}

func newGate(t *testing.T, replicas []directory.Replica) *gate {
	t.Helper()
	g := &gate{links: make(map[string]*faulty.Relay)}
	for _, r := range replicas {
		link, err := faulty.NewRelay(r.Address)
		require.NoError(t, err)
		t.Cleanup(link.Close)
		g.links[r.Address] = link
	}
	return g
}

func (g *gate) set(mode cutMode) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.mode = mode
	for _, link := range g.links {
		switch mode {
		case hangs:
			link.Silence()
		case resets, refuses:
			link.Reset()
		}
	}
}

func (g *gate) dial(ctx context.Context, network, address string) (net.Conn, error) {
	g.mu.Lock()
	mode, link := g.mode, g.links[address]
	g.mu.Unlock()
	switch mode {
	case hangs, resets:
		<-ctx.Done()
		return nil, ctx.Err()
	case refuses, livesOn:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	var dialer net.Dialer
	return dialer.DialContext(ctx, network, link.Address())
}

// partitionedFleet are routers that know each other and the replicas of an engine and of a
// plain service.
type partitionedFleet struct {
	routers []*Entry
	gates   []*gate
	client  *http.Client
	sent    int
	// slow counts the requests that replicas hold back until release is closed.
	slow    atomic.Int64
	release chan struct{}
}

const (
	replicasPerService = 3
	replicaSlots       = 64
)

func newPartitionedFleet(t *testing.T, routers int) *partitionedFleet {
	t.Helper()
	f := &partitionedFleet{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, release: make(chan struct{})}
	replica := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.Header.Get("Try"), "slow") {
			f.slow.Add(1)
			<-f.release
		}
		if r.Header.Get("Try") == unframed {
			f.writeUnframed(w)
			return
		}
		w.Header().Set("Try", r.Header.Get("Try"))
		fmt.Fprint(w, "whole")
	}))
	t.Cleanup(func() {
		close(f.release)
		replica.Close()
	})
	snapshot := watch.Snapshot{Config: &route.Config{Version: 1, Services: []route.Service{{Name: "plain"}, {Name: "engine", Engine: &route.Engine{Slots: replicaSlots, Capacity: 1 << 20, TokenBytes: 1}}}}}
	for _, service := range []string{"plain", "engine"} {
		for n := range replicasPerService {
			link, err := faulty.NewRelay(replica.Listener.Addr().String())
			require.NoError(t, err)
			t.Cleanup(link.Close)
			snapshot.Replicas = append(snapshot.Replicas, directory.Replica{ID: fmt.Sprint(service, n), Service: service, Address: link.Address(), Slots: replicaSlots})
		}
		for _, kind := range []route.Kind{route.Repeatable, route.Once} {
			snapshot.Config.Routes = append(snapshot.Config.Routes, route.Route{Name: fmt.Sprint(service, kind), Host: "h", Prefix: fmt.Sprintf("/%s/%d/", service, kind),
				Kind: kind, Attempts: 2, Timeout: 2 * time.Second, Target: 100 * time.Millisecond, Shares: []route.Share{{Service: service, Weight: 1}}})
		}
	}
	var seeds []string
	for n := range routers {
		g := newGate(t, snapshot.Replicas)
		e := startWith(t, &source{snapshot: snapshot}, time.Second, func(s *settings.Settings, env *Environment) {
			s.Name, s.Peers.Seeds, s.Peers.Period = fmt.Sprint("r", n), seeds, 10*time.Millisecond
			s.Routes.Dial = 50 * time.Millisecond
			s.Bounds.RepeatAllowance, s.Bounds.RepeatWindow = 1000, 10*time.Millisecond
			env.DialReplica = g.dial
			env.Dialect.PromptParts = "Parts"
			env.Dialect.ParseParts = func(text string) []balance.Part {
				if text == "" {
					return nil
				}
				return []balance.Part{{ID: uint64(len(text)), Tokens: 100}, {ID: 1000, Tokens: 1}}
			}
		})
		seeds = []string{e.gossip.Address()}
		f.routers, f.gates = append(f.routers, e), append(f.gates, g)
	}
	for _, e := range f.routers {
		until(t, func() bool { return e.Ready() && e.gossip.MemberCount() == routers && e.retries.HasPart(steady.Now()) })
	}
	return f
}

// unframed is the id of a request whose answer has neither a length nor chunks.
const unframed = "unframed"

// writeUnframed begins the answer to an unframed request, and ends it once release is closed.
func (f *partitionedFleet) writeUnframed(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTry: %s\r\nConnection: close\r\n\r\nhalf", unframed)
	<-f.release
}

// send sends the next request to a router and reports whether it was served.
func (f *partitionedFleet) send(router int, service string, kind route.Kind) bool {
	f.sent++
	return f.post(router, service, kind, fmt.Sprint("t", f.sent))
}

// post sends a request to a router and reports whether it was served.
func (f *partitionedFleet) post(router int, service string, kind route.Kind, id string) bool {
	callers, _ := f.routers[router].Addresses()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/%s/%d/", callers, service, kind), strings.NewReader("body"))
	if err != nil {
		return false
	}
	request.Host = "h"
	request.Header.Set("Try", id)
	if service == "engine" {
		request.Header.Set("Parts", strings.Repeat("x", 1+f.sent%7))
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK && string(text) == "whole"
}

// servedInARow sends requests to a router until some in a row are served, and reports
// whether that happened among the first tries.
func (f *partitionedFleet) servedInARow(router int, service string, kind route.Kind) bool {
	const row, tries = 20, 100
	served := 0
	for range tries {
		if !f.send(router, service, kind) {
			served = 0
			continue
		}
		if served++; served == row {
			return true
		}
	}
	return false
}

// Guards against a router that loses the path to all replicas and refuses what other routers
// could serve for it.
func TestCallersOfPartitionedRouterAreServed(t *testing.T) {
	for _, mode := range []cutMode{hangs, resets, refuses, livesOn} {
		t.Run(string(mode), func(t *testing.T) {
			f := newPartitionedFleet(t, 3)
			for _, service := range []string{"plain", "engine"} {
				assert.True(t, f.servedInARow(0, service, route.Repeatable), "%s, before the partition", service)
			}
			f.gates[0].set(mode)
			for _, service := range []string{"plain", "engine"} {
				for _, kind := range []route.Kind{route.Repeatable, route.Once} {
					assert.True(t, f.servedInARow(0, service, kind), "%s, kind %d", service, kind)
				}
			}
			f.gates[0].set(connected)
			opened := f.routers[0].metrics.ConnectionsOpened.Count()
			until(t, func() bool {
				assert.True(t, f.send(0, "plain", route.Once), "after the partition")
				return f.routers[0].metrics.ConnectionsOpened.Count() > opened
			})
		})
	}
}

// Guards against an answer that looks complete because the router that relays it ended: the
// system closes the connections of a process in order.
func TestRelayedAnswerOfEndedRouterIsNotComplete(t *testing.T) {
	f := newPartitionedFleet(t, 2)
	f.gates[0].set(refuses)
	require.True(t, f.servedInARow(0, "plain", route.Once))
	callers, _ := f.routers[0].Addresses()
	request, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/plain/%d/", callers, route.Once), nil)
	require.NoError(t, err)
	request.Host = "h"
	request.Header.Set("Try", unframed)
	response, err := f.client.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	_, err = io.ReadFull(response.Body, make([]byte, len("half")))
	require.NoError(t, err)
	f.routers[1].relayed.Close()
	_, err = io.ReadAll(response.Body)
	assert.Error(t, err)
}

// Guards against requests that are relayed to replicas which the first router excludes because
// of their own statements.
func TestReplicaThatRestsGetsNothingByAnotherRouter(t *testing.T) {
	f := newPartitionedFleet(t, 2)
	f.gates[0].set(refuses)
	require.True(t, f.servedInARow(0, "plain", route.Once))
	now := steady.Now()
	for n := range replicasPerService {
		assert.True(t, f.send(0, "plain", route.Once), "%d replicas rest", n)
		f.routers[0].watcher.Statements().MarkResting(fmt.Sprint("plain", n), now, now.Add(time.Minute), now)
	}
	assert.False(t, f.send(0, "plain", route.Once), "all replicas rest")
	assert.True(t, f.send(1, "plain", route.Once), "another router was told nothing")

	for n := range replicasPerService {
		f.routers[1].watcher.Statements().MarkResting(fmt.Sprint("engine", n), now, now.Add(time.Minute), now)
	}
	assert.False(t, f.send(0, "engine", route.Once), "all replicas rest for the router that serves")
	for n := range replicasPerService {
		said := f.routers[0].watcher.Statements().Get(fmt.Sprint("engine", n))
		assert.WithinDuration(t, now.Add(time.Minute), said.RestUntil, time.Second, "told to the router that relays")
	}
}

// Guards against requests that are refused by a router which has no room left, while another one
// has.
func TestRelayedRequestFindsRouterWithRoom(t *testing.T) {
	f := newPartitionedFleet(t, 3)
	f.gates[0].set(refuses)
	full := f.routers[1].balancer
	for n := range replicasPerService {
		id := fmt.Sprint("plain", n)
		full.BrittleReported(id, 1, steady.Now())
		for range replicaSlots {
			full.RequestStarted(id)
		}
	}
	_, found := full.Pick(balance.Request{Service: "plain"}, steady.Now())
	assert.False(t, found, "no room")
	assert.True(t, f.servedInARow(0, "plain", route.Once))
	assert.True(t, f.servedInARow(1, "plain", route.Once), "its own callers are served by a router that has room")
}

// Guards against failures on the path of some routers that exclude replicas, which they alone
// do not reach, at the others.
func TestPartitionedRoutersDoNotExcludeReplicasForOthers(t *testing.T) {
	const routers, cut = 5, 3
	f := newPartitionedFleet(t, routers)
	for router := range routers {
		assert.True(t, f.servedInARow(router, "engine", route.Once))
	}
	for router := range cut {
		f.gates[router].set(refuses)
	}
	refused, avoided := 0, 0
	for range 100 {
		for router := range cut {
			f.send(router, "engine", route.Repeatable)
		}
		for router := cut; router < routers; router++ {
			if !f.send(router, "engine", route.Once) {
				refused++
			}
			if f.avoidsAll(router, "engine") {
				avoided++
			}
		}
	}
	assert.Zero(t, refused, "requests refused by routers that reach all replicas")
	assert.Zero(t, avoided, "checks that found all replicas avoided at such a router")
}

// avoidsAll reports whether a router still avoids all replicas of a service after several
// checks: it may do so while it verifies what others reported.
func (f *partitionedFleet) avoidsAll(router int, service string) bool {
	const checks = 100
	for range checks {
		for _, r := range f.routers[router].watcher.Replicas() {
			if r.Service == service && !f.routers[router].balancer.Suspected(r.ID, steady.Now()) {
				return false
			}
		}
		time.Sleep(time.Millisecond)
	}
	return true
}

// Guards against running requests that a partition breaks off and that are then taken to have
// crashed their replicas.
func TestPartitionIsNoCrashOfReplicas(t *testing.T) {
	const running = 6
	f := newPartitionedFleet(t, 2)
	var calls sync.WaitGroup
	for n := range running {
		calls.Go(func() { f.post(0, "plain", route.Once, fmt.Sprint("slow", n)) })
	}
	until(t, func() bool { return f.slow.Load() == running })
	f.gates[0].set(refuses)
	calls.Wait()
	const checks = 300
	for range checks {
		time.Sleep(time.Millisecond)
		for _, e := range f.routers {
			require.False(t, e.poison.HasMarks(), "a request counts as crashing replicas")
		}
	}
}
