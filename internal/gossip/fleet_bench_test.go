package gossip

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/event"
	"github.com/croftyard/croftyard/internal/watch"
	"github.com/croftyard/croftyard/pkg/balance"
	"github.com/croftyard/croftyard/pkg/directory"
	"github.com/croftyard/croftyard/pkg/freshness"
	"github.com/croftyard/croftyard/pkg/route"
)

// The time between two rounds at the users, and how many engines the largest sites list.
const (
	benchPeriod   = 300 * time.Millisecond
	benchReplicas = 240
	// benchSettle is how long a fleet that starts at once has for its routers to find
	// each other.
	benchSettle = 6 * time.Second
	// benchTime is how long the fleet is measured after that.
	benchTime = 5 * time.Second
)

// BenchmarkIdleFleet measures the cost to a router of the others: real routers, all in
// this process, that list engines and serve no requests. One of them reads the store once
// a second.
func BenchmarkIdleFleet(b *testing.B) {
	for _, routers := range []int{9, 30, 100, 295} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, routers, 0)
			}
		})
	}
}

// BenchmarkGrowingFleet measures the same while the replicas of a large fleet start: some
// hundred more are listed at each read.
func BenchmarkGrowingFleet(b *testing.B) {
	const joinedPerRead = 400
	for _, routers := range []int{100, 295} {
		b.Run(fmt.Sprint(routers), func(b *testing.B) {
			for b.Loop() {
				measureFleet(b, routers, joinedPerRead)
			}
		})
	}
}

// measureFleet runs a fleet. Each read of the list has some replicas more than the one
// before.
func measureFleet(b *testing.B, routers, joinedPerRead int) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	fleet := make([]*router, routers)
	var seeds []string
	for i := range fleet {
		fleet[i] = startBenchRouter(b, fmt.Sprintf("dc%d", i%5), seeds)
		if i < 3 {
			seeds = append(seeds, fleet[i].gossip.Address())
		}
		done.Go(func() { fleet[i].gossip.Run(ctx) })
	}
	reader := fleet[routers/2]
	done.Go(func() { readEachSecond(ctx, reader, joinedPerRead) })
	started := cpuTime(b)
	time.Sleep(benchSettle)
	used, bytes := cpuTime(b), sentBytes(fleet)
	b.ReportMetric(float64(used-started)/1e6/float64(routers), "start-cpu-ms/router")
	b.ReportMetric(float64(bytes)/float64(routers), "start-B-sent/router")
	time.Sleep(benchTime)
	perRouter := 1 / (benchTime.Seconds() * float64(routers))
	b.ReportMetric(float64(cpuTime(b)-used)/1e6*perRouter, "cpu-ms/router/s")
	b.ReportMetric(float64(sentBytes(fleet)-bytes)*perRouter, "B-sent/router/s")
	known, oldest := 0, time.Duration(0)
	for _, r := range fleet {
		known += r.gossip.MemberCount()
		oldest = max(oldest, r.watcher.Age(time.Now()))
	}
	b.ReportMetric(float64(known)/float64(routers), "known")
	b.ReportMetric(float64(oldest.Milliseconds()), "oldest-proof-ms")
	cancel()
	done.Wait()
}

func startBenchRouter(b *testing.B, centre string, seeds []string) *router {
	b.Helper()
	r := &router{holder: freshness.NewHolder(), balancer: balance.New(1), source: &source{}}
	r.watcher = watch.New(r.source, watch.Options{Period: time.Hour, Timeout: time.Second}, directory.New(time.Hour, time.Hour), r.holder, r.balancer, event.Discard())
	var err error
	r.gossip, err = Start(Options{Address: ownAddress(), DataCentre: centre, Seeds: seeds, Period: benchPeriod}, r.watcher, r.balancer, event.Discard())
	require.NoError(b, err)
	r.gossip.SetHoldersKnown()
	return r
}

func readEachSecond(ctx context.Context, r *router, joinedPerRead int) {
	var list []directory.Replica
	join := func(replicas int) {
		for range replicas {
			id := fmt.Sprintf("engine-%d", len(list))
			list = append(list, directory.Replica{ID: id, Service: "s", Address: id + ":1", DataCentre: fmt.Sprintf("dc%d", len(list)%5), Slots: 32, Entry: uint64(len(list) + 1)})
		}
	}
	join(benchReplicas)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		snapshot := watch.Snapshot{Config: &route.Config{Version: 1, Routes: config(1).Routes}, Replicas: list, Revision: uint64(len(list))}
		r.watcher.ApplySnapshot(snapshot, time.Now())
		join(joinedPerRead)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// cpuTime returns the processor time that this process has used, in nanoseconds.
func cpuTime(b *testing.B) int64 {
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return u.Utime.Nano() + u.Stime.Nano()
}

func sentBytes(fleet []*router) uint64 {
	var total uint64
	for _, r := range fleet {
		sent, _ := r.gossip.Bytes()
		total += sent
	}
	return total
}
