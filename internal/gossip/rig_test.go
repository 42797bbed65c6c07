package gossip

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/retry"
	"github.com/croftyard/croftyard/pkg/route"
)

// rigPeriod is the pause between two rounds of a router, largePeriod that of routers of a large fleet, of
// which many run on one machine.
const (
	rigPeriod   = 5 * time.Millisecond
	largePeriod = 25 * time.Millisecond
)

// source returns what a test put into it, or an error.
type source struct {
	mu       sync.Mutex
	snapshot watch.Snapshot
	err      error
	reads    int
}

func (s *source) Replicas(ctx context.Context) (watch.Snapshot, error) {
	snapshot, err := s.Read(ctx)
	snapshot.Config = nil
	return snapshot, err
}

func (s *source) Read(context.Context) (watch.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.snapshot, s.err
}

// router holds the parts of a router that gossip needs.
type router struct {
	gossip   *Gossip
	watcher  *watch.Watcher
	holder   *freshness.Holder
	balancer *balance.Balancer
	source   *source
}

func newRouter(t *testing.T, s *source, seeds ...string) *router {
	t.Helper()
	return newIdleRouter(t, s, seeds...).run(t)
}

// run makes an idle router run rounds until the test ends.
func (r *router) run(t *testing.T) *router {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { r.gossip.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		done.Wait()
	})
	return r
}

// awaitRound waits for a round that began after the call to end: from then on the router
// acts as one of a large or a small fleet, by the members that it knows now.
func (r *router) awaitRound(t *testing.T) {
	t.Helper()
	round := func() int {
		r.gossip.mu.Lock()
		defer r.gossip.mu.Unlock()
		return int(r.gossip.round)
	}
	begun := round()
	waitUntil(t, func() bool { return round() >= begun+2 })
}

// newIdleRouter returns a router that answers others but runs no rounds by itself.
func newIdleRouter(t testing.TB, s *source, seeds ...string) *router {
	t.Helper()
	return newIdleRouterAt(t, ownAddress(), s, seeds...)
}

// ownAddress returns an address of this process alone. A fleet of another process that still sends to a
// router that ended would else reach the one that gets its port.
func ownAddress() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.3:0", 1+pid>>8%200, pid%256)
}

func newIdleRouterAt(t testing.TB, address string, s *source, seeds ...string) *router {
	t.Helper()
	return newIdleRouterEvery(t, rigPeriod, address, s, seeds...)
}

func newIdleRouterEvery(t testing.TB, period time.Duration, address string, s *source, seeds ...string) *router {
	t.Helper()
	r := &router{holder: freshness.NewHolder(), balancer: balance.New(1), source: s}
	r.watcher = watch.New(s, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), r.holder, r.balancer, event.Discard())
	var err error
	r.gossip, err = Start(Options{Address: address, Seeds: seeds, Period: period,
		Retries: retry.NewBudget(retry.Bounds{Window: time.Hour}, time.Now(), time.Now())}, r.watcher, r.balancer, event.Discard())
	require.NoError(t, err)
	t.Cleanup(r.gossip.stop)
	return r
}

func config(version uint64) *route.Config {
	return &route.Config{Version: version, Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Shares: []route.Share{{Service: "s", Weight: 1}}}}}
}

func replicas(ids ...string) []directory.Replica {
	var list []directory.Replica
	for _, id := range ids {
		list = append(list, directory.Replica{ID: id, Service: "s", Address: id + ":1"})
	}
	return list
}

// waitLimit ends a wait in vain, far beyond what a busy machine needs, so that the test fails by its name.
const waitLimit = 2 * time.Minute

// waitUntil waits for a condition.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !condition(); time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "condition not met in %v", waitLimit)
	}
}

// awaitMembers waits until a router knows some number of routers, itself included.
func (r *router) awaitMembers(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(waitLimit); r.gossip.MemberCount() != count; time.Sleep(time.Millisecond) {
		require.True(t, time.Now().Before(end), "%s knows %d routers after %v, not %d: %v", r.gossip.Address(), r.gossip.MemberCount(), waitLimit, count, r.gossip.Routers())
	}
}

// startSlowRelay starts a relay that delays what it forwards, and forwards replies at
// once.
func startSlowRelay(t *testing.T, to string) string {
	t.Helper()
	const delay = 50 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		defer caller.Close()
		called, err := net.Dial("tcp", to)
		if err != nil {
			return
		}
		defer called.Close()
		time.Sleep(delay)
		go func() { _, _ = io.Copy(called, caller) }()
		_, _ = io.Copy(caller, called)
	}()
	return listener.Addr().String()
}
