package integration

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/croftyard/croftyard/internal/standin"
	"github.com/croftyard/croftyard/pkg/fleet"
)

// benchTokens is the length of a streamed answer in the benchmarks.
const benchTokens = 200

func benchBody() string {
	return fmt.Sprintf(`{"model":"drafting","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"the lock is open"}]}`, benchTokens)
}

func benchGet(b *testing.B, client *http.Client, address string) time.Duration {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+chatPath, strings.NewReader(benchBody()))
	require.NoError(b, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	began := time.Now()
	resp, err := client.Do(req)
	require.NoError(b, err)
	defer resp.Body.Close()
	require.Equal(b, http.StatusOK, resp.StatusCode)
	n, err := io.Copy(io.Discard, resp.Body)
	require.NoError(b, err)
	require.Greater(b, n, int64(100*benchTokens))
	return time.Since(began)
}

// BenchmarkAddedTime sends the same request straight to an engine, through one
// router, and through edge and owner, in turn, and reports what each adds.
func BenchmarkAddedTime(b *testing.B) {
	c := newCluster(b, 1, 3)
	straight := c.serve(c.engines[0].Handler())
	owner, other := c.ownerAndOther(b)
	client := &http.Client{}
	var direct, one, two []time.Duration
	for range 20 {
		benchGet(b, client, straight)
		benchGet(b, client, owner.callers)
		benchGet(b, client, other.callers)
	}
	for b.Loop() {
		direct = append(direct, benchGet(b, client, straight))
		one = append(one, benchGet(b, client, owner.callers))
		two = append(two, benchGet(b, client, other.callers))
	}
	report := func(name string, times []time.Duration) {
		slices.Sort(times)
		b.ReportMetric(float64(times[len(times)/2].Microseconds()), name+"-p50-µs")
		b.ReportMetric(float64(times[len(times)*99/100].Microseconds()), name+"-p99-µs")
	}
	report("direct", direct)
	report("owner", one)
	report("edge+owner", two)
}

// ownerAndOther returns the router that owns the only group, and another.
func (c *cluster) ownerAndOther(b *testing.B) (owner, other *process) {
	s, err := c.routers[0].state()
	require.NoError(b, err)
	for _, p := range c.routers {
		if p.name == s.Pools[0].Groups[0].Owner {
			owner = p
		} else {
			other = p
		}
	}
	return owner, other
}

// BenchmarkStreamedTokens measures how many tokens a second edge and owner
// pass on, and the processor time that each takes for a token.
func BenchmarkStreamedTokens(b *testing.B) {
	for _, paced := range []bool{false, true} {
		b.Run(fmt.Sprintf("paced=%v", paced), func(b *testing.B) { benchTokensPassed(b, paced) })
	}
}

func benchTokensPassed(b *testing.B, paced bool) {
	c := newCluster(b, 0, 2)
	options := standin.EngineOptions{CacheTokens: 1 << 20}
	if paced {
		// Each token comes alone, as from a real engine.
		options.TokenTime = 5 * time.Millisecond
	}
	c.addEngine("engine-1", options)
	c.waitReady()
	owner, other := c.ownerAndOther(b)
	before := cpuTime(b, owner) + cpuTime(b, other)
	began := time.Now()
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		client := &http.Client{}
		for pb.Next() {
			benchGet(b, client, other.callers)
		}
	})
	tokens := float64(b.N) * benchTokens
	spent := cpuTime(b, owner) + cpuTime(b, other) - before
	b.ReportMetric(tokens/time.Since(began).Seconds(), "tokens/s")
	b.ReportMetric(spent.Seconds()*1e6/tokens/2, "cpu-µs/token/router")
	b.ReportMetric(tokens/spent.Seconds()*2, "tokens/s/core/router")
}

// BenchmarkMemoryOfStreams reports the memory that open streams keep in a
// router that is edge and owner at once.
func BenchmarkMemoryOfStreams(b *testing.B) {
	for _, streams := range []int{100, 200, 400} {
		b.Run(fmt.Sprintf("streams=%d", streams), func(b *testing.B) {
			c := newCluster(b, 0, 1)
			for n := range 10 {
				c.addEngine(fmt.Sprintf("slow-%d", n), standin.EngineOptions{TokenTime: time.Hour, CacheTokens: 1 << 20})
			}
			c.waitReady()
			before := memoryOf(b, c.routers[0])
			for range streams {
				go func() {
					// Ends when the cluster does.
					_, _ = c.routers[0].tryPost(chatPath, benchBody(), header("Croftyard-Deadline", "2m"))
				}()
			}
			c.eventually("all are open", func() bool {
				s, err := c.routers[0].state()
				return err == nil && s.Active == int64(streams)
			})
			for b.Loop() {
				time.Sleep(time.Millisecond)
			}
			after := memoryOf(b, c.routers[0])
			b.ReportMetric(float64(before)/(1<<20), "idle-MB")
			b.ReportMetric(float64(after-before)/float64(streams)/(1<<10), "KB/stream")
		})
	}
}

// BenchmarkIdleRouter reports what a router spends without any request.
func BenchmarkIdleRouter(b *testing.B) {
	for _, engines := range []int{1000, 4000, 8000} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			c := newPacedCluster(b, 1, 3, "1s", "1s")
			address := c.serve(c.engines[0].Handler())
			for n := range engines {
				// 28 models in five data centres, and 11 engines a router in this one.
				centre := []string{"a", "b", "c", "d"}[n%4]
				if n < 33 {
					centre = testCentre
				}
				c.platform.Put(fleet.Instance{
					Name: fmt.Sprintf("listed-%d", n), Role: fleet.RoleEngine, DataCentre: centre,
					Address: address, State: fleet.StateLive, Models: []string{fmt.Sprintf("model-%d", n%28)},
				})
			}
			c.eventually("seen", func() bool {
				s, err := c.routers[0].state()
				return err == nil && len(s.Instances) > engines
			})
			const watched = 10 * time.Second
			for b.Loop() {
				cpu, began := cpuTime(b, c.routers[0]), time.Now()
				time.Sleep(watched)
				spent := cpuTime(b, c.routers[0]) - cpu
				b.ReportMetric(100*spent.Seconds()/time.Since(began).Seconds(), "%core")
				b.ReportMetric(float64(memoryOf(b, c.routers[0]))/(1<<20), "MB")
			}
		})
	}
}
