// Command capacity measures the slopes that docs/CAPACITY.md is worked out
// from: what state, messages, processor time and memory cost as the fleet
// grows. Each table has at least three sizes. It prints Markdown.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/croftyard/croftyard/internal/peer"
	"github.com/croftyard/croftyard/pkg/admission"
	"github.com/croftyard/croftyard/pkg/fleet"
	"github.com/croftyard/croftyard/pkg/kv"
	"github.com/croftyard/croftyard/pkg/once"
	"github.com/croftyard/croftyard/pkg/owner"
	"github.com/croftyard/croftyard/pkg/placement"
	"github.com/croftyard/croftyard/pkg/policy"
)

func main() {
	fmt.Printf("%s, %d processors\n", runtime.Version(), runtime.NumCPU())
	edge()
	owners()
	digests()
	views()
	configuration()
	claims()
}

func table(title string, columns ...string) {
	fmt.Printf("\n### %s\n\n| %s |\n|%s\n", title, strings.Join(columns, " | "), strings.Repeat(" ---: |", len(columns)))
}

func row(cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		switch v := c.(type) {
		case float64:
			texts[i] = fmt.Sprintf("%.4g", v)
		default:
			texts[i] = fmt.Sprint(v)
		}
	}
	fmt.Printf("| %s |\n", strings.Join(texts, " | "))
}

// perCall returns the nanoseconds of one call of f.
func perCall(f func()) float64 {
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			f()
		}
	})
	return float64(result.NsPerOp())
}

// heap returns the bytes that what make returns keeps alive.
func heap(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

func hashes(kind string, n int) []uint64 {
	list := make([]uint64, n)
	for i := range list {
		list[i] = placement.Hash(fmt.Sprintf("%s-%d", kind, i))
	}
	return list
}

func edge() {
	table("Edge: one choice of a group", "engines in the pool", "groups", "ns a choice", "layout bytes", "layout µs")
	rnd := rand.New(rand.NewPCG(1, 1))
	for _, n := range []int{54, 400, 1520} {
		engines, routers := hashes("engine", n), hashes("router", 136)
		l := placement.NewLayout(1, engines, routers, 10)
		loads := make(placement.Loads, len(l.Groups))
		for g := range loads {
			loads[g] = 15 + float64(g%10)
		}
		choice := perCall(func() {
			l.Choose(placement.Request{Chat: rnd.Uint64(), Prefix: 5, PrefixShare: 0.02, Engine: placement.None}, loads, 1.15, rnd)
		})
		bytes := heap(func() any { return placement.NewLayout(1, engines, routers, 10) })
		build := perCall(func() { placement.NewLayout(1, engines, routers, 10) })
		row(n, len(l.Groups), choice, bytes, build/1000)
	}
}

type ticket = owner.Ticket[int]

func owners() {
	table("Owner: one request in, granted and finished", "engines in the group", "ns a request", "bytes an engine", "bytes a waiting request")
	now := time.Unix(1_800_000_000, 0)
	for _, n := range []int{5, 10, 20} {
		var granted *ticket
		group := owner.NewGroup(1<<16, owner.Hooks[int]{
			Grant:  func(t *ticket) { granted = t },
			Reject: func(*ticket, *admission.Refusal) {},
		})
		request := owner.Request{Flow: "g", Share: 1, Deadline: now.Add(time.Hour), Work: 1000, Bound: 1.15, LastHop: true}
		engines := func(slots int) []*owner.Engine {
			list := make([]*owner.Engine, n)
			for i := range list {
				list[i] = owner.NewEngine(uint64(i+1), slots)
			}
			return list
		}
		bytes := heap(func() any { return engines(0) }) / float64(n)
		group.SetEngines(engines(1))
		time := perCall(func() {
			t := &ticket{Request: request}
			group.Enter(t, now)
			group.Finish(granted, true, now)
		})
		for range n {
			group.Enter(&ticket{Request: request}, now)
		}
		const waiting = 2000
		queued := heap(func() any {
			for range waiting {
				group.Enter(&ticket{Request: request}, now)
			}
			return group
		})
		row(n, time, bytes, queued/waiting)
	}
}

// digests measures control bytes in steady state: each router leads two groups
// and tells so many organisations whose demand comes near their limit.
func digests() {
	table("Digests: control traffic of one router, sent and received", "routers", "organisations told", "period s", "messages sent", "bytes a second", "ns to take one")
	for _, told := range []int{1, 4, fleet.MaxDemands} {
		for _, n := range []int{9, 18, 36, 64, 136} {
			digestRow(n, told)
		}
	}
}

func digestRow(n, told int) {
	routers := hashes("router", n)
	own := func(i int) fleet.Digest {
		d := fleet.Digest{Sender: fleet.ShortID(routers[i]), Sequence: 1 << 20, Version: 1 << 21}
		for g := range 2 {
			d.Loads = append(d.Loads, fleet.GroupLoad{Group: fleet.ID(1<<30 + 2*i + g), Load: 20})
		}
		for o := range told {
			d.Demands = append(d.Demands, fleet.Demand{Organisation: fleet.ID(1<<30 + o), Rate: 5000})
		}
		return d
	}
	total, messages := 0, 0
	for i := range routers {
		bytes, sent := round(routers, i, own)
		total += bytes
		messages += sent
	}
	period := fleet.ScaledPeriod(time.Second, n)
	board := fleet.NewDigestTable(1)
	d := own(0)
	take := perCall(func() {
		d.Sequence++
		board.Put(d, time.Unix(0, 0))
	})
	row(n, told, period.Seconds(), float64(messages)/float64(n), 2*float64(total)/float64(n)/period.Seconds(), take)
}

// round returns the bytes and messages that router i sends in one period.
func round(routers []uint64, i int, own func(int) fleet.Digest) (bytes, messages int) {
	index := make(map[uint64]int, len(routers))
	for at, hash := range routers {
		index[hash] = at
	}
	p := fleet.PartnersOf(routers[i], routers)
	board := fleet.NewDigestTable(fleet.ShortID(routers[i]))
	var line []fleet.ID
	for _, other := range p.Direct {
		board.Put(own(index[other]), time.Unix(0, 0))
		line = append(line, fleet.ShortID(other))
	}
	bytes = len(p.Direct) * (proto.Size(peer.EncodeDigest(own(i))) + peer.CallOverhead)
	bytes += len(p.Relayed) * (proto.Size(peer.EncodeDigest(board.Aggregate(own(i), line))) + peer.CallOverhead)
	return bytes, len(p.Direct) + len(p.Relayed)
}

func views() {
	table("Live view: the whole list in one router", "instances", "bytes", "µs to take a list", "list bytes as JSON", "bytes of one change between peers", "ms to take a change")
	now := time.Unix(1_800_000_000, 0)
	for _, n := range []int{1000, 4000, 8280} {
		list := make([]fleet.Instance, n)
		size := 0
		for i := range list {
			list[i] = fleet.Instance{
				Name: fmt.Sprintf("engine-%05d", i), Role: fleet.RoleEngine, DataCentre: "north-1",
				Address: "10.100.200.100:8000", State: fleet.StateLive, Models: []string{"drafting-large"},
			}
			size += len(jsonOf(list[i]))
		}
		bytes := heap(func() any {
			v := fleet.NewView()
			v.SetList(list, now)
			return v
		})
		v := fleet.NewView()
		changed := slices.Clone(list)
		changed[n/2].State = fleet.StateLeaving
		delta := fleet.DeltaOf(list, changed)
		take := perCall(func() {
			var h fleet.ListHistory
			h.Update(delta.Apply(list))
		})
		row(n, bytes, perCall(func() { v.SetList(list, now) })/1000, size, len(jsonOf(delta)), take/1e6)
	}
}

func configuration() {
	table("Configuration: templates and groups in one router", "groups", "head bytes", "snapshot bytes", "ms to resolve", "delta bytes an edit")
	for _, n := range []int{100, 400, 1600} {
		var text strings.Builder
		for i := range n {
			fmt.Fprintf(&text, "[group g%d]\norganisation = o%d\nmodels = drafting, summary\nshare = %d\nrate = 50000\nkeys = %s\n", i, i/4, i+1, policy.HashKey(fmt.Sprint(i)))
		}
		segments := must(policy.Split("capacity", []byte(text.String())))
		store := kv.NewMemory(time.Now)
		ctx := context.Background()
		head := must(policy.Apply(ctx, store, policy.Proposal{ID: "a", Put: segments}))
		next := must(policy.Apply(ctx, store, policy.Proposal{ID: "b", Base: 1, Put: must(policy.Split("capacity", []byte("[group g1]\norganisation = o1\nshare = 7\n")))}))
		bytes := heap(func() any { return must(policy.Resolve(1, segments)) })
		resolve := perCall(func() { must(policy.Resolve(1, segments)) })
		row(n, len(head.Encode()), bytes, resolve/1e6, len(jsonOf(next.DeltaSince(1))))
	}
}

func claims() {
	table("Claims: calls of the platform's service", "keyed requests", "writes a request", "reads a request", "record bytes with key")
	for _, n := range []int{100, 1000, 10_000} {
		store := &counted{Store: kv.NewMemory(time.Now)}
		taker := once.NewClaims(store, time.Now)
		ctx := context.Background()
		bytes := 0
		for i := range n {
			key := fmt.Sprintf("croftyard/once/%032x", i)
			claim := must(taker.Take(ctx, key, fmt.Sprintf("%032x", i), time.Now().Add(time.Minute)))
			if err := claim.Done(ctx); err != nil {
				panic(err)
			}
			bytes = len(key) + len(must(store.Get(ctx, key)).Value)
			store.reads--
		}
		row(n, float64(store.writes)/float64(n), float64(store.reads)/float64(n), bytes)
	}
}
